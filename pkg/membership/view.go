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
	// Alive means that the entry answers or has not been silent for SuspectAfter.
	// It is also the verdict on an entry to which this one sends no heartbeats.
	Alive Verdict = iota
	// Suspect means that the entry has been silent for at least SuspectAfter and
	// that up to requiredVerifiers other entries at a time are asked to reach it.
	Suspect
	// Dead means that the entry is silent and that requiredVerifiers other entries
	// could not reach it either. If all that can be asked were asked, one of them
	// is enough; if none can be asked, the silence alone is. View.Verdict also
	// returns Dead for an entry that is not on the VM list.
	Dead
	// Leaving means that the entry answers but is about to stop, according to its
	// messages or the VM list, and claims no more streams.
	Leaving
)

// requiredVerifiers is the number of other members that must report that they
// cannot reach a silent one before it is considered dead.
const requiredVerifiers = 2

// maxProbes is the number of members that are asked about a silent one before
// the check starts again, if too few of them have answered.
const maxProbes = 2 * requiredVerifiers

// watchDepth is how many candidates of each stream, counted from the highest
// rank, watch the entries ranked above them by sending them heartbeats. A failed
// owner can go unnoticed until the VM list shows it only if all of these
// candidates fail too.
const watchDepth = 3

// member is the state of another entry in a view.
type member struct {
	vm spool.VM
	// verdict is Alive, Suspect or Dead. Leaving is derived by View.Verdict.
	verdict Verdict
	// listed means that the VM list being processed by UpdateVMs has the entry.
	listed bool
	// leaving means that the latest message of the entry announced that it leaves.
	// The VM list may not show this yet.
	leaving bool
	// silentSince is when the first heartbeat after the latest message was sent, or
	// when the check of a silent entry started again; 0 if none was sent.
	silentSince clock.Millis
	// heardAt is the time of the Tick before the latest message, and so a lower
	// bound of the time of that message; 0 if there was none.
	heardAt           clock.Millis
	nextHeartbeatAt   clock.Millis
	heartbeatInFlight bool
	// probes maps the members that were asked to reach this one to their answers.
	// It is nil before a check of the entry starts, and after a message from it.
	probes map[spool.NodeID]probeState
}

type probeState int

const (
	// probePending means that the member has been asked.
	probePending probeState = iota
	// probeUnreachable means that the member answered that it could not reach the
	// target.
	probeUnreachable
	// probeNoAnswer means that the member did not answer.
	probeNoAnswer
)

// View is the state machine in which one entry keeps what it knows about the
// others and decides which streams to claim. It is not safe for concurrent use.
type View struct {
	config Config
	// now is the time of the latest Tick.
	now     clock.Millis
	members map[spool.NodeID]*member
	// selfListed means that the VM list shows this entry as live. leaving means
	// that Leave was called.
	selfListed bool
	leaving    bool
	// streams holds the program streams, by index.
	streams []*streamView
	// owners maps each stream to the owner with the highest epoch learned.
	owners map[spool.Stream]Ownership
	// handoverAskedAt and handoverGrantedAt are the times of the latest handover
	// request and of the latest grant, for any stream.
	handoverAskedAt   clock.Millis
	handoverGrantedAt clock.Millis
	// candidates caches the entries that can claim streams, targets the members
	// that get heartbeats; both are sorted by ID. dirty means that they and the
	// winners of the streams are outdated, so that refresh rebuilds them.
	candidates []spool.NodeID
	targets    []spool.NodeID
	dirty      bool
	// commands are the commands that flush returns next.
	commands []Command
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

// UpdateVMs handles a new VM list of the platform. It adds and removes members;
// rows of other roles than entries are ignored. The list shows changes of VMs
// only after a delay.
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

// Leave marks this entry as leaving. It claims no more streams and grants
// handovers without delay.
func (v *View) Leave() {
	v.dirty = v.dirty || !v.leaving
	v.leaving = true
}

// IsLeaving reports whether Leave was called.
func (v *View) IsLeaving() bool { return v.leaving }

// RecordMessage records that a member has sent a message of any content or an
// answer. It makes the verdict Alive and ends a check of the member. leaving is
// what the member reports about itself.
func (v *View) RecordMessage(node spool.NodeID, leaving bool) {
	m := v.members[node]
	if m == nil {
		return
	}
	m.silentSince, m.probes, m.heardAt = 0, nil, v.now
	v.setVerdict(m, Alive, leaving)
}

// HeartbeatDone handles the result of a heartbeat. ok is false if there was no
// answer; leaving is what the member reports about itself in the answer.
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

// ProbeDone handles the result of a Probe. answered is false if via did not
// answer; alive means that via reached target, which is then treated like a
// message from target.
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

// sendHeartbeat sends a heartbeat if HeartbeatEvery has passed since the
// previous one and no heartbeat to the member is in flight.
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

// verifySilent asks other members to reach one that has been silent for
// SuspectAfter, and makes the verdict Dead if enough of them cannot. It asks at
// most requiredVerifiers at a time and about maxProbes in total, so that the
// number of messages does not grow with the number of members.
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
		// Most of the members that were asked do not answer this entry either, so
		// the fault may be in its own network. Start the check again, after another
		// SuspectAfter, instead of asking every member.
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
	// If everyone who can be asked was asked, one report that the member cannot be
	// reached is enough. If nobody could be asked at all, the silence is enough.
	tooFewVerifiers := remainingVerifiers == 0 && (unreachable > 0 || len(m.probes) == 0)
	if pending == 0 && (unreachable >= requiredVerifiers || tooFewVerifiers) {
		v.setVerdict(m, Dead, m.leaving)
	}
}

// refresh rebuilds the candidates, the winner of each stream and the heartbeat
// targets if dirty is set.
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

// isCandidate reports whether an entry can claim streams: it is not dead, not
// leaving and live on the VM list.
func (v *View) isCandidate(m *member) bool {
	return m.verdict != Dead && !m.leaving && m.vm.State == spool.VMLive
}

// rankedEntry is an entry with the values that determine its rank for any
// stream.
type rankedEntry struct {
	node        spool.NodeID
	hash        uint64
	isCandidate bool
}

// rankStream sets the winner of a stream, the candidate with the highest rank.
// It also adds heartbeat targets: if fewer than watchDepth candidates rank
// above this entry, all entries that do, because this one must notice when they
// fail; and if this entry ranks first, the present owner. The last element of
// entries is this entry.
func (v *View) rankStream(s *streamView, entries []rankedEntry, targets map[spool.NodeID]bool) {
	s.winner = ""
	key, best := hash(s.name), uint64(0)
	self := score(key, entries[len(entries)-1].hash)
	higherRanked := 0
	for _, r := range entries {
		nodeScore := score(key, r.hash)
		if r.isCandidate && (s.winner == "" || nodeScore > best || (nodeScore == best && r.node < s.winner)) {
			s.winner, best = r.node, nodeScore
		}
		if r.isCandidate && nodeScore > self {
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

// Verdict returns the verdict on an entry: Alive on this one, Dead on one that
// is not on the VM list.
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

// LiveMembers returns the entries that have not failed (see hasFailed), sorted
// by ID. They include this one, suspected and leaving ones, and silent ones of
// a region that cannot be reached.
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

// Others returns all entries on the VM list except this one, whatever their
// verdicts, sorted by ID.
func (v *View) Others() []spool.NodeID { return slices.Sorted(maps.Keys(v.members)) }

// Targets returns the members that get heartbeats from this entry, sorted by ID.
func (v *View) Targets() []spool.NodeID {
	v.refresh()
	return slices.Clone(v.targets)
}

func (v *View) flush() []Command {
	out := v.commands
	v.commands = nil
	return out
}
