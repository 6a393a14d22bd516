package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// memberKey precedes the name of a gateway in the members' topic.
	memberKeyPrefix = "gateway/"
	// memberBeat is the time between two writes of a gateway's record.
	heartbeatInterval = 2 * clock.Second
	// memberLive is how long a gateway counts as running after its last record.
	memberLiveTimeout = 5 * clock.Second
)

// memberRecord is what a gateway writes about itself.
type memberRecord struct {
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	Address       string              `json:"address"`
	// Lifetime tells the processes of a node apart.
	Lifetime string `json:"lifetime"`
	Beat     int64  `json:"beat"`
	// Leaving says that the gateway stops.
	Leaving bool `json:"leaving,omitempty"`
}

// memberBook holds the gateways of the deployment. It is a sink of the members'
// topic and safe for concurrent use.
type memberTable struct {
	bootClock clock.Clock
	owner     *poolOwner
	self      spool.NodeID
	log       *zap.Logger

	mu      sync.Mutex
	members map[spool.NodeID]member
	// loaded is set by the first reset; known says that it held this node.
	loaded, selfKnown bool
	// loadedAt is when that reset was taken in.
	loadedAt    clock.Millis
	confirmedAt clock.Millis
}

type member struct {
	record memberRecord
	// seenAt is the boot clock when the record was read.
	seenAt clock.Millis
}

var _ sink = (*memberTable)(nil)

func newMemberTable(self spool.NodeID, bootClock clock.Clock, owner *poolOwner, log *zap.Logger) *memberTable {
	return &memberTable{bootClock: bootClock, owner: owner, self: self, log: log, members: map[spool.NodeID]member{}}
}

func (b *memberTable) reset(records []spool.KeyedRecord) {
	for _, record := range records {
		b.apply(record)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.loaded {
		_, b.selfKnown = b.members[b.self]
		b.loaded, b.loadedAt = true, b.bootClock.Now()
	}
}

func (b *memberTable) apply(record spool.KeyedRecord) {
	if record.Key == ownerKey {
		b.owner.observeClaim(record.Value, record.Offset)
		return
	}
	name, ok := strings.CutPrefix(record.Key, memberKeyPrefix)
	if !ok {
		return
	}
	var value memberRecord
	if err := json.Unmarshal(record.Value, &value); err != nil {
		b.log.Warn("gateway's record is left out", zap.String("gateway", name), zap.Error(err))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[spool.NodeID(name)] = member{record: value, seenAt: b.bootClock.Now()}
}

func (b *memberTable) confirm(sentAt clock.Millis) {
	b.mu.Lock()
	b.confirmedAt = max(b.confirmedAt, sentAt)
	b.mu.Unlock()
	b.owner.recordConfirmation(sentAt)
}

// confirmed returns when the last read of the records was sent; false before the
// first.
func (b *memberTable) confirmed() (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmedAt, b.loaded
}

// resumed reports whether this node had a record before this process started.
func (b *memberTable) isResumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.selfKnown
}

// within returns the gateways whose record is younger than age, this one always,
// in order.
func (b *memberTable) seenWithin(age clock.Millis) (members []spool.NodeID) {
	now := b.bootClock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	members = append(members, b.self)
	for id, member := range b.members {
		if id != b.self && now-member.seenAt <= age {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	return members
}

// candidates returns the other gateways that run and do not leave, as owners.
func (b *memberTable) candidates() (candidates []claimRecord) {
	for _, id := range b.liveMembers() {
		b.mu.Lock()
		record := b.members[id].record
		b.mu.Unlock()
		if id != b.self && record.Address != "" {
			candidates = append(candidates, claimRecord{Node: id, Address: record.Address, Lifetime: record.Lifetime})
		}
	}
	return candidates
}

// live returns the gateways that run and do not leave.
func (b *memberTable) liveMembers() (live []spool.NodeID) {
	for _, id := range b.seenWithin(memberLiveTimeout) {
		if !b.isLeaving(id) {
			live = append(live, id)
		}
	}
	return live
}

func (b *memberTable) isLeaving(id spool.NodeID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members[id].record.Leaving
}

// addresses returns where the other gateways that may run answer.
func (b *memberTable) peerAddresses() (addresses []string) {
	for _, id := range b.seenWithin(memberViewTimeout) {
		b.mu.Lock()
		address := b.members[id].record.Address
		b.mu.Unlock()
		if id != b.self && address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// settling reports whether gateways that run may not be known yet.
func (b *memberTable) mayBeIncomplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.loaded || b.bootClock.Now()-b.loadedAt < heartbeatInterval+memberInterval
}

// addressOf returns where the gateway of a lifetime answers.
func (b *memberTable) addressOf(incarnation string) (address string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, member := range b.members {
		if member.record.Lifetime == incarnation {
			return member.record.Address, member.record.Address != ""
		}
	}
	return "", false
}
