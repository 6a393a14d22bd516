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
	batchOverhead = 160
)

// relayBuffer keeps the latest batches for other nodes, without gaps.
type relayBuffer struct {
	batches []spool.Batch
	sizes   []int
	bytes   int
	limit   int
}

func newRelayBuffer(limit int) *relayBuffer { return &relayBuffer{limit: limit} }

func (b *relayBuffer) add(batch spool.Batch) {
	batch.Records = withoutSnapshotData(batch.Records)
	size := batchOverhead
	for _, record := range batch.Records {
		size += len(record.Data)
	}
	b.batches = append(b.batches, batch)
	b.sizes = append(b.sizes, size)
	b.bytes += size
	for len(b.batches) > 0 && (b.bytes > b.limit || len(b.batches) > maxRelayBatches) {
		b.bytes -= b.sizes[0]
		b.batches[0] = spool.Batch{}
		b.batches, b.sizes = b.batches[1:], b.sizes[1:]
	}
}

// withoutSnapshotData drops the data of snapshots: whoever pulls has the state
// that they hold.
func withoutSnapshotData(records []spool.Record) []spool.Record {
	kept := records
	for i, record := range records {
		if record.Kind != RecordSnapshot {
			continue
		}
		if content, err := DecodeRecord(record); err == nil {
			part := content.(SnapshotPart)
			part.Data = nil
			kept = append([]spool.Record(nil), kept...)
			kept[i], _ = NewRecord(part)
		}
	}
	return kept
}

func (b *relayBuffer) clear() { b.batches, b.sizes, b.bytes = nil, nil, 0 }

// covers reports whether the batch after the offset is kept.
func (b *relayBuffer) covers(after spool.Offset) bool {
	return len(b.batches) > 0 && b.batches[0].Offset <= after+1
}

// after returns the batches after the offset, up to the size of one reply.
func (b *relayBuffer) after(after spool.Offset) []spool.Batch {
	from := int(after + 1 - b.batches[0].Offset)
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
	arrived := r.clock.Now()
	return wire.LongPoll(ctx, r.ctx, min(request.Wait, maxPullWait), func() (wire.PullReply, bool, <-chan struct{}, error) {
		changed := r.Changed()
		reply, err := r.answer(request.After)
		reply.Held = r.clock.Now() - arrived
		return reply, len(reply.Batches) > 0 || reply.Snapshot != nil, changed, err
	})
}

// answer returns what follows the offset; an empty reply when nothing does.
func (r *Reader) answer(after spool.Offset) (wire.PullReply, error) {
	r.mu.RLock()
	reply, behind := r.node.Answer(r.clock.Now(), after)
	r.mu.RUnlock()
	if !behind {
		return reply, nil
	}
	var err error
	reply.Snapshot, reply.SnapshotAt, err = r.peerSnapshot()
	return reply, err
}

// peerSnapshot returns a snapshot from which the relay buffer can go on. It is
// built at most once for all peers that ask meanwhile.
func (r *Reader) peerSnapshot() (encoded json.RawMessage, at spool.Offset, err error) {
	defer func() { err = errors.Wrap(err, "build snapshot for a peer") }()
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	r.mu.RLock()
	usable := r.snapshot != nil && (r.snapshotAt == r.node.state.offset || r.node.relay.covers(r.snapshotAt))
	var data []byte
	if !usable {
		data, err = r.node.state.Compressed()
		at = r.node.state.offset
	}
	r.mu.RUnlock()
	if usable {
		return r.snapshot, r.snapshotAt, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if encoded, err = json.Marshal(data); err != nil {
		return nil, 0, err
	}
	r.snapshot, r.snapshotAt = encoded, at
	r.event("control.snapshotBuilt")
	return encoded, at, nil
}
