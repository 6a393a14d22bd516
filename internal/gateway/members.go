package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// memberKeyPrefix and the node name of a gateway form the key of its record in the
	// member topic.
	memberKeyPrefix = "gateway/"
	// heartbeatInterval is the pause between two writes of a gateway's member record.
	heartbeatInterval = 2 * clock.Second
	// memberLiveTimeout is how long after its last record a gateway is treated as
	// running.
	memberLiveTimeout = 5 * clock.Second
)

// memberRecord is the record that each gateway writes to the member topic periodically.
// The JSON names lifetime and beat are kept, as in claimRecord.
type memberRecord struct {
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	Address       string              `json:"address"`
	// Incarnation differs for each process of a node.
	Incarnation string `json:"lifetime"`
	// Heartbeat is the number of this record among those that the process has tried to
	// write.
	Heartbeat int64 `json:"beat"`
	// Leaving reports whether the gateway is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Size is that of the gateway's VM; zero in records of earlier versions.
	Size spool.VMSize `json:"size"`
	// Late reports that the process has lately run late.
	Late bool `json:"late,omitempty"`
}

// candidate returns what the record of a node says of it as a candidate for a role.
func (r memberRecord) candidate(id spool.NodeID) candidates.Candidate {
	return candidates.Candidate{Node: id, Size: r.Size, Late: r.Late}
}

// memberTable holds the newest record of each gateway of the deployment. It is the sink
// of the member topic, passes claims on to poolOwnership, and is safe for concurrent
// use.
type memberTable struct {
	bootClock     clock.Clock
	poolOwnership *poolOwnership
	// rollouts gets the records of rollouts; nil if rollouts are off. onConfirmed is called
	// after each read of the topic.
	rollouts    *rolloutTable
	onConfirmed func()
	// homes gets the running gateways after each read of the topic.
	homes *homes.Table
	self  spool.NodeID
	// selfDomain is the failure domain of this gateway.
	selfDomain spool.FailureDomain
	// selfSize is the size of the VM of this gateway, and isLate reports whether its
	// process is late.
	selfSize spool.VMSize
	isLate   func() bool
	log      *zap.Logger

	mu      sync.Mutex
	members map[spool.NodeID]member
	// incarnations holds those that have no record in members.
	incarnations incarnationTracker
	// loaded is set by the first reset. selfKnown reports whether the records of that
	// reset included one of the node of this gateway.
	loaded, selfKnown bool
	// confirmedAt is when the newest read of the topic was sent.
	confirmedAt clock.Millis
}

type member struct {
	record memberRecord
	// seenAt is the time of the boot clock at which the record was read.
	seenAt clock.Millis
}

var _ sink = (*memberTable)(nil)

func newMemberTable(settings spool.GatewaySettings, isLate func() bool, bootClock clock.Clock, ownership *poolOwnership, table *homes.Table, log *zap.Logger) *memberTable {
	return &memberTable{
		bootClock: bootClock, poolOwnership: ownership, homes: table, self: settings.Node, selfDomain: settings.FailureDomain, selfSize: settings.Size,
		isLate: isLate, log: log, members: map[spool.NodeID]member{}, incarnations: newIncarnationTracker(),
	}
}

func (t *memberTable) reset(records []spool.KeyedRecord) {
	for _, record := range records {
		t.apply(record)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		_, t.selfKnown = t.members[t.self]
		t.loaded = true
	}
}

func (t *memberTable) apply(record spool.KeyedRecord) {
	defer ignorePanickingRecord(t.log, record)
	if record.Key == ownerKey {
		t.poolOwnership.observeClaim(record.Value, record.Offset)
		return
	}
	t.rollouts.observeRecord(record)
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
	id := spool.NodeID(name)
	if previous, known := t.members[id]; known && previous.record.Incarnation != value.Incarnation {
		t.incarnations.markEnded(previous.record.Incarnation)
	}
	t.members[id] = member{record: value, seenAt: t.bootClock.Now()}
}

func (t *memberTable) confirm(sentAt clock.Millis) {
	t.mu.Lock()
	t.confirmedAt = max(t.confirmedAt, sentAt)
	t.mu.Unlock()
	t.homes.SetGateways(t.homeGateways())
	t.poolOwnership.recordConfirmation(sentAt)
	t.rollouts.confirm(sentAt)
	if t.onConfirmed != nil {
		t.onConfirmed()
	}
}

// confirmed returns when the newest read of the member topic was sent, and whether
// there has been one.
func (t *memberTable) confirmed() (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt, t.loaded
}

// isResumed reports whether the first read of the topic found a record of the node of
// this gateway, which means that the gateway was running before this process started.
func (t *memberTable) isResumed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfKnown
}

// seenWithin returns the gateways whose newest record was read at most age ago, sorted
// by name. The result always includes this gateway.
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

// domainPosition returns the position of this gateway among the given ones that are in its
// failure domain, and their number.
func (t *memberTable) domainPosition(nodes []spool.NodeID) (position, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range nodes {
		if id == t.self {
			position = count
		}
		if id == t.self || t.members[id].record.FailureDomain == t.selfDomain {
			count++
		}
	}
	return position, count
}

// successors returns a claim for each other gateway that is running, is not shutting
// down and has an address, in the order in which they should own the pools.
func (t *memberTable) successors() (claims []claimRecord) {
	for _, candidate := range candidates.Rank(ownerKey, t.liveMembers()) {
		t.mu.Lock()
		record := t.members[candidate.Node].record
		t.mu.Unlock()
		if candidate.Node != t.self && record.Address != "" {
			claims = append(claims, claimRecord{Node: candidate.Node, Address: record.Address, Incarnation: record.Incarnation})
		}
	}
	return claims
}

// liveMembers returns the gateways whose newest record was read within
// memberLiveTimeout and does not say that they are shutting down. The result includes
// this gateway unless it is shutting down.
func (t *memberTable) liveMembers() (live []candidates.Candidate) {
	for _, id := range t.seenWithin(memberLiveTimeout) {
		if !t.isLeaving(id) {
			live = append(live, t.candidate(id))
		}
	}
	return live
}

// candidate returns what is known of a gateway as a candidate for a role.
func (t *memberTable) candidate(id spool.NodeID) candidates.Candidate {
	if id == t.self {
		return candidates.Candidate{Node: id, Size: t.selfSize, Late: t.isLate()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[id].record.candidate(id)
}

// homeGateways returns the gateways that may be homes of partitions: those that can bear
// it, of this one and those that were running at the newest read of the topic. While the
// topic cannot be read, the gateways stay the same.
func (t *memberTable) homeGateways() (gateways []homes.Gateway) {
	list := []candidates.Candidate{t.candidate(t.self)}
	addresses := map[spool.NodeID]string{}
	t.mu.Lock()
	for id, member := range t.members {
		isLive := t.confirmedAt-member.seenAt <= memberLiveTimeout
		if id != t.self && isLive && !member.record.Leaving && member.record.Address != "" {
			list = append(list, member.record.candidate(id))
			addresses[id] = member.record.Address
		}
	}
	t.mu.Unlock()
	for _, candidate := range candidates.Able(list) {
		gateways = append(gateways, homes.Gateway{Node: candidate.Node, Address: addresses[candidate.Node]})
	}
	return gateways
}

func (t *memberTable) isLeaving(id spool.NodeID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[id].record.Leaving
}

// peerAddresses returns the addresses of the other gateways whose newest record was
// read within memberViewTimeout.
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

// addressOf returns the address of the gateway whose newest record has the given
// incarnation. It fails with errNoPeer if that incarnation has ended or has no address,
// and with errHolderUnknown if its record may not have been read yet.
func (t *memberTable) addressOf(incarnation string) (address string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.members {
		if member.record.Incarnation != incarnation {
			continue
		}
		if member.record.Address == "" {
			return "", errNoPeer
		}
		return member.record.Address, nil
	}
	if t.incarnations.hasEnded(incarnation, t.bootClock.Now(), t.confirmedAt) {
		return "", errNoPeer
	}
	return "", errHolderUnknown
}
