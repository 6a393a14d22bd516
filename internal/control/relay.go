package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	defaultRelayBytes = 1 << 20
	// maxRelayBatches bounds the number of batches in a relayBuffer.
	maxRelayBatches = 4096
	// maxReplyBytes bounds the batches in one reply to a pull request, if there are
	// several.
	maxReplyBytes = 256 << 10
	// maxPullWait bounds the wait of a pull request for the next batch.
	maxPullWait = 10 * clock.Second
	// batchOverheadBytes is the approximate size in bytes of a batch without the data
	// of its records.
	batchOverheadBytes = 160
)

// relayBuffer holds the latest consecutive batches, for nodes that pull from this
// one. It drops the oldest batches while it exceeds maxBytes or maxRelayBatches; a
// batch larger than maxBytes empties it. sizes holds the size of each batch in bytes
// and bytes their sum.
type relayBuffer struct {
	batches  []spool.Batch
	sizes    []int
	bytes    int
	maxBytes int
}

func newRelayBuffer(maxBytes int) *relayBuffer { return &relayBuffer{maxBytes: maxBytes} }

func (b *relayBuffer) add(batch spool.Batch) {
	batch.Records = withoutSnapshotData(batch.Records)
	size := batchOverheadBytes
	for _, record := range batch.Records {
		size += len(record.Data)
	}
	b.batches = append(b.batches, batch)
	b.sizes = append(b.sizes, size)
	b.bytes += size
	for len(b.batches) > 0 && (b.bytes > b.maxBytes || len(b.batches) > maxRelayBatches) {
		b.bytes -= b.sizes[0]
		b.batches[0] = spool.Batch{}
		b.batches, b.sizes = b.batches[1:], b.sizes[1:]
	}
}

// withoutSnapshotData returns records with snapshot parts stripped of their data. A
// node that pulls such a record has applied all earlier batches, so that its state
// already includes the content of the snapshot.
func withoutSnapshotData(records []spool.Record) []spool.Record {
	result := records
	for i, record := range records {
		if record.Kind != RecordSnapshot {
			continue
		}
		if content, err := DecodeRecord(record); err == nil {
			part := content.(SnapshotPart)
			part.Data = nil
			result = append([]spool.Record(nil), result...)
			result[i], _ = NewRecord(part)
		}
	}
	return result
}

func (b *relayBuffer) clear() { b.batches, b.sizes, b.bytes = nil, nil, 0 }

// hasBatchAfter reports whether the buffer holds the batch at offset+1 and those after
// it. offset must be less than that of the latest batch.
func (b *relayBuffer) hasBatchAfter(offset spool.Offset) bool {
	return len(b.batches) > 0 && b.batches[0].Offset <= offset+1
}

// batchesAfter returns the batches from offset+1 on, as many as fit into maxReplyBytes,
// but at least one. The buffer must hold a batch at offset+1.
func (b *relayBuffer) batchesAfter(offset spool.Offset) []spool.Batch {
	from := int(offset + 1 - b.batches[0].Offset)
	to, size := from, 0
	for to < len(b.batches) && (to == from || size+b.sizes[to] <= maxReplyBytes) {
		size += b.sizes[to]
		to++
	}
	return append([]spool.Batch(nil), b.batches[from:to]...)
}

// Handlers returns the handlers of the methods that the node serves to other
// processes.
func (r *Reader) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodPull:          wire.Handle(r.servePull),
		wire.MethodControlStatus: wire.Handle(r.serveStatus),
	}
}

// servePull answers a pull request. If this node has no batch after the requested
// offset, servePull waits for the next one, for at most the requested wait and
// maxPullWait, and then answers without batches.
func (r *Reader) servePull(ctx context.Context, request wire.PullRequest, _ wire.Send) (any, error) {
	if request.After < 0 || request.Wait < 0 {
		return nil, spool.Refuse(spool.CodeBadRequest, "offset and wait must not be negative")
	}
	receivedAt := r.clock.Now()
	return wire.LongPoll(ctx, r.ctx, min(request.Wait, maxPullWait), func() (wire.PullReply, bool, <-chan struct{}, error) {
		changed := r.Changed()
		reply, err := r.pullReply(request.After)
		reply.HeldFor = r.clock.Now() - receivedAt
		return reply, len(reply.Batches) > 0 || reply.Snapshot != nil, changed, err
	})
}

// pullReply returns the reply to a request for the batches after an offset. It holds
// the batches, or a snapshot if the relay buffer lacks the next batch, or neither if
// the state has no later batch.
func (r *Reader) pullReply(after spool.Offset) (wire.PullReply, error) {
	r.mu.RLock()
	reply, needsSnapshot := r.node.BatchesAfter(r.clock.Now(), after)
	r.mu.RUnlock()
	if !needsSnapshot {
		return reply, nil
	}
	var err error
	reply.Snapshot, reply.SnapshotAt, err = r.peerSnapshot()
	return reply, err
}

// peerSnapshot returns a JSON-encoded snapshot for peers and its offset. It reuses the
// cached snapshot while that is at the offset of the state or the relay buffer holds
// the batches that follow it. Otherwise it builds a new one, so that concurrent requests
// build a snapshot only once.
func (r *Reader) peerSnapshot() (encoded json.RawMessage, offset spool.Offset, err error) {
	defer func() { err = errors.Wrap(err, "build snapshot for a peer") }()
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	r.mu.RLock()
	cacheValid := r.cachedSnapshot != nil && (r.cachedSnapshotOffset == r.node.state.offset || r.node.relay.hasBatchAfter(r.cachedSnapshotOffset))
	var compressed []byte
	if !cacheValid {
		compressed, err = r.node.state.Compressed()
		offset = r.node.state.offset
	}
	r.mu.RUnlock()
	if cacheValid {
		return r.cachedSnapshot, r.cachedSnapshotOffset, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if encoded, err = json.Marshal(compressed); err != nil {
		return nil, 0, err
	}
	r.cachedSnapshot, r.cachedSnapshotOffset = encoded, offset
	r.countEvent("control.snapshotBuilt")
	return encoded, offset, nil
}
