package standin

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// keyedPrefix begins the names of the topics whose records have keys.
const keyedPrefix = "keyed."

// TopicFaults are the fault settings of one server of the topic store. Each server
// listens on its own address, so that callers can see different faults.
type TopicFaults struct {
	// Mode is empty for no fault. With "busy", requests get status 503 at once. With
	// "silent", they have no effect and get status 503 only after silentDuration. With
	// "lost", they take effect, but get only an empty response after silentDuration.
	Mode string `json:"mode"`
	// Partitions lists the partitions that Mode applies to, as "topic/number". When the
	// list is empty, Mode applies to all partitions.
	Partitions []string `json:"partitions,omitempty"`
	// EffectDelayMs is the time in milliseconds by which mode "lost" delays the effect
	// of a request.
	EffectDelayMs int `json:"lateMs,omitempty"`
}

const (
	modeBusy   = "busy"
	modeSilent = "silent"
	modeLost   = "lost"
)

// Topics simulates the platform's topic store in memory. It is linearizable and
// safe for concurrent use.
type Topics struct {
	mu         sync.Mutex
	partitions map[string]*topicPartition
	appends    int
	reads      int
	// readRate bounds the bytes per second of all reads together; 0 for no bound. The
	// reads are sent one after another: readsEndAt is when the last accepted one ends.
	readRate   int64
	readsEndAt time.Time
	// readBytes is the sum of the sizes of all accepted reads.
	readBytes int64
	// retention is how long records without a key are kept, by clock; 0 for no bound.
	retention clock.Millis
	clock     clock.Clock
	// maxRecordBytes bounds the size of a record, and maxAppendBytes that of all records of
	// an append with their lengths; 0 for no bound. rejected counts the appends that exceed
	// one of them.
	maxRecordBytes, maxAppendBytes int
	rejected                       int
}

// topicPartition is one partition of a topic. Offsets begin at 0.
type topicPartition struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// writtenAt contains the times at which records were appended, if the store has a
	// retention.
	writtenAt []clock.Millis
	// newestOffsets holds the offset of the newest record of each key, values the value
	// of that record. Deleted keys are in neither.
	newestOffsets map[string]int64
	values        map[string][]byte
	// newData is closed and replaced whenever records are appended.
	newData chan struct{}
}

// NewTopics returns an empty store.
func NewTopics() *Topics { return &Topics{partitions: map[string]*topicPartition{}} }

// partition returns a partition, which it creates if necessary. t.mu must be locked.
func (t *Topics) partition(name string) *topicPartition {
	p := t.partitions[name]
	if p == nil {
		p = &topicPartition{newestOffsets: map[string]int64{}, values: map[string][]byte{}, newData: make(chan struct{})}
		t.partitions[name] = p
	}
	if t.retention > 0 && !strings.HasPrefix(name, keyedPrefix) {
		p.expire(t.clock.Now() - t.retention)
	}
	return p
}

// expire removes the records that were appended before a time.
func (p *topicPartition) expire(before clock.Millis) {
	for len(p.writtenAt) > 0 && p.writtenAt[0] < before {
		p.records, p.writtenAt = p.records[1:], p.writtenAt[1:]
		p.first++
	}
}

// SetRetention makes the store remove records without a key after a time, by the given
// clock. It must be called before the first append.
func (t *Topics) SetRetention(retention clock.Millis, byClock clock.Clock) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention, t.clock = retention, byClock
}

// Put appends a record with a key to partition 0 of a topic, as an operator or an
// endpoint does. An empty value deletes the key.
func (t *Topics) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	t.appendAt(topic+"/0", [][]byte{append(record, value...)}, "")
}

// Calls returns the number of appends and reads that the store has handled,
// including appends whose offset condition failed.
func (t *Topics) Calls() (appends, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appends, t.reads
}

// AppendRecords appends records to a partition, as a gateway does.
func (t *Topics) AppendRecords(name string, records ...[]byte) { t.appendAt(name, records, "") }

// Trim drops all records of a partition. Its end offset and the newest value of each key
// stay.
func (t *Topics) Trim(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.partition(name)
	p.first += int64(len(p.records))
	p.records, p.writtenAt = nil, nil
}

// SetLimits bounds the size of a record, and of all records of an append with their
// lengths; 0 removes a bound.
func (t *Topics) SetLimits(maxRecordBytes, maxAppendBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxRecordBytes, t.maxAppendBytes = maxRecordBytes, maxAppendBytes
}

// Rejected returns the number of appends that exceeded a bound of SetLimits.
func (t *Topics) Rejected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// accepts reports whether an append is within the bounds of SetLimits, and counts it
// otherwise.
func (t *Topics) accepts(records [][]byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, ok := 0, true
	for _, record := range records {
		total += recordLengthBytes + len(record)
		ok = ok && (t.maxRecordBytes == 0 || len(record) <= t.maxRecordBytes)
	}
	ok = ok && (t.maxAppendBytes == 0 || total <= t.maxAppendBytes)
	if !ok {
		t.rejected++
	}
	return ok
}

// appendAt appends records to a partition and returns the offset of the first one and
// the new end offset. If at is not empty and differs from the end offset, it appends
// nothing, reports false and returns the current end offset as end.
func (t *Topics) appendAt(name string, records [][]byte, at string) (offset, end int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appends++
	p := t.partition(name)
	offset = p.first + int64(len(p.records))
	if at != "" && at != strconv.FormatInt(offset, 10) {
		return 0, offset, false
	}
	for _, record := range records {
		p.add(record)
		if t.retention > 0 {
			p.writtenAt = append(p.writtenAt, t.clock.Now())
		}
	}
	close(p.newData)
	p.newData = make(chan struct{})
	return offset, p.first + int64(len(p.records)), true
}

// add appends a record. If the record has a key, add also updates the newest value of
// the key.
func (p *topicPartition) add(record []byte) {
	offset := p.first + int64(len(p.records))
	p.records = append(p.records, append([]byte(nil), record...))
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return
	}
	key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
	delete(p.newestOffsets, key)
	delete(p.values, key)
	if len(value) > 0 {
		p.newestOffsets[key], p.values[key] = offset, append([]byte(nil), value...)
	}
}

// ServeTopics starts a server of the store at address. The control port serves the fault
// settings of this server, unless control is empty.
func ServeTopics(topics *Topics, address, control string) (server *TopicsServer, err error) {
	server = &TopicsServer{topics: topics}
	server.Server, err = Serve(address, control, server.handle, controlHandler(server.Faults, server.SetFaults))
	return server, err
}

// TopicsServer is one server of the store with its own fault settings.
type TopicsServer struct {
	*Server
	topics *Topics

	mu     sync.Mutex
	faults TopicFaults
}

// Faults returns the current fault settings.
func (d *TopicsServer) Faults() TopicFaults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// SetFaults replaces the fault settings.
func (d *TopicsServer) SetFaults(faults TopicFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// faultOf returns the fault mode that applies to a partition, or "", and the delay of
// effects in mode "lost".
func (d *TopicsServer) faultOf(name string) (mode string, delay time.Duration) {
	faults := d.Faults()
	if len(faults.Partitions) == 0 {
		return faults.Mode, time.Duration(faults.EffectDelayMs) * time.Millisecond
	}
	for _, partition := range faults.Partitions {
		if partition == name {
			return faults.Mode, time.Duration(faults.EffectDelayMs) * time.Millisecond
		}
	}
	return "", 0
}

// silentDuration is the time until the response in the modes "silent" and "lost". It is
// meant to exceed the timeouts of the clients.
const silentDuration = 5 * time.Second

// handle applies the fault mode of the partition and dispatches the request.
func (d *TopicsServer) handle(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	name := string(arguments.Peek("topic")) + "/" + string(arguments.Peek("part"))
	mode, delay := d.faultOf(name)
	switch mode {
	case modeBusy:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case modeSilent:
		time.Sleep(silentDuration)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case modeLost:
		time.Sleep(delay)
	}
	switch string(ctx.Path()) {
	case "/baobabspool/log-append":
		d.handleAppend(ctx, name)
	case "/baobabspool/log-read":
		d.handleRead(ctx, name)
	case "/baobabspool/log-newest":
		d.handleNewest(ctx, name)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	if mode == modeLost {
		ctx.Response.Reset()
		time.Sleep(silentDuration)
	}
}

// handleAppend appends the records of the body, each after its length as a 4-byte
// big-endian number. Status 413 means that they exceed the bounds of SetLimits, 412 that
// the partition does not end at the offset "at".
func (d *TopicsServer) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var records [][]byte
	for rest := ctx.PostBody(); len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	if !d.topics.accepts(records) {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	offset, end, ok := d.topics.appendAt(name, records, string(ctx.QueryArgs().Peek("at")))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		reply(ctx, map[string]int64{"end": end})
		return
	}
	reply(ctx, map[string]int64{"offset": offset, "end": end})
}

// newestItem is the newest record of a key. Value is base64.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// handleNewest returns the newest record of each key of a partition.
func (d *TopicsServer) handleNewest(ctx *fasthttp.RequestCtx, name string) {
	d.topics.mu.Lock()
	p := d.topics.partition(name)
	items := []newestItem{}
	for key, offset := range p.newestOffsets {
		items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(p.values[key]), Offset: offset})
	}
	end := p.first + int64(len(p.records))
	d.topics.mu.Unlock()
	reply(ctx, map[string]any{"items": items, "has_more": false, "end": end})
}
