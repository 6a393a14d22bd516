package standin

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Sizes in bytes in front of the records of a read (end and first offset) and in front of
// each record (its length).
const (
	readHeaderBytes   = 16
	recordLengthBytes = 4
)

// maxReadWait is the longest time that an accepted read waits for those before it.
const maxReadWait = 2 * time.Second

// reserveRead returns when the answer to a read of the given size has been sent. ok is
// false if it would wait too long behind the reads before it.
func (t *Topics) reserveRead(size int) (sentAt time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.readRate <= 0 {
		t.readBytes += int64(size)
		return now, true
	}
	if t.readsEndAt.Before(now) {
		t.readsEndAt = now
	}
	if t.readsEndAt.Sub(now) > maxReadWait {
		return now, false
	}
	t.readBytes += int64(size)
	t.readsEndAt = t.readsEndAt.Add(time.Duration(int64(size) * int64(time.Second) / t.readRate))
	return t.readsEndAt, true
}

// SetReadRate bounds the bytes per second of all reads together; 0 removes the bound. A
// read whose caller has left uses the rate all the same, as it does on a real link.
func (t *Topics) SetReadRate(bytesPerSecond int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readRate = bytesPerSecond
}

// ReadBytes returns the sum of the sizes of all answers to reads.
func (t *Topics) ReadBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readBytes
}

// defaultReadKB is the size of a read, in kB, that names no max_kb.
const defaultReadKB = 1024

// sendRead answers a read when the rate of all reads allows it, or with status 503 when
// too many reads wait.
func (d *TopicsServer) sendRead(ctx *fasthttp.RequestCtx, body []byte) {
	sentAt, ok := d.topics.reserveRead(len(body))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Until(sentAt))
	ctx.SetBody(body)
}

// handleRead returns the records from an offset on, up to max_kb. If there are none, it
// waits up to wait_ms for the next record. Status 410 means that the offset has been
// trimmed.
func (d *TopicsServer) handleRead(ctx *fasthttp.RequestCtx, name string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	maxBytes := defaultReadKB << 10
	if kb := ctx.QueryArgs().GetUintOrZero("max_kb"); kb > 0 {
		maxBytes = kb << 10
	}
	deadline := time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond)
	for {
		body, first, newData := d.topics.readFrom(name, from, maxBytes)
		switch {
		case from < first:
			ctx.SetStatusCode(fasthttp.StatusGone)
			reply(ctx, map[string]int64{"first": first})
			return
		case newData == nil:
			d.sendRead(ctx, body)
			return
		}
		select {
		case <-newData:
		case <-deadline:
			d.sendRead(ctx, body)
			return
		}
	}
}

// readFrom encodes the end and first offsets of a partition and its records from an
// offset on, at most maxBytes of them but at least one. newData is nil when there are
// such records; otherwise it is a channel that is closed when the next record is
// appended.
func (t *Topics) readFrom(name string, from int64, maxBytes int) (body []byte, first int64, newData <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	p := t.partition(name)
	end := p.first + int64(len(p.records))
	body = binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(p.first))
	if from >= end {
		return body, p.first, p.newData
	}
	for offset := max(from, p.first); offset < end; offset++ {
		record := p.records[offset-p.first]
		if len(body) > readHeaderBytes && len(body)+recordLengthBytes+len(record) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, p.first, nil
}
