package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PoolOwner lets tests use the pool ownership without a gateway.
type PoolOwner struct {
	*poolOwner
	claims *claimStore
}

// claimStore records the claims that are written, or refuses them.
type claimStore struct {
	spool.Store
	mu      sync.Mutex
	failing bool
	writes  int
	last    []byte
}

func (s *claimStore) AppendKeyedAt(_ context.Context, _ spool.Topic, _ string, value []byte, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.failing {
		return spool.ErrLogUnavailable
	}
	s.last = value
	return nil
}

// NewPoolOwner returns the pool ownership of a gateway with the given incarnation. No
// other gateway answers its queries.
func NewPoolOwner(node spool.NodeID, incarnation string, bootClock clock.Clock) PoolOwner {
	noAnswer := func(context.Context, string, aliveRequest) (aliveReply, error) { return aliveReply{}, errNoPeer }
	claims := &claimStore{}
	owner := newPoolOwner(spool.GatewaySettings{Node: node, ControlListen: "self"}, incarnation, claims, bootClock, noAnswer, zap.NewNop())
	owner.accounts = func() []spool.AccountID { return nil }
	owner.pollMembersEverywhere, owner.pollMembers = func() {}, func() {}
	return PoolOwner{poolOwner: owner, claims: claims}
}

// Observe applies a claim record.
func (o PoolOwner) Observe(record string, offset int64) { o.observeClaim([]byte(record), offset) }

// MarkGone marks the process of an incarnation as ended.
func (o PoolOwner) MarkEnded(incarnation string) { o.markEnded(incarnation) }

// ProbeAnswered runs a probe that every queried gateway answers with the given
// incarnation.
func (o PoolOwner) ProbeAnswered(incarnation string) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation}, nil
	}
	o.probe(context.Background())
}

// ProbeReserve runs a probe that every queried gateway answers with the given
// incarnation and the reserve that it held.
func (o PoolOwner) ProbeReserve(incarnation string, generation int, spent map[spool.ProgramID]int64) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation, Generation: generation, ReserveSpent: spent}, nil
	}
	o.probe(context.Background())
}

// Confirm reports that a read of the store has found the current claim to be the
// newest.
func (o PoolOwner) Confirm(sentAt clock.Millis) { o.recordConfirmation(sentAt) }

// Extend requests the vote of one other gateway.
func (o PoolOwner) RequestVote(promised bool) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Voted: promised}, nil
	}
	o.handleQuery(aliveRequest{Address: "other"}, nil)
	o.requestVotes(context.Background())
}

// AskItself makes this gateway handle a query that it has sent itself.
func (o PoolOwner) QueryItself() { o.handleQuery(aliveRequest{Address: o.self.Address}, nil) }

// Asked returns how many gateways are asked for their votes.
func (o PoolOwner) VoteRequests() (asked int) {
	var mu sync.Mutex
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		mu.Lock()
		defer mu.Unlock()
		asked++
		return aliveReply{Voted: true}, nil
	}
	o.requestVotes(context.Background())
	return asked
}

// GrantsUntil returns the end of the owner's authority.
func (o PoolOwner) GrantsUntil() clock.Millis {
	confirmed, _ := o.ConfirmedUntil(spool.ProgramStream(0))
	return confirmed + ownerAuthority
}

// Promise asks this gateway to vote for the owner of an epoch and reports whether it
// did.
func (o PoolOwner) Vote(epoch spool.Epoch) bool {
	return o.handleQuery(aliveRequest{VoteEpoch: epoch}, nil).Voted
}

// Touch reports that the owner has just answered this gateway, and whether its reserve
// was unused.
func (o PoolOwner) RecordContact(unused bool) { o.recordContact(o.epoch, o.bootClock.Now(), unused) }

// Generation returns the reserve generation of the next claim.
func (o PoolOwner) Generation() int { return o.nextClaim().Generation }

// TakeReserve reports whether the reserve grants tokens once the other gateway has
// voted.
func (o PoolOwner) TakeReserve(id spool.ProgramID, need, budget int64) bool {
	o.recordConfirmation(o.bootClock.Now() - voteRequestDelay)
	o.RequestVote(true)
	return o.TakeConfirmed(id, need, budget)
}

// TakeConfirmed reports whether the reserve grants tokens in the present state.
func (o PoolOwner) TakeConfirmed(id spool.ProgramID, need, budget int64) bool {
	granted, err := o.takeReserve(id, need, budget)
	return granted && err == nil
}

// YieldReserve handles a query of a newer owner and returns the reserve that is handed
// over.
func (o PoolOwner) YieldReserve(epoch spool.Epoch) (generation int, spent map[spool.ProgramID]int64) {
	reply := o.handleQuery(aliveRequest{YieldEpoch: epoch}, func(spool.Stream, spool.Epoch) json.RawMessage { return nil })
	return reply.Generation, reply.ReserveSpent
}

// Grants reports whether this gateway may grant.
func (o PoolOwner) CanGrant() bool { return o.canGrant() }

// Vacant reports whether this gateway should write a claim.
func (o PoolOwner) ShouldClaim(live ...spool.NodeID) bool { return o.shouldClaim(live) }

// Waits reports whether the next claim names earlier owners that may still grant.
func (o PoolOwner) NamesEarlierOwners() bool { return len(o.nextClaim().EarlierOwners) > 0 }

// Tenure returns the epoch of the pools.
func (o PoolOwner) FirstEpoch() spool.Epoch {
	epoch, _ := o.Epoch(spool.ProgramStream(0))
	return epoch
}

// HandOver names another gateway as the owner, unless that gateway is shutting down as
// well.
func (o PoolOwner) HandOver(ctx context.Context, node spool.NodeID, incarnation string, leaving bool) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation, Leaving: leaving}, nil
	}
	o.handOver(ctx, func() []claimRecord { return []claimRecord{{Node: node, Incarnation: incarnation}} })
}

// YieldTo handles a query of a newer owner and returns the epoch whose pools are
// handed over; 0 for none.
func (o PoolOwner) YieldTo(epoch spool.Epoch) (handed spool.Epoch) {
	o.handleQuery(aliveRequest{YieldEpoch: epoch}, func(_ spool.Stream, of spool.Epoch) json.RawMessage {
		handed = of
		return nil
	})
	return handed
}

// FailWrites sets whether the store refuses claims.
func (o PoolOwner) FailWrites(failing bool) {
	o.claims.mu.Lock()
	defer o.claims.mu.Unlock()
	o.claims.failing = failing
}

// Writes returns the number of claims that were sent to the store.
func (o PoolOwner) ClaimWrites() int {
	o.claims.mu.Lock()
	defer o.claims.mu.Unlock()
	return o.claims.writes
}

// Written returns the last claim that the store accepted.
func (o PoolOwner) LastClaim() string {
	o.claims.mu.Lock()
	defer o.claims.mu.Unlock()
	return string(o.claims.last)
}
