package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PoolOwner gives tests access to the poolOwnership of a gateway, without a gateway and
// a store.
type PoolOwner struct {
	*poolOwnership
	claims *claimStore
}

// claimStore counts the claims that are written and keeps the last one, or refuses
// them.
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

// NewPoolOwner returns the pool ownership of a gateway with the given incarnation. Its
// queries to other gateways fail.
func NewPoolOwner(node spool.NodeID, incarnation string, bootClock clock.Clock) PoolOwner {
	noAnswer := func(context.Context, string, aliveRequest) (aliveReply, error) { return aliveReply{}, errNoPeer }
	claims := &claimStore{}
	ownership := newPoolOwnership(spool.GatewaySettings{Node: node, ControlListen: "self"}, incarnation, claims, bootClock, noAnswer, zap.NewNop())
	ownership.accounts = func() []spool.AccountID { return nil }
	ownership.pollMembersEverywhere, ownership.pollMembers = func() {}, func() {}
	return PoolOwner{poolOwnership: ownership, claims: claims}
}

// Observe applies a claim record that was read at an offset.
func (o PoolOwner) Observe(record string, offset int64) { o.observeClaim([]byte(record), offset) }

// MarkEnded records that the process of an incarnation has ended.
func (o PoolOwner) MarkEnded(incarnation string) { o.markEnded(incarnation) }

// ProbeRefused lets the owner refuse the connection of the next probe.
func (o PoolOwner) ProbeRefused() {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{}, errors.Wrap(unix.ECONNREFUSED, "connect")
	}
	o.probe(context.Background(), noCandidates)
}

// ProbeAnswered runs probe. Every queried gateway answers with the given incarnation.
func (o PoolOwner) ProbeAnswered(incarnation string) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation}, nil
	}
	o.probe(context.Background(), noCandidates)
}

// ProbeReserve runs probe. Every queried gateway answers with the given incarnation and
// hands over the given reserve.
func (o PoolOwner) ProbeReserve(incarnation string, generation int, spent map[spool.ProgramID]int64) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation, Generation: generation, ReserveSpent: spent}, nil
	}
	o.probe(context.Background(), noCandidates)
}

// Confirm records that a read of the store, sent at sentAt, found no newer claim.
func (o PoolOwner) Confirm(sentAt clock.Millis) { o.recordConfirmation(sentAt) }

// RequestVote lets one other gateway be in contact and requests its vote. voted is the
// answer.
func (o PoolOwner) RequestVote(voted bool) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Voted: voted}, nil
	}
	o.handleQuery(aliveRequest{Address: "other"}, nil)
	o.requestVotes(context.Background())
}

// RequestVotes lets voting and refusing other gateways be in contact and requests their
// votes. The refusing ones refuse the connection.
func (o PoolOwner) RequestVotes(voting, refusing int) {
	o.queryPeer = func(_ context.Context, address string, _ aliveRequest) (aliveReply, error) {
		if strings.HasPrefix(address, "refusing") {
			return aliveReply{}, errors.Wrap(unix.ECONNREFUSED, "connect")
		}
		return aliveReply{Voted: true}, nil
	}
	for i := range voting {
		o.handleQuery(aliveRequest{Address: fmt.Sprintf("voting-%d", i)}, nil)
	}
	for i := range refusing {
		o.handleQuery(aliveRequest{Address: fmt.Sprintf("refusing-%d", i)}, nil)
	}
	o.requestVotes(context.Background())
}

// QueryItself makes this gateway answer a query that carries its own address.
func (o PoolOwner) QueryItself() { o.handleQuery(aliveRequest{Address: o.self.Address}, nil) }

// VoteRequests requests votes and returns how many gateways were asked. All of them
// vote.
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

// RecordLost records that the owner left a call unanswered that was sent at sentAt.
func (o PoolOwner) RecordLost(owner spool.NodeID, sentAt clock.Millis) { o.recordLost(owner, sentAt) }

// RecordAnswer records an answer of the owner.
func (o PoolOwner) RecordAnswer(owner spool.NodeID) { o.recordAnswer(owner) }

// GrantsUntil returns the end of the present authority.
func (o PoolOwner) GrantsUntil() clock.Millis {
	confirmed, _ := o.ConfirmedUntil(spool.ProgramStream(0))
	return confirmed + ownerAuthority
}

// Vote makes this gateway handle a vote request of the owner of an epoch. It reports
// whether this gateway voted.
func (o PoolOwner) Vote(epoch spool.Epoch) bool {
	return o.handleQuery(aliveRequest{VoteEpoch: epoch}, nil).Voted
}

// RecordContact records an answer of the owner to a query sent now. unused is what the
// answer says of the reserve.
func (o PoolOwner) RecordContact(unused bool) { o.recordContact(o.epoch, o.bootClock.Now(), unused) }

// Generation returns the reserve generation that the next claim would name.
func (o PoolOwner) Generation() int { return o.nextClaim().Generation }

// TakeReserve lets the last confirmation be voteRequestDelay old and the other gateway
// vote, and reports whether the reserve then grants tokens.
func (o PoolOwner) TakeReserve(id spool.ProgramID, need, budget int64) bool {
	o.recordConfirmation(o.bootClock.Now() - voteRequestDelay)
	o.RequestVote(true)
	return o.TakeConfirmed(id, need, budget)
}

// TakeConfirmed reports whether the reserve grants tokens, without a further vote.
func (o PoolOwner) TakeConfirmed(id spool.ProgramID, need, budget int64) bool {
	granted, err := o.takeReserve(reserveRequest{Program: id, Need: need, Budget: budget})
	return granted == need && err == nil
}

// YieldReserve handles a query that names a newer claim, and returns the generation and
// the spent tokens of the reserve that is handed over; 0 and nil for none.
func (o PoolOwner) YieldReserve(epoch spool.Epoch) (generation int, spent map[spool.ProgramID]int64) {
	reply := o.handleQuery(aliveRequest{YieldEpoch: epoch}, func(spool.Stream, spool.Epoch) json.RawMessage { return nil })
	return reply.Generation, reply.ReserveSpent
}

// CanGrant reports whether this gateway may grant, apart from the end of its authority.
func (o PoolOwner) CanGrant() bool { return o.canGrant() }

// ShouldClaim reports whether this gateway should write a claim now, given the live
// gateways.
func (o PoolOwner) ShouldClaim(live ...spool.NodeID) bool {
	return o.shouldClaim(func() []candidates.Candidate { return candidatesOf(spool.VMSize{}, live...) })
}

func noCandidates() []candidates.Candidate { return nil }

// ProbesWithin lets a manual clock pass and returns how many queries this gateway sends to
// an owner that answers. live are the gateways, this one included.
func (o PoolOwner) ProbesWithin(manual *clock.Manual, duration clock.Millis, incarnation string, live ...spool.NodeID) (probes int) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		probes++
		return aliveReply{Incarnation: incarnation}, nil
	}
	for end := manual.Now() + duration; manual.Now() < end; manual.Advance(claimInterval) {
		o.probe(context.Background(), func() []candidates.Candidate { return candidatesOf(spool.VMSize{}, live...) })
	}
	return probes
}

// candidatesOf returns gateways on VMs of one size.
func candidatesOf(size spool.VMSize, nodes ...spool.NodeID) (list []candidates.Candidate) {
	for _, node := range nodes {
		list = append(list, candidates.Candidate{Node: node, Size: size})
	}
	return list
}

// StepDown runs stepDown for a gateway on a VM of the given size. The other gateway has
// another size, and answers with the given incarnation.
func (o PoolOwner) StepDown(own, otherSize spool.VMSize, other spool.NodeID, incarnation string) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation}, nil
	}
	live := append(candidatesOf(own, o.self.Node), candidatesOf(otherSize, other)...)
	o.stepDown(context.Background(), func() []candidates.Candidate { return live }, func() []claimRecord { return []claimRecord{{Node: other, Incarnation: incarnation}} })
}

// NamesEarlierOwners reports whether the next claim would name earlier owners that may
// still grant.
func (o PoolOwner) NamesEarlierOwners() bool { return len(o.nextClaim().EarlierOwners) > 0 }

// FirstEpoch returns the epoch of the first claim of the current owner.
func (o PoolOwner) FirstEpoch() spool.Epoch {
	epoch, _ := o.Epoch(spool.ProgramStream(0))
	return epoch
}

// HandOver runs handOver with one candidate, which answers with the given incarnation
// and whether it is leaving.
func (o PoolOwner) HandOver(ctx context.Context, node spool.NodeID, incarnation string, leaving bool) {
	o.queryPeer = func(context.Context, string, aliveRequest) (aliveReply, error) {
		return aliveReply{Incarnation: incarnation, Leaving: leaving}, nil
	}
	o.handOver(ctx, func() []claimRecord { return []claimRecord{{Node: node, Incarnation: incarnation}} })
}

// YieldTo handles a query that names a newer claim, and returns the epoch whose pool
// levels are handed over; 0 for none.
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

// ClaimWrites returns the number of claims that were sent to the store, refused ones
// included.
func (o PoolOwner) ClaimWrites() int {
	o.claims.mu.Lock()
	defer o.claims.mu.Unlock()
	return o.claims.writes
}

// LastClaim returns the last claim that the store accepted, as JSON.
func (o PoolOwner) LastClaim() string {
	o.claims.mu.Lock()
	defer o.claims.mu.Unlock()
	return string(o.claims.last)
}

// PoolOwnerOf returns the pool ownership of a running gateway. Only the functions that
// do not write claims may be used.
func PoolOwnerOf(g *Gateway) PoolOwner { return PoolOwner{poolOwnership: g.limits.poolOwnership} }

// ReserveSpent returns how many tokens of a program are charged in the reserve that this
// gateway holds; 0 if it holds none.
func (o PoolOwner) ReserveSpent(id spool.ProgramID) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserve == nil {
		return 0
	}
	return o.reserve.Spent()[id]
}

// MemberRecords gives tests access to the memberTable of a gateway, without a gateway
// and a store.
type MemberRecords struct{ table *memberTable }

// NewMemberRecords returns the records that a gateway has read; none yet.
func NewMemberRecords(bootClock clock.Clock) MemberRecords {
	settings := spool.GatewaySettings{Node: "self"}
	ownership := NewPoolOwner("self", "self", bootClock).poolOwnership
	notLate := func() bool { return false }
	return MemberRecords{newMemberTable(settings, notLate, bootClock, ownership, homes.NewTable(bootClock), zap.NewNop())}
}

// Read applies a record of a node with an incarnation.
func (r MemberRecords) Read(node, incarnation string) {
	value, _ := json.Marshal(memberRecord{Incarnation: incarnation, Address: "address of " + incarnation})
	r.table.apply(spool.KeyedRecord{Key: memberKeyPrefix + node, Value: value})
}

// Confirm records that a read of the topic, sent at sentAt, found no newer record.
func (r MemberRecords) Confirm(sentAt clock.Millis) { r.table.confirm(sentAt) }

// AddressOf returns the address of an incarnation, whether it has ended, and whether its
// record may not have been read yet.
func (r MemberRecords) AddressOf(incarnation string) (address string, ended, unknown bool) {
	address, err := r.table.addressOf(incarnation)
	return address, errors.Is(err, errNoPeer), errors.Is(err, errHolderUnknown)
}

// SetLoadView replaces the load that the admission of programs uses. It must be called before
// the first request.
func SetLoadView(g *Gateway, view load.View) { g.engineLoads.view = view }

// LoadViewOf returns what a gateway knows of endpoints.
func LoadViewOf(g *Gateway) load.View { return g.loadView }

// CollectorOf returns the collector that last answered a gateway; empty if none has.
func CollectorOf(g *Gateway) string {
	g.loadExchange.mu.Lock()
	defer g.loadExchange.mu.Unlock()
	return string(g.loadExchange.current)
}

// ErrHistoriesBusy is the error of a reservation that was not granted.
var ErrHistoriesBusy = errHistoriesBusy

// HistoryMemory gives tests access to the historyMemory of a gateway.
type HistoryMemory struct{ *historyMemory }

// NewHistoryMemory returns a memory of a capacity in bytes.
func NewHistoryMemory(capacity int64) HistoryMemory { return HistoryMemory{newHistoryMemory(capacity)} }

// NewReservation returns a reservation without any bytes.
func (m HistoryMemory) NewReservation() HistoryReservation {
	return HistoryReservation{m.newReservation()}
}

// HistoryReservation gives tests access to a historyReservation.
type HistoryReservation struct{ *historyReservation }

// Raise makes the reservation cover a number of bytes.
func (r HistoryReservation) Raise(ctx context.Context, bytes int64) error { return r.raise(ctx, bytes) }

// Release gives the memory back.
func (r HistoryReservation) Release() { r.release() }

// Durations of reads.
const (
	FastRead = fastRead
	SlowRead = slowRead
)

// ReadSlots gives tests access to the readSlots of a gateway.
type ReadSlots struct{ *readSlots }

// NewReadSlots returns slots whose bound begins at lowest and rises to highest.
func NewReadSlots(lowest, highest int) ReadSlots { return ReadSlots{newReadSlots(lowest, highest)} }

// Acquire takes a slot for a read.
func (s ReadSlots) Acquire(ctx context.Context) error { return s.acquire(ctx) }

// Release returns the slot of a read that took a duration and ended with err.
func (s ReadSlots) Release(took clock.Millis, err error) { s.release(took, err) }

// Free returns the number of free slots.
func (s ReadSlots) Free() (free int) {
	for s.slots.TryAcquire(1) {
		free++
	}
	s.slots.Release(int64(free))
	return free
}

// HomeClient gives tests access to the homeClient of a gateway that is no home itself.
type HomeClient struct{ *homeClient }

// NewHomeClient returns a client of gateways whose calls answer answers.
func NewHomeClient(gateways []homes.Gateway, answer func(address string) error) HomeClient {
	table := homes.NewTable(clock.System())
	table.SetGateways(gateways)
	call := func(_ context.Context, address, _ string, _, _ any) error { return answer(address) }
	return HomeClient{newHomeClient(table, call, clock.System(), zap.NewNop())}
}

// Run runs an operation at the homes of a partition. It reports whether it ran at this
// gateway instead.
func (c HomeClient) Run(ctx context.Context, partition spool.Partition, remote func(call func() error, progressed func()) error) (isLocal bool, err error) {
	err = c.run(ctx, partition, homeOperation{
		local: func(context.Context, func()) error {
			isLocal = true
			return nil
		},
		remote: func(_ context.Context, call remoteCall, progressed func()) error {
			return remote(func() error { return call("", nil, nil) }, progressed)
		},
	})
	return isLocal, err
}

// HomeOrder returns the addresses of gateways in the order in which they are homes of a
// partition.
func HomeOrder(gateways []homes.Gateway, partition spool.Partition) (addresses []string) {
	rest := append([]homes.Gateway{}, gateways...)
	for len(rest) > 0 {
		table := homes.NewTable(clock.System())
		table.SetGateways(rest)
		first := table.Candidates(partition)[0]
		addresses = append(addresses, first.Address)
		rest = slices.DeleteFunc(rest, func(g homes.Gateway) bool { return g == first })
	}
	return addresses
}
