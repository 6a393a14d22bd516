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
	// memberKeyPrefix precedes the node name of a gateway in the keys of the member
	// topic.
	memberKeyPrefix = "gateway/"
	// heartbeatInterval is the time between two writes of a gateway's record.
	heartbeatInterval = 2 * clock.Second
	// memberLiveTimeout is how long a gateway counts as running after its last record.
	memberLiveTimeout = 5 * clock.Second
)

// memberRecord is the record in which a gateway announces itself.
type memberRecord struct {
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	Address       string              `json:"address"`
	// Lifetime identifies the incarnation, which differs for each process of a node.
	Incarnation string `json:"lifetime"`
	Heartbeat   int64  `json:"beat"`
	// Leaving reports whether the gateway is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// memberTable holds the gateways of the deployment. It is the sink of the member topic
// and safe for concurrent use.
type memberTable struct {
	bootClock clock.Clock
	owner     *poolOwner
	self      spool.NodeID
	log       *zap.Logger

	mu      sync.Mutex
	members map[spool.NodeID]member
	// loaded is set by the first reset. selfKnown reports whether the records of that
	// reset included one of this node.
	loaded, selfKnown bool
	// loadedAt is when the first reset was applied.
	loadedAt    clock.Millis
	confirmedAt clock.Millis
}

type member struct {
	record memberRecord
	// seenAt is the time of the boot clock at which the record was read.
	seenAt clock.Millis
}

var _ sink = (*memberTable)(nil)

func newMemberTable(self spool.NodeID, bootClock clock.Clock, owner *poolOwner, log *zap.Logger) *memberTable {
	return &memberTable{bootClock: bootClock, owner: owner, self: self, log: log, members: map[spool.NodeID]member{}}
}

func (t *memberTable) reset(records []spool.KeyedRecord) {
	for _, record := range records {
		t.apply(record)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		_, t.selfKnown = t.members[t.self]
		t.loaded, t.loadedAt = true, t.bootClock.Now()
	}
}

func (t *memberTable) apply(record spool.KeyedRecord) {
	if record.Key == ownerKey {
		t.owner.observeClaim(record.Value, record.Offset)
		return
	}
	name, ok := strings.CutPrefix(record.Key, memberKeyPrefix)
	if !ok {
		return
	}
	var value memberRecord
	if err := json.Unmarshal(record.Value, &value); err != nil {
		t.log.Warn("malformed gateway record was ignored", zap.String("gateway", name), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[spool.NodeID(name)] = member{record: value, seenAt: t.bootClock.Now()}
}

func (t *memberTable) confirm(sentAt clock.Millis) {
	t.mu.Lock()
	t.confirmedAt = max(t.confirmedAt, sentAt)
	t.mu.Unlock()
	t.owner.recordConfirmation(sentAt)
}

// confirmed returns when the last read of the records was sent, and whether there has
// been one.
func (t *memberTable) confirmed() (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt, t.loaded
}

// isResumed reports whether the first read of the topic found a record of this node,
// which means that the node was running before this process started.
func (t *memberTable) isResumed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfKnown
}

// seenWithin returns the gateways whose record was read at most age ago, sorted. It
// always includes this one.
func (t *memberTable) seenWithin(age clock.Millis) (members []spool.NodeID) {
	now := t.bootClock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	members = append(members, t.self)
	for id, member := range t.members {
		if id != t.self && now-member.seenAt <= age {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	return members
}

// candidates returns the other running gateways that are not shutting down, as
// possible owners.
func (t *memberTable) candidates() (candidates []claimRecord) {
	for _, id := range t.liveMembers() {
		t.mu.Lock()
		record := t.members[id].record
		t.mu.Unlock()
		if id != t.self && record.Address != "" {
			candidates = append(candidates, claimRecord{Node: id, Address: record.Address, Incarnation: record.Incarnation})
		}
	}
	return candidates
}

// liveMembers returns the running gateways that are not shutting down.
func (t *memberTable) liveMembers() (live []spool.NodeID) {
	for _, id := range t.seenWithin(memberLiveTimeout) {
		if !t.isLeaving(id) {
			live = append(live, id)
		}
	}
	return live
}

func (t *memberTable) isLeaving(id spool.NodeID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[id].record.Leaving
}

// peerAddresses returns the addresses of the other gateways that may be running.
func (t *memberTable) peerAddresses() (addresses []string) {
	for _, id := range t.seenWithin(memberViewTimeout) {
		t.mu.Lock()
		address := t.members[id].record.Address
		t.mu.Unlock()
		if id != t.self && address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// mayBeIncomplete reports whether running gateways may be missing from the table,
// because this process has read the topic for less than a heartbeat and a poll
// interval.
func (t *memberTable) mayBeIncomplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.loaded || t.bootClock.Now()-t.loadedAt < heartbeatInterval+memberInterval
}

// addressOf returns the address of the gateway with the given incarnation.
func (t *memberTable) addressOf(incarnation string) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.members {
		if member.record.Incarnation == incarnation {
			return member.record.Address, member.record.Address != ""
		}
	}
	return "", false
}
