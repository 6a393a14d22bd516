package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Leases keep the authority of an owner that cannot read the log. The owner
// asks each replica that its claim, or a later replica record of the same
// epoch, names. A replica grants a lease by leaving fence requests of a higher
// epoch unanswered for a time. A new owner serves only when every named replica
// has answered its fence request or is gone, so no other node serves before the
// leases end.
//
// The lease of any one replica would be enough if the VM list were always
// right. The owner needs the leases of all replicas: a new owner that is
// wrongly told that one replica is gone still waits for the others. It also
// waits for the previous owner, whose answer is required if a replica has not
// answered.

// ErrLeaseActive means that a fence request is answered only after a lease has
// ended.
var ErrLeaseActive = errors.New("holder has promised to wait")

// leaseRequestRound is one round of lease requests; missing lists the replicas
// that have not granted the lease yet.
type leaseRequestRound struct {
	requestedAt clock.Millis
	missing     []spool.NodeID
}

// requestLease starts a round of lease requests if the log does not answer and
// a round is due. It starts none while a replica from before the outage has
// been replaced or does not count.
func (j *Journal) requestLease(now clock.Millis) {
	if !j.logDown {
		j.leaseReplicas = append(j.leaseReplicas[:0], j.replicaIDs...)
		return
	}
	due := j.leaseRound.requestedAt == 0 || now >= j.leaseRound.requestedAt+j.config.LeaseDuration/3
	replaced := slices.ContainsFunc(j.leaseReplicas, func(node spool.NodeID) bool {
		r := j.replicas[node]
		return r == nil || !r.active
	})
	if j.phase != PhaseServing || !due || replaced || len(j.leaseReplicas) == 0 {
		return
	}
	j.leaseRound = leaseRequestRound{requestedAt: now, missing: slices.Clone(j.leaseReplicas)}
	for _, node := range j.leaseReplicas {
		j.emit(RequestLease{Node: node, Epoch: j.epoch, RequestedAt: now, Duration: j.config.LeaseDuration})
	}
}

// LeaseDone handles the result of a RequestLease command. ok is false if there was
// no answer; fenced means that a higher epoch has fenced the replica.
func (j *Journal) LeaseDone(now clock.Millis, command RequestLease, incarnation string, ok, fenced bool) []Command {
	r := j.replicas[command.Node]
	if r == nil || command.Epoch != j.epoch || j.phase != PhaseServing {
		return j.Tick(now)
	}
	switch {
	case fenced:
		j.loseStream(spool.NotRunUnknown)
	case ok && incarnation == r.incarnation && command.RequestedAt == j.leaseRound.requestedAt:
		missing := slices.DeleteFunc(j.leaseRound.missing, func(node spool.NodeID) bool { return node == command.Node })
		j.leaseRound.missing = missing
		if len(missing) == 0 {
			// The lease starts at the time of the request, which is not later than
			// its start at the replica.
			j.leaseUntil = max(j.leaseUntil, command.RequestedAt+command.Duration)
		}
	}
	return j.Tick(now)
}

// SetStartupLease makes the replica answer no fence request before until. An
// earlier process of this node may have granted leases up to then, which this
// process does not know.
func (h *ReplicaStore) SetStartupLease(until clock.Millis) { h.startupLeaseUntil = until }

// GrantLease grants a lease: the replica answers no fence request above epoch for
// the given length of time. It fails with ErrFenced if the replica has seen a
// higher epoch.
func (h *ReplicaStore) GrantLease(now clock.Millis, stream spool.Stream, epoch spool.Epoch, length clock.Millis) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch, c.leaseEpoch = epoch, epoch
	c.leaseUntil = max(c.leaseUntil, now+length)
	return nil
}

// leaseRemaining returns how long a fence request of epoch has to wait; it is
// not positive if the request need not wait.
func (h *ReplicaStore) leaseRemaining(now clock.Millis, c *streamCopies, epoch spool.Epoch) clock.Millis {
	until := h.startupLeaseUntil
	if epoch > c.leaseEpoch {
		until = max(until, c.leaseUntil)
	}
	return until - now
}
