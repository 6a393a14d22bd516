package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a ReplicaStore.
var (
	// ErrFenced means that the replica has seen a higher epoch.
	ErrFenced = errors.New("epoch is fenced")
	// ErrFull means that the copies have reached their memory limit.
	ErrFull = errors.New("holder is full")
)

// ReplicaStore stores copies of units that are not yet on their stream, for all
// streams of which this node is a replica. It is not safe for concurrent use.
type ReplicaStore struct {
	incarnation string
	limitBytes  int
	usedBytes   int
	// startupLeaseUntil is the end of the leases that an earlier process of this
	// node may have granted.
	startupLeaseUntil clock.Millis
	streams           map[spool.Stream]*streamCopies
}

// streamCopies holds the copies of one stream.
type streamCopies struct {
	// fenceEpoch is the highest epoch seen. Lower epochs are rejected.
	fenceEpoch spool.Epoch
	// A fence request of an epoch above leaseEpoch is not answered before
	// leaseUntil.
	leaseEpoch spool.Epoch
	leaseUntil clock.Millis
	// units are ordered by epoch and sequence, without duplicates.
	units []Unit
}

// NewReplicaStore returns an empty store. incarnation must differ for each start
// of the process; limit bounds the size of the copies in bytes.
func NewReplicaStore(incarnation string, limit int) *ReplicaStore {
	return &ReplicaStore{incarnation: incarnation, limitBytes: limit, streams: map[spool.Stream]*streamCopies{}}
}

// Incarnation returns the value that identifies this start of the process.
func (h *ReplicaStore) Incarnation() string { return h.incarnation }

// Used returns the size of the copies in bytes and their number.
func (h *ReplicaStore) Used() (bytes, units int) {
	for _, c := range h.streams {
		units += len(c.units)
	}
	return h.usedBytes, units
}

// Store stores units of an epoch and discards those up to the committed
// sequence. It fails with ErrFenced or ErrFull. If it fails with ErrFull, it
// stores none of the units.
func (h *ReplicaStore) Store(stream spool.Stream, epoch spool.Epoch, committed uint64, units []Unit) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch = epoch
	h.deleteUnits(c, c.indexOf(epoch, 0), c.indexOf(epoch, committed+1))
	if len(units) > 0 {
		// An owner sends units only after all units of lower epochs are on the
		// stream.
		h.deleteUnits(c, 0, c.indexOf(epoch, 0))
	}
	size := 0
	for _, unit := range units {
		size += Size(unit.Batch.Records)
	}
	if h.usedBytes+size > h.limitBytes {
		return errors.Wrapf(ErrFull, "%d bytes are held, limit is %d", h.usedBytes, h.limitBytes)
	}
	h.insertUnits(c, units)
	return nil
}

// Retain stores units that this node accepted as an owner and could not append.
// It ignores the fence epoch and the size limit, since the units may be
// acknowledged.
func (h *ReplicaStore) Retain(stream spool.Stream, units []Unit) {
	h.insertUnits(h.copiesOf(stream), units)
}

// FenceEpoch returns the highest epoch of a stream that the replica has seen.
func (h *ReplicaStore) FenceEpoch(stream spool.Stream) spool.Epoch {
	return h.copiesOf(stream).fenceEpoch
}

// Units returns the copies of one stream in order.
func (h *ReplicaStore) Units(stream spool.Stream) []Unit {
	return slices.Clone(h.copiesOf(stream).units)
}

// FenceBelow rejects epochs below epoch from now on and returns the stored units
// of these epochs. It fails with ErrFenced if a higher epoch has fenced the
// stream. It fails with ErrLeaseActive until the leases granted to lower epochs
// have ended, and no new ones are granted to them.
func (h *ReplicaStore) FenceBelow(now clock.Millis, stream spool.Stream, epoch spool.Epoch) (answer FenceReply, err error) {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return answer, errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch = epoch
	if wait := h.leaseRemaining(now, c, epoch); wait > 0 {
		return answer, errors.Wrapf(ErrLeaseActive, "stream %s for another %d ms", stream, wait)
	}
	answer.Incarnation = h.incarnation
	for _, unit := range c.units {
		if unit.Batch.Epoch < epoch {
			answer.Units = append(answer.Units, unit)
		}
	}
	return answer, nil
}

// Discard discards the units of epochs below epoch, which are on the stream.
func (h *ReplicaStore) Discard(stream spool.Stream, epoch spool.Epoch) {
	c := h.copiesOf(stream)
	h.deleteUnits(c, 0, c.indexOf(epoch, 0))
}

func (h *ReplicaStore) copiesOf(stream spool.Stream) *streamCopies {
	c := h.streams[stream]
	if c == nil {
		c = &streamCopies{}
		h.streams[stream] = c
	}
	return c
}

func (h *ReplicaStore) insertUnits(c *streamCopies, units []Unit) {
	for _, unit := range units {
		at, found := slices.BinarySearchFunc(c.units, unit, compareUnits)
		if found {
			continue
		}
		c.units = slices.Insert(c.units, at, unit)
		h.usedBytes += Size(unit.Batch.Records)
	}
}

// indexOf returns the index of the first unit that does not precede the given
// epoch and sequence.
func (c *streamCopies) indexOf(epoch spool.Epoch, sequence uint64) int {
	at, _ := slices.BinarySearchFunc(c.units, Unit{Sequence: sequence, Batch: spool.Batch{Epoch: epoch}}, compareUnits)
	return at
}

func (h *ReplicaStore) deleteUnits(c *streamCopies, from, to int) {
	if from >= to {
		return
	}
	for _, unit := range c.units[from:to] {
		h.usedBytes -= Size(unit.Batch.Records)
	}
	c.units = slices.Delete(c.units, from, to)
}
