package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a ReplicaStore.
var (
	// ErrFenced means that the replica has seen a higher epoch of the stream than
	// that of the request.
	ErrFenced = errors.New("epoch is fenced")
	// ErrFull means that the units would exceed the memory limit of the store.
	ErrFull = errors.New("holder is full")
)

// ReplicaStore stores copies of units that are not yet on their stream, for all
// streams of which this node is a replica. It is not safe for concurrent use.
type ReplicaStore struct {
	incarnation string
	// limitBytes bounds usedBytes in Store, but not in Retain. usedBytes is the
	// size of the copies of all streams, as estimated by Size.
	limitBytes int
	usedBytes  int
	// startupLeaseUntil is the latest possible end of the leases that an earlier
	// process of this node granted; see SetStartupLease.
	startupLeaseUntil clock.Millis
	streams           map[spool.Stream]*streamCopies
}

// streamCopies holds the copies of one stream.
type streamCopies struct {
	// fenceEpoch is the highest epoch of any request. Requests of lower epochs
	// fail with ErrFenced.
	fenceEpoch spool.Epoch
	// leaseEpoch is the epoch of the latest lease. A fence request of a higher
	// epoch is not answered before leaseUntil.
	leaseEpoch spool.Epoch
	leaseUntil clock.Millis
	// units are ordered by epoch and sequence, without duplicates.
	units []Unit
}

// NewReplicaStore returns an empty store. incarnation must differ for each start
// of the process; limit bounds the size in bytes of the copies stored by Store.
func NewReplicaStore(incarnation string, limit int) *ReplicaStore {
	return &ReplicaStore{incarnation: incarnation, limitBytes: limit, streams: map[spool.Stream]*streamCopies{}}
}

// Incarnation returns the value that was passed to NewReplicaStore.
func (h *ReplicaStore) Incarnation() string { return h.incarnation }

// Used returns the estimated size in bytes and the number of the copies of all
// streams.
func (h *ReplicaStore) Used() (bytes, units int) {
	for _, c := range h.streams {
		units += len(c.units)
	}
	return h.usedBytes, units
}

// Store stores units of an epoch and fences lower epochs. It first discards the
// copies of the epoch up to the sequence committed and, if there are units to
// store, all copies of lower epochs. It fails with ErrFenced, without any
// effect, or with ErrFull, after these discards and without storing any of the
// units.
func (h *ReplicaStore) Store(stream spool.Stream, epoch spool.Epoch, committed uint64, units []Unit) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch = epoch
	h.deleteUnits(c, c.indexOf(epoch, 0), c.indexOf(epoch, committed+1))
	if len(units) > 0 {
		// An owner sends units only while it serves. All units of lower epochs are
		// then on the stream.
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

// Retain stores units that this node accepted as the owner and had not read
// back when it lost the stream. It ignores the fence epoch and the size limit,
// because the units may have been acknowledged and must not be lost.
func (h *ReplicaStore) Retain(stream spool.Stream, units []Unit) {
	h.insertUnits(h.copiesOf(stream), units)
}

// FenceEpoch returns the highest epoch of a stream that the replica has seen in
// a request; 0 if it has seen none.
func (h *ReplicaStore) FenceEpoch(stream spool.Stream) spool.Epoch {
	return h.copiesOf(stream).fenceEpoch
}

// Units returns the copies of one stream, ordered by epoch and sequence.
func (h *ReplicaStore) Units(stream spool.Stream) []Unit {
	return slices.Clone(h.copiesOf(stream).units)
}

// FenceBelow makes the replica reject requests of epochs below epoch and
// returns the stored units of these epochs. It fails with ErrFenced if the
// replica has seen a higher epoch. It fails with ErrLeaseActive before the
// leases of lower epochs and the startup lease have ended; lower epochs are
// rejected even then, so they get no new leases.
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

// Discard discards the copies of epochs below epoch. The caller knows that these
// units are on the stream.
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

// indexOf returns the index of the first unit with at least the given epoch and
// sequence, or the number of units if there is none.
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
