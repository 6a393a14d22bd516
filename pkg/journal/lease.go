package journal

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Leases let an owner that cannot read the log prove that no other node serves
// the stream. The owner requests a lease from each replica that the stream
// names for its epoch. A replica that grants one answers no fence request of a
// higher epoch until the lease ends. A new owner does not serve before every
// named replica has answered its fence request or is reported gone, so no other
// node serves before the leases end.
//
// The lease of one replica would be enough if no replica were ever reported
// gone by mistake. The owner therefore needs the leases of all replicas: if one
// is wrongly reported gone, the new owner still waits for the others. It also
// waits for the previous owner, whose answer is required if a replica has not
// answered.

// ErrLeaseActive means that a replica does not answer a fence request because a
// lease that it granted has not ended. The request may be repeated.
var ErrLeaseActive = errors.New("holder has promised to wait")

// leaseRequestRound is one round of lease requests; missing lists the replicas
// that have not granted the lease yet.
type leaseRequestRound struct {
	// requestedAt is 0 before the first round.
	requestedAt clock.Millis
	missing     []spool.NodeID
}

// requestLease starts a round of lease requests while the log is down and the
// journal serves, one round per third of LeaseDuration. It starts none if one of
// leaseReplicas is no longer a replica or is not active. While the log is not
// down, it only updates leaseReplicas.
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

// LeaseDone handles the result of a RequestLease command. ok is false if there
// was no answer. fenced means that a higher epoch has fenced the replica; the
// journal then gives up the stream. Grants of an earlier round are ignored.
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
			// The replica counts the lease from the arrival of the request, so its
			// lease does not end earlier than this one.
			j.leaseUntil = max(j.leaseUntil, command.RequestedAt+command.Duration)
		}
	}
	return j.Tick(now)
}

// SetStartupLease makes the replica answer no fence request of any stream
// before until. An earlier process of this node may have granted leases that
// end as late as until, and this process does not know them.
func (h *ReplicaStore) SetStartupLease(until clock.Millis) { h.startupLeaseUntil = until }

// GrantLease grants a lease: for the given length of time, the replica answers
// no fence request of an epoch above the given one. It also fences lower
// epochs. It fails with ErrFenced if the replica has seen a higher epoch.
func (h *ReplicaStore) GrantLease(now clock.Millis, stream spool.Stream, epoch spool.Epoch, length clock.Millis) error {
	c := h.copiesOf(stream)
	if epoch < c.fenceEpoch {
		return errors.Wrapf(ErrFenced, "epoch %d of stream %s is below %d", epoch, stream, c.fenceEpoch)
	}
	c.fenceEpoch, c.leaseEpoch = epoch, epoch
	c.leaseUntil = max(c.leaseUntil, now+length)
	return nil
}

// leaseRemaining returns the time in ms until the replica may answer a fence
// request of epoch. A result of 0 or less means that it may answer now.
func (h *ReplicaStore) leaseRemaining(now clock.Millis, c *streamCopies, epoch spool.Epoch) clock.Millis {
	until := h.startupLeaseUntil
	if epoch > c.leaseEpoch {
		until = max(until, c.leaseUntil)
	}
	return until - now
}
