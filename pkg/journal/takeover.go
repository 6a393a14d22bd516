package journal

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// sealing is one node that a new owner asks before it serves.
type sealing struct {
	// holder is true for a holder, whose answer is always needed. That of a
	// previous owner is needed only when a holder has lost its copies, since
	// everything that the owner acknowledged is at a holder as well.
	holder bool
	// answered means that the node has been sealed, gone that the platform does
	// not list it any more.
	answered bool
	gone     bool
	// whole means that the holder has not restarted since its copies count.
	whole   bool
	asked   bool
	retryAt clock.Millis
	tries   int
}

// ownerTries is how often a previous owner is asked that need not answer.
const ownerTries = 2

// Follow starts to read the stream in order to claim it, naming the holders to
// use. The claim follows when the stream has no owner, or Allow was called for
// its owner. It is ignored unless the journal is idle.
func (j *Journal) Follow(now clock.Millis, holders []spool.NodeID) []Command {
	if j.phase != PhaseIdle {
		return j.flush()
	}
	stats := j.Stats()
	*j = Journal{config: j.config, pace: j.pace, phase: PhaseReading, replay: NewReplay(0), stats: stats, attempts: j.attempts, serial: j.serial}
	j.choose(holders)
	j.emit(Reset{})
	return j.Tick(now)
}

// Allow permits to replace owner without a release. The caller has evidence that
// it is gone; a wrong verdict costs a change of owner and nothing else.
func (j *Journal) Allow(now clock.Millis, owner spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.allowed = owner
	}
	return j.Tick(now)
}

// Abandon stops following when the stream is no longer wanted. It is ignored
// once the claim may be on the stream.
func (j *Journal) Abandon() []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.reset()
		j.emit(Lost{Cause: LossAbandoned})
	}
	return j.flush()
}

// claim decides at the tail of the stream whether to claim it.
func (j *Journal) claim(now clock.Millis) {
	if j.phase != PhaseReady || !j.atTail || j.logDown {
		return
	}
	owner, _, owned := j.Owner()
	if owned && owner != j.config.Node && owner != j.allowed {
		return
	}
	// An epoch never exceeds the offset of its claim, so an epoch above the last
	// offset is new even when retention has removed every earlier claim.
	j.epoch = max(j.fold.Epoch(), spool.Epoch(j.fold.Offset())) + 1
	j.phase = PhaseClaiming
	j.pace.expedite(now)
}

// finishReading ends the replay. From now on the tail is followed.
func (j *Journal) finishReading() {
	fold, start, units, found := j.replay.Finish()
	j.fold, j.replay = fold, nil
	if !found {
		j.stats.NoState++
	}
	if len(start) > 0 {
		j.emit(Apply{Batch: spool.Batch{Epoch: fold.Epoch(), Records: start}})
	}
	for _, unit := range units {
		j.emit(Apply{Batch: unit.Batch})
	}
	j.phase = PhaseReady
}

// follow folds one batch at the tail and reports whether the journal goes on.
func (j *Journal) follow(now clock.Millis, batch spool.Batch) bool {
	before := j.fold.State()
	units := j.fold.Add(batch)
	if a := j.attempt; a != nil && a.batch.ID == batch.ID {
		j.snapshots.confirm(a.part)
		j.adopt(a.adopted)
		j.attempt = nil
	}
	// While claiming, a lower epoch of another node is no loss: the own claim
	// still takes the stream when it appears.
	if after := j.fold.Epoch(); j.phase >= PhaseClaiming && after >= j.epoch && !j.won() {
		j.lose(spool.NotRunTrue)
		return false
	}
	for _, unit := range units {
		j.committedUnit(unit)
	}
	switch {
	case j.phase == PhaseClaiming && j.won():
		j.startSealing(now, before)
	case j.phase == PhaseRestoring && j.fold.state.Recovered == j.epoch:
		j.startServing(now)
	case j.phase == PhaseReleasing && j.fold.state.Released:
		j.finishRelease()
		return false
	}
	return true
}

func (j *Journal) won() bool {
	return j.fold.state.Epoch == j.epoch && j.fold.state.Owner == j.config.Node
}

// committedUnit handles a unit that was found valid on the stream.
func (j *Journal) committedUnit(unit Unit) {
	if unit.Batch.Epoch != j.epoch || j.phase < PhaseServing {
		j.emit(Apply{Batch: unit.Batch})
		return
	}
	j.stats.Units++
	j.committed = unit.Sequence
	if unit.Sequence > j.applied {
		j.apply(unit)
	}
	for len(j.units) > 0 && j.units[0].unit.Sequence <= unit.Sequence {
		e := j.units[0]
		j.units[0] = nil
		j.units = j.units[1:]
		j.backlog -= e.size
		j.answer(e, nil)
	}
}

// startSealing fences the previous holders and asks for what they hold.
func (j *Journal) startSealing(now clock.Millis, before State) {
	j.stats.Claims++
	j.phase = PhaseSealing
	j.openBy = now + j.config.OpenWait
	j.seals = map[spool.NodeID]*sealing{}
	j.incarnations = before.Incarnations
	j.releases = map[spool.NodeID]*releasing{}
	for _, node := range union(before.Owners, before.Holders) {
		j.releases[node] = &releasing{epoch: j.epoch}
	}
	if before.Released {
		j.inherited = before.Handover
		return
	}
	for _, node := range before.Owners {
		j.seals[node] = &sealing{}
	}
	for _, node := range before.Holders {
		j.seals[node] = &sealing{holder: true}
	}
}

// takeover drives the phases between the claim and serving.
func (j *Journal) takeover(now clock.Millis) {
	if j.phase != PhaseSealing {
		return
	}
	open := now >= j.openBy
	for _, node := range sorted(j.seals) {
		seal := j.seals[node]
		if !seal.answered && !seal.gone && !seal.asked && now >= seal.retryAt {
			seal.asked = true
			j.emit(Seal{Node: node, Epoch: j.epoch})
		}
	}
	j.hold(now)
	if len(j.Awaited()) == 0 && (open || j.allOpen()) {
		slices.SortStableFunc(j.restore, compareUnits)
		j.phase = PhaseRestoring
	}
}

func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Batch.Epoch, b.Batch.Epoch), cmp.Compare(a.Sequence, b.Sequence))
}

// Sealing is a node's answer to a Seal command.
type Sealing struct {
	// Units are those held of lower epochs, in order.
	Units []Unit
	// Incarnation is that of the node's process.
	Incarnation string
}

// SealDone takes the answer to a Seal command; answer is nil when there was
// none. fenced means that the node has been sealed by a higher epoch.
func (j *Journal) SealDone(now clock.Millis, command Seal, answer *Sealing, fenced bool) []Command {
	seal := j.seals[command.Node]
	if seal == nil || j.phase != PhaseSealing || command.Epoch != j.epoch {
		return j.Tick(now)
	}
	seal.asked = false
	switch {
	case fenced:
		j.lose(spool.NotRunUnknown)
	case answer != nil:
		seal.answered = true
		known, counted := j.incarnations[command.Node]
		seal.whole = !counted || known == answer.Incarnation
		j.restore = append(j.restore, answer.Units...)
	default:
		seal.retryAt = now + j.config.RetryAfter
		seal.tries++
	}
	return j.Tick(now)
}

// Gone tells that the platform no longer lists a node, so that nothing held
// there can be recovered.
func (j *Journal) Gone(now clock.Millis, node spool.NodeID) []Command {
	if seal := j.seals[node]; seal != nil && j.phase == PhaseSealing {
		seal.gone = true
	}
	return j.Tick(now)
}

// Awaited lists the nodes whose answer to a seal is missing and needed.
func (j *Journal) Awaited() (nodes []spool.NodeID) {
	if j.phase != PhaseSealing {
		return nil
	}
	whole := true
	for _, seal := range j.seals {
		whole = whole && (!seal.holder || (seal.answered && seal.whole))
	}
	for _, node := range sorted(j.seals) {
		seal := j.seals[node]
		spared := !seal.holder && whole && (node == j.allowed || seal.tries >= ownerTries)
		if !seal.answered && !seal.gone && !spared {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// restoreRecords returns the next recovered units and, with the last of them,
// the marker that ends the recovery.
func (j *Journal) restoreRecords() []spool.Record {
	j.dropRestored()
	var units []Unit
	size := 0
	for _, unit := range j.restore {
		if size += Size(unit.Batch.Records); size > j.config.BatchBytes && len(units) > 0 {
			return EncodeUnits(units)
		}
		units = append(units, unit)
	}
	return append(EncodeUnits(units), encode(KindRecovered, Claim{Incarnations: j.opened(j.order)}))
}

// dropRestored removes the recovered units that are on the stream by now; two
// holders usually return the same ones.
func (j *Journal) dropRestored() {
	keep := j.restore[:0:0]
	for i, unit := range j.restore {
		repeated := i > 0 && compareUnits(j.restore[i-1], unit) == 0
		if !repeated && unit.Sequence > j.fold.state.Applied[unit.Batch.Epoch] && unit.Batch.Epoch >= j.fold.state.Recovered {
			keep = append(keep, unit)
		}
	}
	j.restore = keep
}

func (j *Journal) startServing(now clock.Millis) {
	j.phase = PhaseServing
	j.restore = nil
	j.confirmed = j.readStart
	// Only copies of holders that the stream names with their incarnation count.
	for node, p := range j.peers {
		incarnation, named := j.fold.state.Incarnations[node]
		p.usable = p.opened && named && incarnation == p.incarnation
	}
	for _, release := range j.releases {
		release.at = now
	}
	j.seals = nil
	j.snapshots = &snapshotting{}
	j.drops = newDrops()
	j.emit(Serving{Epoch: j.epoch, Inherited: j.inherited})
}

// releasing is a node that may hold copies of lower epochs, which are all on the
// stream.
type releasing struct {
	// epoch is the lowest whose copies the node keeps; after is the sequence that
	// must be on the stream first.
	epoch spool.Epoch
	after uint64
	at    clock.Millis
	tries int
}

// maxReleases bounds the attempts to tell a node; the wait doubles each time.
const maxReleases = 10

// release tells previous holders to drop their copies until they have answered.
// A copy that is never released would take up the holder's memory for good.
func (j *Journal) release(now clock.Millis) {
	for _, node := range sorted(j.releases) {
		r := j.releases[node]
		if now < r.at || j.committed < r.after {
			continue
		}
		r.at = now + j.config.RetryAfter<<r.tries
		j.emit(Release{Node: node, Epoch: r.epoch})
		if r.tries++; r.tries == maxReleases {
			delete(j.releases, node)
		}
	}
}

// ReleaseDone notes that a node has dropped the copies of lower epochs.
func (j *Journal) ReleaseDone(command Release) {
	if r := j.releases[command.Node]; r != nil && command.Epoch == r.epoch {
		delete(j.releases, command.Node)
	}
}

// Sealed handles a seal by a new owner that reached this node as the previous
// owner. It retains what is acknowledged or may be held, and is not known to be
// on the stream, for the new owner.
func (j *Journal) Sealed(_ clock.Millis, epoch spool.Epoch) []Command {
	if j.phase >= PhaseClaiming && epoch > j.epoch {
		j.lose(spool.NotRunUnknown)
	}
	return j.flush()
}

func (j *Journal) exposed() (units []Unit) {
	for _, e := range j.units {
		if e.exposed {
			units = append(units, e.unit)
		}
	}
	return units
}

// lose gives the stream up because another node has claimed it. appended says
// what is known of appends without an answer: after the tail was read up to the
// other claim, they are not on the stream and never will be valid.
func (j *Journal) lose(appended spool.NotRun) {
	if j.phase == PhaseIdle {
		return
	}
	j.stats.Lost++
	retained := j.exposed()
	for _, e := range slices.Concat(j.units, j.staged) {
		notRun := spool.NotRunTrue
		if e.exposed {
			notRun = spool.NotRunUnknown
		} else if e.appended || j.inFlight(e) {
			notRun = appended
		}
		refusal := spool.Refuse(spool.CodeNotOwner, "stream %s has a new owner", j.config.Stream).WithNotRun(notRun)
		if j.fold.state.Owner != j.config.Node {
			refusal.Owner = j.fold.state.Owner
		}
		j.answer(e, refusal)
	}
	if len(retained) > 0 {
		j.emit(Retain{Epoch: j.epoch, Units: retained})
	}
	j.reset()
	j.emit(Lost{})
}

func (j *Journal) inFlight(e *entry) bool {
	return j.attempt != nil && slices.Contains(j.attempt.entries, e)
}

// reset returns to idle. A read or append under way is answered later and
// ignored.
func (j *Journal) reset() {
	fold := j.fold
	if fold == nil {
		fold = NewFold(State{}, 0)
	}
	*j = Journal{config: j.config, pace: j.pace, fold: fold, stats: j.stats, attempts: j.attempts, serial: j.serial, out: j.out}
}
