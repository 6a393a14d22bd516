package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Promises keep the authority of an owner that cannot read the log. Each holder
// that the owner's claim, or a later holder record of the same epoch, names
// promises to leave a seal of a higher epoch unanswered for a time. A new owner
// serves only when every named holder has answered its seal or is gone, so no
// other entry serves before the promises end.
//
// The promise of any one holder would be enough if the list of VMs were always
// right. The owner needs those of all of them: a new owner that is wrongly told
// that one holder is gone still waits for the others, and for the previous owner
// itself, since a holder without an answer makes that answer necessary.

// ErrPromised means that a seal is answered only when a promise has ended.
var ErrPromised = errors.New("holder has promised to wait")

// promiseRound asks the holders once.
type leaseRequestRound struct {
	requestedAt clock.Millis
	missing []spool.NodeID
}

// askPromises starts a round when the log does not answer and one is due. There
// is none while a holder of the time before the outage has been replaced or is not
// named on the stream.
func (j *Journal) requestLease(now clock.Millis) {
	if !j.logDown {
		j.leaseReplicas = append(j.leaseReplicas[:0], j.replicaIDs...)
		return
	}
	due := j.leaseRound.requestedAt == 0 || now >= j.leaseRound.requestedAt+j.config.PromiseFor/3
	replaced := slices.ContainsFunc(j.leaseReplicas, func(node spool.NodeID) bool {
		p := j.replicas[node]
		return p == nil || !p.active
	})
	if j.phase != PhaseServing || !due || replaced || len(j.leaseReplicas) == 0 {
		return
	}
	j.leaseRound = leaseRequestRound{requestedAt: now, missing: slices.Clone(j.leaseReplicas)}
	for _, node := range j.leaseReplicas {
		j.emit(Promise{Node: node, Epoch: j.epoch, AskedAt: now, For: j.config.PromiseFor})
	}
}

// PromiseDone takes the answer to a Promise command. ok is false when there was
// none; fenced means that a higher epoch has sealed the holder.
func (j *Journal) PromiseDone(now clock.Millis, command Promise, incarnation string, ok, fenced bool) []Command {
	p := j.replicas[command.Node]
	if p == nil || command.Epoch != j.epoch || j.phase != PhaseServing {
		return j.Tick(now)
	}
	switch {
	case fenced:
		j.loseStream(spool.NotRunUnknown)
	case ok && incarnation == p.incarnation && command.AskedAt == j.leaseRound.requestedAt:
		missing := slices.DeleteFunc(j.leaseRound.missing, func(node spool.NodeID) bool { return node == command.Node })
		j.leaseRound.missing = missing
		if len(missing) == 0 {
			// Counted from the question, which is no later than the promise.
			j.leaseUntil = max(j.leaseUntil, command.AskedAt+command.For)
		}
	}
	return j.Tick(now)
}

// StartedAt makes the holder answer no seal before until: an earlier start of
// this process may have promised that, and has forgotten it.
func (h *Holder) StartedAt(until clock.Millis) { h.startupLeaseUntil = until }

// Promise makes the holder answer no seal above epoch for a time. It fails with
// ErrFenced.
func (h *Holder) Promise(now clock.Millis, stream spool.Stream, epoch spool.Epoch, length clock.Millis) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch, c.leaseEpoch = epoch, epoch
	c.leaseUntil = max(c.leaseUntil, now+length)
	return nil
}

// promised returns the time for which a seal of epoch has to wait.
func (h *Holder) leaseRemaining(now clock.Millis, c *streamCopies, epoch spool.Epoch) clock.Millis {
	until := h.startupLeaseUntil
	if epoch > c.leaseEpoch {
		until = max(until, c.leaseUntil)
	}
	return until - now
}
