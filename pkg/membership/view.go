package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Verdict is an entry's assessment of another one.
type Verdict int

// The possible verdicts.
const (
	// Alive is also the verdict on an entry that this one does not watch.
	Alive Verdict = iota
	// Suspect means that the entry is silent and two others are asked to reach
	// it.
	Suspect
	// Dead means that the entry is silent and two others could not reach it
	// either.
	Dead
	// Leaving means that the entry is about to stop and claims no streams.
	Leaving
)

// requiredVerifiers is the number of other members that must fail to reach a
// silent one.
const requiredVerifiers = 2

// maxProbes bounds the members that are asked about a silent one before the
// check starts again.
const maxProbes = 2 * requiredVerifiers

// watchDepth is how many of the highest-ranked entries of a stream watch those
// ranked above them. A stream without an owner goes unnoticed only if that many
// entries fail within the lag of the VM list.
const watchDepth = 3

// Config holds the parameters of a view. New replaces zero values with
// defaults.
type Config struct {
	// Self is this entry as the VM list shows it.
	Self spool.VM
	// StreamCount is the number of program streams.
	StreamCount int
	// Fanout is the number of members that get heartbeats regardless of streams.
	Fanout int
	// HeartbeatEvery is the interval of heartbeats. SuspectAfter is the silence
	// after which a member is suspected.
	HeartbeatEvery clock.Millis
	SuspectAfter   clock.Millis
	// SettleAfter is how long an entry must rank first for a stream before it
	// asks the owner for a handover.
	SettleAfter clock.Millis
	// HandoverEvery is the minimum time between two requested handovers, and
	// between two granted ones.
	HandoverEvery clock.Millis
	// HoldOff is how long an entry does not follow a stream that was claimed from
	// it. It doubles with each loss, so that two entries that cannot reach each
	// other do not claim a stream from each other forever.
	HoldOff clock.Millis
	// ReplicaCount is the number of replicas of a unit that is not yet on the
	// log.
	ReplicaCount int
	// MaxTakeovers bounds the streams that are read and claimed at the same time.
	MaxTakeovers int
}

const (
	defaultFanout         = 4
	defaultHeartbeatEvery = 500 * clock.Millis(1)
	defaultSuspectAfter   = 3 * defaultHeartbeatEvery
	defaultSettleAfter    = 2 * clock.Second
	defaultHandoverEvery  = 500 * clock.Millis(1)
	defaultHoldOff        = 2 * clock.Second
	maxHoldOff            = clock.Minute
	defaultReplicaCount   = 2
	defaultMaxTakeovers   = 4
)

func (c Config) withDefaults() Config {
	c.Fanout = cmp.Or(c.Fanout, defaultFanout)
	c.HeartbeatEvery = cmp.Or(c.HeartbeatEvery, defaultHeartbeatEvery)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.SettleAfter = cmp.Or(c.SettleAfter, defaultSettleAfter)
	c.HandoverEvery = cmp.Or(c.HandoverEvery, defaultHandoverEvery)
	c.HoldOff = cmp.Or(c.HoldOff, defaultHoldOff)
	c.ReplicaCount = cmp.Or(c.ReplicaCount, defaultReplicaCount)
	c.MaxTakeovers = cmp.Or(c.MaxTakeovers, defaultMaxTakeovers)
	return c
}

// Command is a side effect that a View requests. It is one of the types below.
type Command interface{ command() }

type (
	// Heartbeat sends a heartbeat. The result is passed to HeartbeatDone.
	Heartbeat struct{ To spool.NodeID }

	// Probe asks Via whether it can reach Target. The result is passed to
	// ProbeDone.
	Probe struct{ Via, Target spool.NodeID }

	// Follow starts to read a stream in order to claim it.
	Follow struct {
		Stream   spool.Stream
		Replicas []spool.NodeID
	}

	// Abandon stops following a stream that another entry should own.
	Abandon struct{ Stream spool.Stream }

	// AllowTakeover permits this entry to replace the failed owner of a followed
	// stream.
	AllowTakeover struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}

	// RequestHandover asks the owner of a followed stream to release it.
	RequestHandover struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}
)

func (Heartbeat) command()       {}
func (Probe) command()           {}
func (Follow) command()          {}
func (Abandon) command()         {}
func (AllowTakeover) command()   {}
func (RequestHandover) command() {}

// member is the state of another entry in a view.
type member struct {
	vm      spool.VM
	verdict Verdict
	listed  bool
	// leaving is set by the entry's own messages, before the VM list shows it.
	leaving bool
	// silentSince is when the first heartbeat that is still unanswered was sent;
	// 0 while the entry answers.
	silentSince clock.Millis
	// heardAt is a lower bound of the time of the latest message.
	heardAt           clock.Millis
	nextHeartbeatAt   clock.Millis
	heartbeatInFlight bool
	// probes maps the members that were asked about this one to their answers.
	probes map[spool.NodeID]probeState
}

type probeState int

const (
	probePending probeState = iota
	probeUnreachable
	probeNoAnswer
)

// View is one entry's view of the others. It is not safe for concurrent use.
type View struct {
	config Config
	// now is the time of the latest Tick.
	now     clock.Millis
	members map[spool.NodeID]*member
	// selfListed means that the VM list shows this entry as live.
	selfListed        bool
	leaving           bool
	streams           []*streamView
	owners            map[spool.Stream]Ownership
	handoverAskedAt   clock.Millis
	handoverGrantedAt clock.Millis
	// candidates caches the entries that can own streams. It is rebuilt if dirty
	// is set.
	candidates []spool.NodeID
	targets    []spool.NodeID
	dirty      bool
	commands   []Command
}

// New returns a view without members.
func New(config Config) *View {
	v := &View{
		config: config.withDefaults(), members: map[spool.NodeID]*member{},
		owners: map[spool.Stream]Ownership{}, dirty: true,
	}
	for i := range config.StreamCount {
		v.streams = append(v.streams, &streamView{name: spool.ProgramStream(i)})
	}
	return v
}

// UpdateVMs handles a new VM list of the platform. The list lags behind the VMs.
func (v *View) UpdateVMs(now clock.Millis, vms []spool.VM) []Command {
	for _, m := range v.members {
		m.listed = false
	}
	wasListed := v.selfListed
	v.selfListed = false
	for _, vm := range vms {
		if vm.Role != spool.RoleEntry {
			continue
		}
		if vm.ID == v.config.Self.ID {
			v.selfListed = vm.State == spool.VMLive
			continue
		}
		m := v.members[vm.ID]
		if m == nil {
			m = &member{}
			v.members[vm.ID] = m
		}
		v.dirty = v.dirty || m.vm != vm
		m.vm, m.listed = vm, true
	}
	before := len(v.members)
	maps.DeleteFunc(v.members, func(_ spool.NodeID, m *member) bool { return !m.listed })
	v.dirty = v.dirty || len(v.members) != before || v.selfListed != wasListed
	return v.Tick(now)
}

// Leave makes this entry claim no more streams.
func (v *View) Leave() {
	v.dirty = v.dirty || !v.leaving
	v.leaving = true
}

// IsLeaving reports whether this entry is leaving.
func (v *View) IsLeaving() bool { return v.leaving }

// RecordMessage records a message of any content from a member.
func (v *View) RecordMessage(node spool.NodeID, leaving bool) {
	m := v.members[node]
	if m == nil {
		return
	}
	m.silentSince, m.probes, m.heardAt = 0, nil, v.now
	v.setVerdict(m, Alive, leaving)
}

// HeartbeatDone handles the result of a heartbeat; ok is false if there was no
// answer.
func (v *View) HeartbeatDone(now clock.Millis, node spool.NodeID, ok, leaving bool) []Command {
	m := v.members[node]
	if m == nil {
		return v.flush()
	}
	m.heartbeatInFlight = false
	if ok {
		v.RecordMessage(node, leaving)
	}
	return v.Tick(now)
}

func (v *View) setVerdict(m *member, verdict Verdict, leaving bool) {
	if m.verdict != verdict || m.leaving != leaving {
		v.dirty = true
	}
	m.verdict, m.leaving = verdict, leaving
}

// ProbeDone handles the result of a probe of target by via. answered is false if
// via did not answer; alive means that via reached target.
func (v *View) ProbeDone(now clock.Millis, via, target spool.NodeID, answered, alive bool) []Command {
	m := v.members[target]
	if m == nil || m.probes == nil {
		return v.flush()
	}
	switch {
	case alive:
		v.RecordMessage(target, m.leaving)
	case answered:
		m.probes[via] = probeUnreachable
	default:
		m.probes[via] = probeNoAnswer
	}
	return v.Tick(now)
}

// Tick advances the view to now and returns the commands that are due.
func (v *View) Tick(now clock.Millis) []Command {
	v.now = now
	v.refresh()
	for _, node := range v.targets {
		m := v.members[node]
		v.sendHeartbeat(now, node, m)
		v.verifySilent(now, node, m)
	}
	v.updateStreams(now)
	return v.flush()
}

// sendHeartbeat sends a heartbeat if one is due.
func (v *View) sendHeartbeat(now clock.Millis, node spool.NodeID, m *member) {
	if m.heartbeatInFlight || now < m.nextHeartbeatAt {
		return
	}
	m.heartbeatInFlight = true
	m.nextHeartbeatAt = now + v.config.HeartbeatEvery
	if m.silentSince == 0 {
		m.silentSince = now
	}
	v.commands = append(v.commands, Heartbeat{To: node})
}

// verifySilent asks two other members to reach a silent one. Its cost does not
// depend on the number of members.
func (v *View) verifySilent(now clock.Millis, node spool.NodeID, m *member) {
	if m.silentSince == 0 || now-m.silentSince < v.config.SuspectAfter || m.verdict == Dead {
		return
	}
	if m.probes == nil {
		m.probes = map[spool.NodeID]probeState{}
	}
	v.setVerdict(m, Suspect, m.leaving)
	unreachable, pending := 0, 0
	for _, answer := range m.probes {
		switch answer {
		case probeUnreachable:
			unreachable++
		case probePending:
			pending++
		}
	}
	if pending == 0 && len(m.probes) >= maxProbes && unreachable < requiredVerifiers {
		// Most of the members that were asked do not answer either, so the fault
		// may be on this side. Start again instead of asking every member.
		m.probes, m.silentSince = nil, now
		return
	}
	remainingVerifiers := 0
	for _, via := range Rank(string(v.config.Self.ID)+"/"+string(node), v.candidates) {
		if _, asked := m.probes[via]; via == node || via == v.config.Self.ID || asked || v.members[via].verdict != Alive {
			continue
		}
		remainingVerifiers++
		if unreachable+pending < requiredVerifiers {
			m.probes[via] = probePending
			pending++
			v.commands = append(v.commands, Probe{Via: via, Target: node})
		}
	}
	// If fewer than two others can be asked, one answer decides. If nobody can be
	// asked at all, the silence alone decides.
	tooFewVerifiers := remainingVerifiers == 0 && (unreachable > 0 || len(m.probes) == 0)
	if pending == 0 && (unreachable >= requiredVerifiers || tooFewVerifiers) {
		v.setVerdict(m, Dead, m.leaving)
	}
}

// refresh rebuilds the candidates and the heartbeat targets if dirty is set.
func (v *View) refresh() {
	if !v.dirty {
		return
	}
	v.dirty = false
	v.candidates = v.candidates[:0:0]
	others := make([]spool.NodeID, 0, len(v.members))
	for _, node := range slices.Sorted(maps.Keys(v.members)) {
		others = append(others, node)
		if v.isCandidate(v.members[node]) {
			v.candidates = append(v.candidates, node)
		}
	}
	if v.selfListed && !v.leaving {
		v.candidates = append(v.candidates, v.config.Self.ID)
		slices.Sort(v.candidates)
	}
	targets := map[spool.NodeID]bool{}
	for _, node := range Rank("heartbeat/"+string(v.config.Self.ID), others)[:min(v.config.Fanout, len(others))] {
		targets[node] = true
	}
	entries := make([]rankedEntry, 0, len(others)+1)
	for _, node := range append(others, v.config.Self.ID) {
		_, live := slices.BinarySearch(v.candidates, node)
		entries = append(entries, rankedEntry{node: node, hash: hash(node), isCandidate: live})
	}
	for _, s := range v.streams {
		v.rankStream(s, entries, targets)
	}
	v.targets = slices.Sorted(maps.Keys(targets))
}

func (v *View) isCandidate(m *member) bool {
	return m.verdict != Dead && !m.leaving && m.vm.State == spool.VMLive
}

// rankedEntry is an entry with the values that determine its rank for a stream.
type rankedEntry struct {
	node        spool.NodeID
	hash        uint64
	isCandidate bool
}

// rankStream finds the highest-ranked candidate for a stream. An entry that
// ranks near the top watches those above it, because it must notice when they
// fail.
func (v *View) rankStream(s *streamView, entries []rankedEntry, targets map[spool.NodeID]bool) {
	s.winner = ""
	key, best := hash(s.name), uint64(0)
	self := score(key, entries[len(entries)-1].hash)
	higherRanked := 0
	for _, r := range entries {
		weight := score(key, r.hash)
		if r.isCandidate && (s.winner == "" || weight > best || (weight == best && r.node < s.winner)) {
			s.winner, best = r.node, weight
		}
		if r.isCandidate && weight > self {
			higherRanked++
		}
	}
	for _, r := range entries {
		if higherRanked < watchDepth && score(key, r.hash) > self {
			targets[r.node] = true
		}
	}
	if s.winner == v.config.Self.ID && v.members[s.owner] != nil {
		targets[s.owner] = true
		v.watchOwnerRegion(s.owner, targets)
	}
}

// Verdict returns the verdict on a member; one that is not listed is dead.
func (v *View) Verdict(node spool.NodeID) Verdict {
	m := v.members[node]
	switch {
	case node == v.config.Self.ID:
		return Alive
	case m == nil:
		return Dead
	case m.verdict != Alive:
		return m.verdict
	case m.leaving || m.vm.State != spool.VMLive:
		return Leaving
	}
	return Alive
}

// LiveMembers returns the entries believed to be alive, sorted by ID. They
// include this one, leaving ones and those of regions that cannot be reached.
func (v *View) LiveMembers() []spool.VM {
	members := []spool.VM{v.config.Self}
	for node, m := range v.members {
		if !v.hasFailed(node) {
			members = append(members, m.vm)
		}
	}
	slices.SortFunc(members, func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Others returns every other entry on the VM list, whatever its verdict.
func (v *View) Others() []spool.NodeID { return slices.Sorted(maps.Keys(v.members)) }

// Targets returns the members that get heartbeats.
func (v *View) Targets() []spool.NodeID {
	v.refresh()
	return slices.Clone(v.targets)
}

func (v *View) flush() []Command {
	out := v.commands
	v.commands = nil
	return out
}
