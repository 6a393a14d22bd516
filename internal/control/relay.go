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
	maxRelayBatches   = 4096
	maxReplyBytes     = 256 << 10
	maxPullWait       = 10 * clock.Second
	// batchOverhead is the approximate size of a batch without its records.
	batchOverheadBytes = 160
)

// relayBuffer keeps the latest batches for other nodes, without gaps.
type relayBuffer struct {
	batches []spool.Batch
	sizes   []int
	bytes   int
	maxBytes   int
}

func newRelayBuffer(limit int) *relayBuffer { return &relayBuffer{maxBytes: limit} }

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

// withoutSnapshotData drops the data of snapshots: whoever pulls has the state
// that they hold.
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

// covers reports whether the batch after the offset is kept.
func (b *relayBuffer) hasBatchAfter(offset spool.Offset) bool {
	return len(b.batches) > 0 && b.batches[0].Offset <= offset+1
}

// after returns the batches after the offset, up to the size of one reply.
func (b *relayBuffer) batchesAfter(offset spool.Offset) []spool.Batch {
	from := int(offset + 1 - b.batches[0].Offset)
	to, size := from, 0
	for to < len(b.batches) && (to == from || size+b.sizes[to] <= maxReplyBytes) {
		size += b.sizes[to]
		to++
	}
	return append([]spool.Batch(nil), b.batches[from:to]...)
}

// Handlers returns the methods that the node answers.
func (r *Reader) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodPull:          wire.Handle(r.servePull),
		wire.MethodControlStatus: wire.Handle(r.serveStatus),
	}
}

func (r *Reader) servePull(ctx context.Context, request wire.PullRequest, _ wire.Send) (any, error) {
	if request.After < 0 || request.Wait < 0 {
		return nil, spool.Refuse(spool.CodeBadRequest, "offset and wait must not be negative")
	}
	receivedAt := r.clock.Now()
	return wire.LongPoll(ctx, r.ctx, min(request.Wait, maxPullWait), func() (wire.PullReply, bool, <-chan struct{}, error) {
		changed := r.Changed()
		reply, err := r.pullReply(request.After)
		reply.Held = r.clock.Now() - receivedAt
		return reply, len(reply.Batches) > 0 || reply.Snapshot != nil, changed, err
	})
}

// answer returns what follows the offset; an empty reply when nothing does.
func (r *Reader) pullReply(after spool.Offset) (wire.PullReply, error) {
	r.mu.RLock()
	reply, needsSnapshot := r.node.Answer(r.clock.Now(), after)
	r.mu.RUnlock()
	if !needsSnapshot {
		return reply, nil
	}
	var err error
	reply.Snapshot, reply.SnapshotAt, err = r.peerSnapshot()
	return reply, err
}

// peerSnapshot returns a snapshot from which the relay buffer can go on. It is
// built at most once for all peers that ask meanwhile.
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
