package gatekeeper

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// nearlyFull is the fill of the prefix cache above which the engine is expected
// to drop prefixes by itself.
const nearlyFull = 0.9

// sweepEvery is how often lapsed leases are looked for.
const sweepEvery = 250 * clock.Millis(1)

// program is what the agent keeps for one program: the lease of its engine
// memory and its cached history.
type program struct {
	id      spool.ProgramID
	history history
	// account is that of the latest call.
	account spool.AccountID
	// leaseUntil is when the memory may be released, unless a call is active.
	leaseUntil clock.Millis
	// ended programs need no lease; their memory goes with their last call.
	ended bool
	// active counts the waiting and running calls.
	active int
	// held is true while the engine may hold memory of the program.
	held bool
	// tokens is the length of the prefix that the engine is believed to hold.
	tokens int
	// used is when a call last arrived or ended.
	used clock.Millis
	// freeing is true while a Free command is under way.
	freeing bool
	// retryAt delays the next Free after a failed one.
	retryAt clock.Millis
	// pausedAt is when the latest call ended; 0 while a call waits or runs.
	pausedAt clock.Millis
	// export is the export of the prefix as it is now, pending or ready; nil for
	// none. exports counts all that the engine may keep for the program.
	export  *export
	exports int
	// exportAt delays the next export after a failed one.
	exportAt clock.Millis
}

// engineView is what the agent knows of its engine.
type engineView struct {
	load   spool.EngineLoad
	loaded bool
	// sequence is that of the last cache event.
	sequence uint64
}

func (k *Kernel) program(id spool.ProgramID) *program {
	p := k.programs[id]
	if p == nil {
		p = &program{id: id}
		k.programs[id] = p
	}
	return p
}

// occupy keeps the program while c waits or runs, and caches its history so that
// a repetition of the call needs no resend.
func (k *Kernel) occupy(c *call) {
	p := k.program(c.Key.Program)
	if p.pausedAt > 0 {
		k.pause.Resumed(p.id, c.Key.Account, k.now-p.pausedAt)
		p.pausedAt = 0
	}
	p.account = c.Key.Account
	p.active++
	p.ended = false
	c.restUntilStart = k.now - p.used
	p.used = k.now
	p.leaseUntil = max(p.leaseUntil, k.now+k.config.CallLease)
	k.remember(p, c.Key.Account, c.prompt, c.digests)
}

// vacate is the end of occupy.
func (k *Kernel) vacate(c *call) {
	p := k.program(c.Key.Program)
	p.active--
	p.used = k.now
	if p.active == 0 {
		p.pausedAt = k.now
	}
	p.leaseUntil = max(p.leaseUntil, k.now+k.config.CallLease)
	c.prompt, c.digests, c.Messages, c.Digests = nil, nil, nil, nil
	k.release(p)
}

// engage notes that the engine may hold memory of the program from now on.
func (k *Kernel) engage(c *call) {
	p := k.program(c.Key.Program)
	if p.export == nil {
		c.held = p.tokens
	}
	c.imports = k.use(p)
	c.restUntilStart += k.now - c.view.ArrivedAt
	p.held = true
}

// settle takes the result of a model call into the program's state.
func (k *Kernel) settle(c *call, m Finished) {
	p := k.program(c.Key.Program)
	if c.imports != nil {
		k.discard(c.imports)
	}
	if result := m.Outcome.Engine; m.Ending == EndDone && result != nil {
		k.checkEmptied(c, result)
		p.tokens = result.PromptTokens + result.GeneratedTokens
		answer := spool.AnswerMessage(result.Text)
		digest := ""
		if len(c.digests) > 0 {
			digest = c.digests[len(c.digests)-1]
		}
		k.remember(p, c.Key.Account,
			slices.Concat(c.prompt, []spool.Message{answer}),
			slices.Concat(c.digests, []string{spool.HistoryDigest(digest, answer)}))
	}
	k.vacate(c)
}

// checkEmptied reports a prefix that was lost soon after its last use without a
// cache event and without pressure on the cache: the engine has restarted.
func (k *Kernel) checkEmptied(c *call, result *spool.EngineResult) {
	pressed := k.engine.loaded && float64(k.engine.load.CacheTokens) > nearlyFull*float64(k.engine.load.CacheLimit)
	if result.CachedTokens > 0 || c.held == 0 || c.BaseCount == 0 || pressed || c.restUntilStart > k.config.EmptiedWithin {
		return
	}
	k.emit(Note{Event: "cacheEmptied"})
	k.observe(spool.GateEvent{Kind: spool.GateCacheEmptied})
	k.emptied()
}

// emptied notes that the engine holds no prefix that it has held before.
func (k *Kernel) emptied() {
	for _, p := range k.programs {
		p.tokens = 0
		p.held = p.active > 0
	}
	k.emit(Reconcile{})
}

func (k *Kernel) renew(m Renew) {
	until := k.now + min(max(m.LeaseFor, 0), k.config.MaxLease)
	for _, id := range m.Programs {
		if p := k.programs[id]; p != nil {
			p.leaseUntil = max(p.leaseUntil, until)
		}
	}
	for _, id := range m.Ended {
		if p := k.programs[id]; p != nil {
			p.ended = true
			k.release(p)
		}
	}
}

// release frees a program without a lease and without calls.
func (k *Kernel) release(p *program) {
	if p.active > 0 || !p.ended && p.leaseUntil > k.now {
		return
	}
	k.forgetHistory(p)
	if e := p.export; e != nil {
		p.export = nil
		if e.state == exportReady {
			k.discard(e)
		}
	}
	switch {
	case p.freeing:
	case !p.held:
		if p.exports == 0 {
			delete(k.programs, p.id)
			k.pause.Gone(p.id)
		}
	case p.retryAt <= k.now:
		p.freeing = true
		k.emit(Free{Program: p.id})
	}
}

// sweep releases every program whose lease has lapsed.
func (k *Kernel) sweep() {
	if k.now < k.sweepAt {
		return
	}
	k.sweepAt = k.now + sweepEvery
	k.retryExports()
	k.paused()
	for _, id := range k.sortedPrograms() {
		k.release(k.programs[id])
	}
}

func (k *Kernel) freed(m Freed) {
	p := k.programs[m.Program]
	if p == nil {
		return
	}
	p.freeing = false
	if !m.OK {
		p.retryAt = k.now + k.config.FreeRetry
		k.emit(Note{Event: "freeFailed"})
		return
	}
	if p.active == 0 {
		p.held, p.tokens = false, 0
	}
	k.release(p)
}

// sessions compares the engine's list with the programs that the agent knows. A
// session that the agent does not know gets a grace lease, in which its owner
// can renew it.
func (k *Kernel) sessions(m Sessions) {
	listed := make(map[spool.ProgramID]struct{}, len(m.Programs))
	for _, id := range m.Programs {
		listed[id] = struct{}{}
		k.found(id)
	}
	for _, id := range k.sortedPrograms() {
		p := k.programs[id]
		if _, ok := listed[id]; ok || p.active > 0 || p.freeing || p.used >= m.AskedAt {
			continue
		}
		p.held, p.tokens = false, 0
		k.release(p)
	}
	if m.ExportsKnown {
		k.listedExports(m)
	}
}

// found notes that the engine holds memory of a program.
func (k *Kernel) found(id spool.ProgramID) *program {
	p := k.programs[id]
	if p == nil {
		p = k.program(id)
		p.leaseUntil = k.now + k.config.GraceLease
		k.emit(Note{Event: "sessionFound"})
	}
	p.held = true
	return p
}

// events takes cache events in. After a gap the engine's own list is asked for.
func (k *Kernel) events(m Events) {
	if m.After != k.engine.sequence {
		k.emit(Note{Event: "staleCacheEvents"})
		return
	}
	for _, event := range m.Events {
		if event.Sequence <= k.engine.sequence {
			continue
		}
		if k.engine.sequence > 0 && event.Sequence > k.engine.sequence+1 {
			k.emit(Note{Event: "cacheEventGap"})
			k.emit(Reconcile{})
		}
		k.engine.sequence = event.Sequence
		k.cacheEvent(event)
	}
}

func (k *Kernel) cacheEvent(event spool.CacheEvent) {
	if event.Tokens > 0 {
		k.found(event.Program).tokens = event.Tokens
		return
	}
	if p := k.programs[event.Program]; p != nil {
		p.tokens = 0
		if p.active == 0 && !p.freeing {
			p.held = false
			k.release(p)
		}
	}
}

// report takes a load report in. A change of generation or a shorter uptime
// shows that the engine has restarted and holds nothing any more.
func (k *Kernel) report(load spool.EngineLoad) {
	last, loaded := k.engine.load, k.engine.loaded
	k.engine.load, k.engine.loaded = load, true
	if loaded && (load.Generation != last.Generation || load.Uptime < last.Uptime) {
		k.emit(Note{Event: "engineRestarted"})
		k.engine.sequence = 0
		k.emptied()
	}
	k.observe(spool.GateEvent{Kind: spool.GateReport, Load: load})
}

// unreachable counts as a call that failed: the gate is told of its start too,
// so that it does not lose count of the running ones.
func (k *Kernel) unreachable() {
	k.observe(spool.GateEvent{Kind: spool.GateStarted})
	k.observe(spool.GateEvent{Kind: spool.GateFailed})
}

// Held returns the programs whose memory or export the engine holds, with the
// length of the prefix in tokens.
func (k *Kernel) Held() map[spool.ProgramID]int {
	held := map[spool.ProgramID]int{}
	for id, p := range k.programs {
		switch {
		case p.export != nil && p.export.state == exportReady:
			held[id] = p.export.tokens
		case p.held || p.exports > 0:
			held[id] = p.tokens
		}
	}
	return held
}

func (k *Kernel) sortedPrograms() []spool.ProgramID {
	ids := make([]spool.ProgramID, 0, len(k.programs))
	for id := range k.programs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
