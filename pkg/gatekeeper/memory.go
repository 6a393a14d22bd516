package gatekeeper

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// nearlyFullShare is the used share of the prefix cache above which the engine is
// expected to evict prefixes by itself.
const nearlyFullShare = 0.9

// sweepInterval is the interval between checks for expired leases.
const sweepInterval = 250 * clock.Millis(1)

// program is the agent's state of one program: the lease on its engine memory and
// its cached history.
type program struct {
	id      spool.ProgramID
	history history
	// account is the client account of the latest call.
	account spool.AccountID
	// leaseUntil is the end of the lease. After it, the memory is freed unless a
	// call is active.
	leaseUntil clock.Millis
	// ended is true once the program has ended. Its memory is then freed as soon as
	// no call is active, whatever its lease.
	ended bool
	// activeCalls counts the waiting and running calls.
	activeCalls int
	// mayBeInEngine is true while the engine may hold memory of the program.
	mayBeInEngine bool
	// cachedTokens is the length of the prefix that the engine is believed to hold.
	cachedTokens int
	// lastUsedAt is when a call last arrived or ended.
	lastUsedAt clock.Millis
	// freeing is true while a FreeMemory command is in progress.
	freeing bool
	// retryFreeAt is the earliest time of the next FreeMemory after a failed one.
	retryFreeAt clock.Millis
	// pausedAt is when the latest call ended; 0 while a call waits or runs.
	pausedAt clock.Millis
	// currentExport is the export of the current prefix, pending or ready; nil for
	// none. exportCount counts all exports that the engine may keep for the program.
	currentExport *export
	exportCount   int
	// retryExportAt is the earliest time of the next export after a failed one.
	retryExportAt clock.Millis
}

// engineState is the last known state of the engine.
type engineState struct {
	load    spool.EngineLoad
	hasLoad bool
	// lastEventSequence is the sequence number of the last cache event.
	lastEventSequence uint64
}

func (k *Kernel) getOrCreateProgram(id spool.ProgramID) *program {
	p := k.programs[id]
	if p == nil {
		p = &program{id: id}
		k.programs[id] = p
	}
	return p
}

// attachCall adds c to the active calls of its program, which keeps the engine
// memory. It caches the history so that a retry of the call need not resend it.
func (k *Kernel) attachCall(c *call) {
	p := k.getOrCreateProgram(c.Key.Program)
	if p.pausedAt > 0 {
		k.pause.Resumed(p.id, c.Key.Account, k.now-p.pausedAt)
		p.pausedAt = 0
	}
	p.account = c.Key.Account
	p.activeCalls++
	p.ended = false
	c.idleBeforeStart = k.now - p.lastUsedAt
	p.lastUsedAt = k.now
	p.leaseUntil = max(p.leaseUntil, k.now+k.config.CallLease)
	k.cacheHistory(p, c.Key.Account, c.prompt, c.digests)
}

// detachCall removes c from the active calls of its program. The program keeps its
// memory for at least the lease of a call, unless it has ended.
func (k *Kernel) detachCall(c *call) {
	p := k.getOrCreateProgram(c.Key.Program)
	p.activeCalls--
	p.lastUsedAt = k.now
	if p.activeCalls == 0 {
		p.pausedAt = k.now
	}
	p.leaseUntil = max(p.leaseUntil, k.now+k.config.CallLease)
	c.prompt, c.digests, c.Messages, c.Digests = nil, nil, nil, nil
	k.freeIfUnused(p)
}

// prepareRun updates the program for the start of c. From then on, the engine may
// hold memory of the program.
func (k *Kernel) prepareRun(c *call) {
	p := k.getOrCreateProgram(c.Key.Program)
	if p.currentExport == nil {
		c.cachedTokensAtStart = p.cachedTokens
	}
	c.importedExport = k.takeExport(p)
	c.idleBeforeStart += k.now - c.view.ArrivedAt
	p.mayBeInEngine = true
}

// applyResult updates the program with the result of a model call.
func (k *Kernel) applyResult(c *call, m Finished) {
	p := k.getOrCreateProgram(c.Key.Program)
	if c.importedExport != nil {
		k.freeExport(c.importedExport)
	}
	if result := m.Outcome.Engine; m.Ending == EndDone && result != nil {
		k.detectCacheLoss(c, result)
		p.cachedTokens = result.PromptTokens + result.GeneratedTokens
		answer := spool.AnswerMessage(result.Text)
		digest := ""
		if len(c.digests) > 0 {
			digest = c.digests[len(c.digests)-1]
		}
		k.cacheHistory(p, c.Key.Account,
			slices.Concat(c.prompt, []spool.Message{answer}),
			slices.Concat(c.digests, []string{spool.HistoryDigest(digest, answer)}))
	}
	k.detachCall(c)
}

// detectCacheLoss detects an engine restart: a prefix is missing soon after its
// last use, although no cache event reported its eviction and the cache was not
// nearly full.
func (k *Kernel) detectCacheLoss(c *call, result *spool.EngineResult) {
	nearlyFull := k.engine.hasLoad && float64(k.engine.load.CacheTokens) > nearlyFullShare*float64(k.engine.load.CacheLimit)
	if result.CachedTokens > 0 || c.cachedTokensAtStart == 0 || c.BaseCount == 0 || nearlyFull || c.idleBeforeStart > k.config.CacheLossIdleLimit {
		return
	}
	k.emit(CountEvent{Event: "cacheEmptied"})
	k.observeGate(spool.GateEvent{Kind: spool.GateCacheEmptied})
	k.resetPrefixes()
}

// resetPrefixes records that the engine has lost all prefixes.
func (k *Kernel) resetPrefixes() {
	for _, p := range k.programs {
		p.cachedTokens = 0
		p.mayBeInEngine = p.activeCalls > 0
	}
	k.emit(ListSessions{})
}

func (k *Kernel) handleRenewLeases(m RenewLeases) {
	until := k.now + min(max(m.LeaseDuration, 0), k.config.MaxLease)
	for _, id := range m.Programs {
		if p := k.programs[id]; p != nil {
			p.leaseUntil = max(p.leaseUntil, until)
		}
	}
	for _, id := range m.Ended {
		if p := k.programs[id]; p != nil {
			p.ended = true
			k.freeIfUnused(p)
		}
	}
}

// freeIfUnused frees the engine memory, the export and the cached history of a
// program without a lease and without active calls. It removes the program once
// the engine holds nothing of it.
func (k *Kernel) freeIfUnused(p *program) {
	if p.activeCalls > 0 || !p.ended && p.leaseUntil > k.now {
		return
	}
	k.dropHistory(p)
	if e := p.currentExport; e != nil {
		p.currentExport = nil
		if e.state == exportReady {
			k.freeExport(e)
		}
	}
	switch {
	case p.freeing:
	case !p.mayBeInEngine:
		if p.exportCount == 0 {
			delete(k.programs, p.id)
			k.pause.Forget(p.id)
		}
	case p.retryFreeAt <= k.now:
		p.freeing = true
		k.emit(FreeMemory{Program: p.id})
	}
}

// sweep retries failed frees of exports, applies the pause policy and frees every
// program whose lease has expired.
func (k *Kernel) sweep() {
	if k.now < k.nextSweepAt {
		return
	}
	k.nextSweepAt = k.now + sweepInterval
	k.retryExportFrees()
	k.applyPausePolicy()
	for _, id := range k.sortedPrograms() {
		k.freeIfUnused(k.programs[id])
	}
}

func (k *Kernel) handleMemoryFreed(m MemoryFreed) {
	p := k.programs[m.Program]
	if p == nil {
		return
	}
	p.freeing = false
	if !m.OK {
		p.retryFreeAt = k.now + k.config.FreeRetryDelay
		k.emit(CountEvent{Event: "freeFailed"})
		return
	}
	if p.activeCalls == 0 {
		p.mayBeInEngine, p.cachedTokens = false, 0
	}
	k.freeIfUnused(p)
}

// handleSessions reconciles the known programs with the engine's list. A session
// that the agent does not know gets a grace lease, so that its owner can renew it.
func (k *Kernel) handleSessionList(m SessionList) {
	listed := make(map[spool.ProgramID]struct{}, len(m.Programs))
	for _, id := range m.Programs {
		listed[id] = struct{}{}
		k.noteSession(id)
	}
	for _, id := range k.sortedPrograms() {
		p := k.programs[id]
		if _, ok := listed[id]; ok || p.activeCalls > 0 || p.freeing || p.lastUsedAt >= m.RequestedAt {
			continue
		}
		p.mayBeInEngine, p.cachedTokens = false, 0
		k.freeIfUnused(p)
	}
	if m.ExportsKnown {
		k.reconcileExports(m)
	}
}

// noteSession records that the engine holds memory of a program.
func (k *Kernel) noteSession(id spool.ProgramID) *program {
	p := k.programs[id]
	if p == nil {
		p = k.getOrCreateProgram(id)
		p.leaseUntil = k.now + k.config.GraceLease
		k.emit(CountEvent{Event: "sessionFound"})
	}
	p.mayBeInEngine = true
	return p
}

// handleEvents processes cache events. After a gap in the sequence numbers it
// requests the engine's list of sessions.
func (k *Kernel) handleCacheEvents(m CacheEvents) {
	if m.After != k.engine.lastEventSequence {
		k.emit(CountEvent{Event: "staleCacheEvents"})
		return
	}
	for _, event := range m.Events {
		if event.Sequence <= k.engine.lastEventSequence {
			continue
		}
		if k.engine.lastEventSequence > 0 && event.Sequence > k.engine.lastEventSequence+1 {
			k.emit(CountEvent{Event: "cacheEventGap"})
			k.emit(ListSessions{})
		}
		k.engine.lastEventSequence = event.Sequence
		k.applyCacheEvent(event)
	}
}

func (k *Kernel) applyCacheEvent(event spool.CacheEvent) {
	if event.Tokens > 0 {
		k.noteSession(event.Program).cachedTokens = event.Tokens
		return
	}
	if p := k.programs[event.Program]; p != nil {
		p.cachedTokens = 0
		if p.activeCalls == 0 && !p.freeing {
			p.mayBeInEngine = false
			k.freeIfUnused(p)
		}
	}
}

// handleReport processes a load report. A changed generation or a shorter uptime
// shows that the engine has restarted and lost its memory.
func (k *Kernel) handleLoadReport(load spool.EngineLoad) {
	last, hadLoad := k.engine.load, k.engine.hasLoad
	k.engine.load, k.engine.hasLoad = load, true
	if hadLoad && (load.Generation != last.Generation || load.Uptime < last.Uptime) {
		k.emit(CountEvent{Event: "engineRestarted"})
		k.engine.lastEventSequence = 0
		k.resetPrefixes()
	}
	k.observeGate(spool.GateEvent{Kind: spool.GateReport, Load: load})
}

// handleUnreachable reports a failed call to the gate. It reports a start first, so
// that the gate's count of running calls stays correct.
func (k *Kernel) handleUnreachable() {
	k.observeGate(spool.GateEvent{Kind: spool.GateStarted})
	k.observeGate(spool.GateEvent{Kind: spool.GateFailed})
}

// Held returns the programs whose memory or export the engine holds, with the
// length of the prefix in tokens.
func (k *Kernel) Held() map[spool.ProgramID]int {
	held := map[spool.ProgramID]int{}
	for id, p := range k.programs {
		switch {
		case p.currentExport != nil && p.currentExport.state == exportReady:
			held[id] = p.currentExport.tokens
		case p.mayBeInEngine || p.exportCount > 0:
			held[id] = p.cachedTokens
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
