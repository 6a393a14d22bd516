package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Verdict is what an entry believes of another one.
type Verdict int

// The verdicts.
const (
	// Alive is also the verdict on an entry that nobody here watches.
	Alive Verdict = iota
	// Suspect means that the entry is silent and two others are asked about it.
	Suspect
	// Dead means that it is silent and two others could not reach it either.
	Dead
	// Leaving means that it is about to stop and takes no streams.
	Leaving
)

// verifiers is the number of other members that must fail to reach a silent one.
const requiredVerifiers = 2

// maxProbes bounds the members that are asked about a silent one in a row.
const maxProbes = 2 * requiredVerifiers

// watchDepth is how many of the best ranked entries of a stream watch those
// ranked above them. A stream is noticed as unowned unless that many entries
// fail within the lag of the VM list.
const watchDepth = 3

// Config holds the numbers of a view. New replaces zero values by defaults.
type Config struct {
	// Self is this entry as the VM list shows it.
	Self spool.VM
	// StreamCount is the number of program streams.
	StreamCount int
	// Fanout is the number of members that get heartbeats in any case.
	Fanout int
	// HeartbeatEvery paces heartbeats; DeadAfter is the silence after which a
	// member is suspected.
	HeartbeatEvery clock.Millis
	DeadAfter      clock.Millis
	// SettleAfter is how long an entry must rank first for a stream before it
	// asks the owner for it.
	SettleAfter clock.Millis
	// HandoverEvery is the least time between two handovers asked for, and
	// between two granted.
	HandoverEvery clock.Millis
	// HoldOff is how long an entry leaves a stream alone that was taken from it.
	// It doubles with each loss, so that two entries which cannot reach each other
	// do not take a stream from each other forever.
	HoldOff clock.Millis
	// Holders is the number of copies of a unit that is not yet on the log.
	Holders int
	// TakeAtOnce bounds the streams that are being read and claimed at a time.
	TakeAtOnce int
}

const (
	defaultFanout         = 4
	defaultHeartbeatEvery = 500 * clock.Millis(1)
	defaultDeadAfter      = 3 * defaultHeartbeatEvery
	defaultSettleAfter    = 2 * clock.Second
	defaultHandoverEvery  = 500 * clock.Millis(1)
	defaultHoldOff        = 2 * clock.Second
	maxHoldOff            = clock.Minute
	defaultHolders        = 2
	defaultTakeAtOnce     = 4
)

func (c Config) withDefaults() Config {
	c.Fanout = cmp.Or(c.Fanout, defaultFanout)
	c.HeartbeatEvery = cmp.Or(c.HeartbeatEvery, defaultHeartbeatEvery)
	c.DeadAfter = cmp.Or(c.DeadAfter, defaultDeadAfter)
	c.SettleAfter = cmp.Or(c.SettleAfter, defaultSettleAfter)
	c.HandoverEvery = cmp.Or(c.HandoverEvery, defaultHandoverEvery)
	c.HoldOff = cmp.Or(c.HoldOff, defaultHoldOff)
	c.Holders = cmp.Or(c.Holders, defaultHolders)
	c.TakeAtOnce = cmp.Or(c.TakeAtOnce, defaultTakeAtOnce)
	return c
}

// Command is a side effect that a view asks for. It is one of the types below.
type Command interface{ command() }

type (
	// Heartbeat sends a heartbeat. The answer goes to Answered.
	Heartbeat struct{ To spool.NodeID }

	// Probe asks Via whether it can reach Target. The answer goes to Probed.
	Probe struct{ Via, Target spool.NodeID }

	// Follow asks to read a stream in order to take it.
	Follow struct {
		Stream  spool.Stream
		Holders []spool.NodeID
	}

	// Abandon asks to stop following a stream that another entry should take.
	Abandon struct{ Stream spool.Stream }

	// Allow says that the owner of a followed stream is gone.
	Allow struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}

	// AskHandover asks the owner of a followed stream to release it.
	AskHandover struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}
)

func (Heartbeat) command()   {}
func (Probe) command()       {}
func (Follow) command()      {}
func (Abandon) command()     {}
func (Allow) command()       {}
func (AskHandover) command() {}

// member is what is known of another entry.
type member struct {
	vm      spool.VM
	verdict Verdict
	listed  bool
	// leaves is set by the entry's own messages, before the list shows it.
	leaving bool
	// silentSince is when the first heartbeat that is still unanswered was sent;
	// 0 while the entry answers.
	silentSince clock.Millis
	// heardAt is a lower bound of when the latest message came.
	heardAt clock.Millis
	nextHeartbeatAt  clock.Millis
	heartbeatInFlight   bool
	// probed maps the members that were asked about this one to their answer.
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
	// selfListed means that the VM list shows this entry.
	selfListed bool
	leaving    bool
	streams    []*streamView
	owners     map[spool.Stream]Ownership
	handoverAskedAt    clock.Millis
	handoverGrantedAt  clock.Millis
	// live caches the candidates for ownership; it is rebuilt when dirty.
	candidates    []spool.NodeID
	targets []spool.NodeID
	dirty   bool
	commands     []Command
}

// New returns a view that knows nobody.
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

// Listed takes the platform's list. It lags.
func (v *View) Listed(now clock.Millis, vms []spool.VM) []Command {
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

// Leave makes this entry take no streams any more.
func (v *View) Leave() {
	v.dirty = v.dirty || !v.leaving
	v.leaving = true
}

// Leaves reports whether this entry is leaving.
func (v *View) Leaves() bool { return v.leaving }

// Heard notes a message from a member, whatever it says.
func (v *View) Heard(node spool.NodeID, leaving bool) {
	m := v.members[node]
	if m == nil {
		return
	}
	m.silentSince, m.probes, m.heardAt = 0, nil, v.now
	v.setVerdict(m, Alive, leaving)
}

// Answered takes the answer to a heartbeat; ok is false when there was none.
func (v *View) Answered(now clock.Millis, node spool.NodeID, ok, leaving bool) []Command {
	m := v.members[node]
	if m == nil {
		return v.flush()
	}
	m.heartbeatInFlight = false
	if ok {
		v.Heard(node, leaving)
	}
	return v.Tick(now)
}

func (v *View) setVerdict(m *member, verdict Verdict, leaving bool) {
	if m.verdict != verdict || m.leaving != leaving {
		v.dirty = true
	}
	m.verdict, m.leaving = verdict, leaving
}

// Probed takes the answer of via about target; answered is false when via gave
// none.
func (v *View) Probed(now clock.Millis, via, target spool.NodeID, answered, alive bool) []Command {
	m := v.members[target]
	if m == nil || m.probes == nil {
		return v.flush()
	}
	switch {
	case alive:
		v.Heard(target, m.leaving)
	case answered:
		m.probes[via] = probeUnreachable
	default:
		m.probes[via] = probeNoAnswer
	}
	return v.Tick(now)
}

// Tick lets time pass.
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

// beat sends a heartbeat when one is due.
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

// suspect asks two other members about a silent one. Its cost does not depend on
// the number of members.
func (v *View) verifySilent(now clock.Millis, node spool.NodeID, m *member) {
	if m.silentSince == 0 || now-m.silentSince < v.config.DeadAfter || m.verdict == Dead {
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
		// Most of those asked do not answer either, so the fault may be on this
		// side. Start again instead of asking every member.
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
	// With fewer than two others to ask, one answer decides, and the own silence
	// does when there is nobody to ask at all.
	tooFewVerifiers := remainingVerifiers == 0 && (unreachable > 0 || len(m.probes) == 0)
	if pending == 0 && (unreachable >= requiredVerifiers || tooFewVerifiers) {
		v.setVerdict(m, Dead, m.leaving)
	}
}

// refresh rebuilds the candidates and the heartbeat targets.
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

// ranked is an entry with what its rank for a stream follows from.
type rankedEntry struct {
	node spool.NodeID
	hash uint64
	isCandidate bool
}

// rank finds the first candidate for a stream. An entry that ranks near the top
// watches those above it, since it is the one to notice their end.
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

// Verdict returns the verdict on a member; an unlisted one is dead.
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

// Members returns the entries believed to live, this one, leaving ones and those
// of regions that cannot be reached included, sorted by ID.
func (v *View) Members() []spool.VM {
	members := []spool.VM{v.config.Self}
	for node, m := range v.members {
		if !v.hasFailed(node) {
			members = append(members, m.vm)
		}
	}
	slices.SortFunc(members, func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Others returns every other entry that the VM list shows, whatever the verdict.
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
