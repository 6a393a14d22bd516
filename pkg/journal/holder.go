package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a holder.
var (
	// ErrFenced means that the holder has seen a higher epoch.
	ErrFenced = errors.New("epoch is fenced")
	// ErrFull means that the holder's memory for copies is used up.
	ErrFull = errors.New("holder is full")
)

// Holder keeps copies of units that are not yet on their stream, for all the
// streams of which this node is a holder. It is not safe for concurrent use.
type Holder struct {
	incarnation string
	limitBytes       int
	usedBytes        int
	// silentUntil is the end of the promises of an earlier start.
	startupLeaseUntil clock.Millis
	streams     map[spool.Stream]*streamCopies
}

// copies are the units of one stream.
type streamCopies struct {
	// fence is the highest epoch seen; lower ones are refused.
	fenceEpoch spool.Epoch
	// A seal above promisedTo is not answered before promisedUntil.
	leaseEpoch    spool.Epoch
	leaseUntil clock.Millis
	// units are ordered by epoch and sequence, without repeats.
	units []Unit
}

// NewHolder returns an empty holder. incarnation must differ for each start of
// the process; limit bounds the copies in bytes.
func NewHolder(incarnation string, limit int) *Holder {
	return &Holder{incarnation: incarnation, limitBytes: limit, streams: map[spool.Stream]*streamCopies{}}
}

// Incarnation returns the value that identifies this start of the process.
func (h *Holder) Incarnation() string { return h.incarnation }

// Used returns the bytes and the number of the copies.
func (h *Holder) Used() (bytes, units int) {
	for _, c := range h.streams {
		units += len(c.units)
	}
	return h.usedBytes, units
}

// Hold keeps units of an epoch and drops those up to the committed sequence. It
// fails with ErrFenced or ErrFull; in the latter case it keeps none of them.
func (h *Holder) Hold(stream spool.Stream, epoch spool.Epoch, committed uint64, units []Unit) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch = epoch
	h.deleteUnits(c, c.indexOf(epoch, 0), c.indexOf(epoch, committed+1))
	if len(units) > 0 {
		// An owner sends units only after everything of lower epochs is on the
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

// Retain keeps units that this node acknowledged as an owner and could not
// append. It ignores the fence and the limit, since they are acknowledged.
func (h *Holder) Retain(stream spool.Stream, units []Unit) { h.insertUnits(h.copiesOf(stream), units) }

// Fence returns the highest epoch of a stream that the holder has seen.
func (h *Holder) Fence(stream spool.Stream) spool.Epoch { return h.copiesOf(stream).fenceEpoch }

// Units returns the copies of one stream in order.
func (h *Holder) Units(stream spool.Stream) []Unit { return slices.Clone(h.copiesOf(stream).units) }

// Seal refuses epochs below epoch from now on and returns the units held of
// them. It fails with ErrFenced when a higher epoch has sealed the stream, and
// with ErrPromised until the holder's promises to lower epochs have ended; it
// gives no new ones meanwhile.
func (h *Holder) Seal(now clock.Millis, stream spool.Stream, epoch spool.Epoch) (answer Sealing, err error) {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return answer, errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch = epoch
	if wait := h.leaseRemaining(now, c, epoch); wait > 0 {
		return answer, errors.Wrapf(ErrPromised, "stream %s for another %d ms", stream, wait)
	}
	answer.Incarnation = h.incarnation
	for _, unit := range c.units {
		if unit.Batch.Epoch < epoch {
			answer.Units = append(answer.Units, unit)
		}
	}
	return answer, nil
}

// Release drops the units of epochs below epoch, which are on the stream.
func (h *Holder) Release(stream spool.Stream, epoch spool.Epoch) {
	c := h.copiesOf(stream)
	h.deleteUnits(c, 0, c.indexOf(epoch, 0))
}

func (h *Holder) copiesOf(stream spool.Stream) *streamCopies {
	c := h.streams[stream]
	if c == nil {
		c = &streamCopies{}
		h.streams[stream] = c
	}
	return c
}

func (h *Holder) insertUnits(c *streamCopies, units []Unit) {
	for _, unit := range units {
		at, found := slices.BinarySearchFunc(c.units, unit, compareUnits)
		if found {
			continue
		}
		c.units = slices.Insert(c.units, at, unit)
		h.usedBytes += Size(unit.Batch.Records)
	}
}

// find returns the index of the first unit that does not precede the given one.
func (c *streamCopies) indexOf(epoch spool.Epoch, sequence uint64) int {
	at, _ := slices.BinarySearchFunc(c.units, Unit{Sequence: sequence, Batch: spool.Batch{Epoch: epoch}}, compareUnits)
	return at
}

func (h *Holder) deleteUnits(c *streamCopies, from, to int) {
	if from >= to {
		return
	}
	for _, unit := range c.units[from:to] {
		h.usedBytes -= Size(unit.Batch.Records)
	}
	c.units = slices.Delete(c.units, from, to)
}
