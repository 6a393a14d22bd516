package gatekeeper

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// nearlyFullShare is the used share of the prefix cache above which the engine is
// expected to evict prefixes by itself.
const nearlyFullShare = 0.9

// sweepInterval is the shortest time between two sweeps, which check for expired
// leases.
const sweepInterval = 250 * clock.Millis(1)

// program is the state that the agent keeps of one program: the lease on the engine
// memory of the program, its exports and its cached history.
type program struct {
	id      spool.ProgramID
	history history
	// account is the client account of the latest call.
	account spool.AccountID
	// leaseUntil is the end of the lease. After it, the engine memory, the export
	// and the cached history are freed unless a call is active.
	leaseUntil clock.Millis
	// ended is true once the owner has ended the program. The memory of the program
	// is then freed as soon as no call is active, whatever the lease. A new call
	// sets it to false again.
	ended bool
	// activeCalls counts the waiting and running calls.
	activeCalls int
	// mayBeInEngine is true while the engine has, or may have, memory of the
	// program.
	mayBeInEngine bool
	// cachedTokens is the length, in tokens, of the prefix that the engine is
	// believed to have in its cache; 0 for none.
	cachedTokens int
	// lastUsedAt is when a call last arrived or ended.
	lastUsedAt clock.Millis
	// freeing is true while a FreeMemory command is in progress.
	freeing bool
	// retryFreeAt is the earliest time of the next FreeMemory after a failed one.
	retryFreeAt clock.Millis
	// pausedAt is when the last active call ended; 0 while a call is active, and
	// before the first call has ended.
	pausedAt clock.Millis
	// currentExport is the export of the current prefix, pending or ready; nil for
	// none. exportCount counts it and all earlier exports that the engine may still
	// keep for the program.
	currentExport *export
	exportCount   int
	// retryExportAt is the earliest time of the next export after a failed one; 0
	// if none has failed.
	retryExportAt clock.Millis
}

// engineState is the last known state of the engine.
type engineState struct {
	// load is the latest load report. It is valid only if hasLoad is true.
	load    spool.EngineLoad
	hasLoad bool
	// lastCacheEventSequence is the sequence number of the last cache event
	// processed; 0 if there is none since the start of the kernel or the last
	// restart of the engine.
	lastCacheEventSequence uint64
}

func (k *Kernel) getOrCreateProgram(id spool.ProgramID) *program {
	p := k.programs[id]
	if p == nil {
		p = &program{id: id}
		k.programs[id] = p
	}
	return p
}

// attachCall adds c to the active calls of its program and extends the lease to at
// least Config.CallLease from now. While a call is active, the engine memory of the
// program is not freed. attachCall also caches the prompt as the history, so that a
// retry of the call need not resend it.
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

// detachCall removes c from the active calls of its program, whose pause begins if
// no other call is active. It extends the lease to at least Config.CallLease from
// now, but a program that has ended and has no other active call is freed at once.
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

// prepareRun updates the program for the start of c: the run imports the ready
// export, if there is one, and the engine may have memory of the program until that
// memory is freed or lost.
func (k *Kernel) prepareRun(c *call) {
	p := k.getOrCreateProgram(c.Key.Program)
	if p.currentExport == nil {
		c.cachedTokensAtStart = p.cachedTokens
	}
	c.importedExport = k.takeExport(p)
	c.idleBeforeStart += k.now - c.view.ArrivedAt
	p.mayBeInEngine = true
}

// applyResult updates the program after a run of a model call. It frees the export
// that the run imported. After a completed run, it also adds the answer to the
// cached history and checks whether the engine had lost the prefix.
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

// detectCacheLoss detects an engine restart: the engine no longer had the prefix of
// a program at most Config.CacheLossIdleLimit after the last use of the program,
// although no cache event reported an eviction and the cache was not nearly full.
// It then tells the gate and resets the prefixes of all programs.
func (k *Kernel) detectCacheLoss(c *call, result *spool.EngineResult) {
	nearlyFull := k.engine.hasLoad && float64(k.engine.load.CacheTokens) > nearlyFullShare*float64(k.engine.load.CacheLimit)
	if result.CachedTokens > 0 || c.cachedTokensAtStart == 0 || c.BaseCount == 0 || nearlyFull || c.idleBeforeStart > k.config.CacheLossIdleLimit {
		return
	}
	k.emit(CountEvent{Event: "cacheEmptied"})
	k.observeGate(spool.GateEvent{Kind: spool.GateCacheEmptied})
	k.resetPrefixes()
}

// resetPrefixes records that the engine has lost all prefixes, and requests the
// engine's list of sessions. A program with an active call may already have memory
// in the restarted engine, so mayBeInEngine stays true for it.
func (k *Kernel) resetPrefixes() {
	for _, p := range k.programs {
		p.cachedTokens = 0
		p.mayBeInEngine = p.activeCalls > 0
	}
	k.emit(ListSessions{})
}

// handleRenewLeases renews the leases of known programs and ends others. A renewal
// never shortens a lease.
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

// freeIfUnused frees the engine memory, the current export and the cached history
// of a program that has no active call and has ended or has no lease. If the engine
// holds neither memory nor an export of the program, it removes the program.
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
// program whose lease has expired. It does nothing within sweepInterval of the
// previous sweep.
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

// handleSessionList reconciles the known programs with the engine's list of
// sessions. A listed program that the agent does not know gets a grace lease, so
// that its owner can renew the lease. A known program that the list lacks is
// recorded as having no engine memory, unless it has an active call, is being
// freed, or was used at or after the time of the request.
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

// noteSession records that the engine has memory of a program. A program that the
// agent does not know gets a grace lease.
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

// handleCacheEvents processes cache events. It drops the whole message if it
// answers an outdated request, and skips events that it has already processed.
// After a gap in the sequence numbers it requests the engine's list of sessions.
func (k *Kernel) handleCacheEvents(m CacheEvents) {
	if m.After != k.engine.lastCacheEventSequence {
		k.emit(CountEvent{Event: "staleCacheEvents"})
		return
	}
	for _, event := range m.Events {
		if event.Sequence <= k.engine.lastCacheEventSequence {
			continue
		}
		if k.engine.lastCacheEventSequence > 0 && event.Sequence > k.engine.lastCacheEventSequence+1 {
			k.emit(CountEvent{Event: "cacheEventGap"})
			k.emit(ListSessions{})
		}
		k.engine.lastCacheEventSequence = event.Sequence
		k.applyCacheEvent(event)
	}
}

// applyCacheEvent records the new length of a cached prefix. A length of 0 reports
// an eviction; the engine then has no memory of the program unless a call is active
// or a free is in progress.
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

// handleLoadReport stores a load report and passes it to the gate. A changed
// generation or a shorter uptime shows that the engine has restarted and lost all
// prefixes.
func (k *Kernel) handleLoadReport(load spool.EngineLoad) {
	last, hadLoad := k.engine.load, k.engine.hasLoad
	k.engine.load, k.engine.hasLoad = load, true
	if hadLoad && (load.Generation != last.Generation || load.Uptime < last.Uptime) {
		k.emit(CountEvent{Event: "engineRestarted"})
		k.engine.lastCacheEventSequence = 0
		k.resetPrefixes()
	}
	k.observeGate(spool.GateEvent{Kind: spool.GateReport, Load: load})
}

// handleUnreachable reports an unreachable endpoint to the gate, as a call that
// started and failed. The start is needed so that the gate's count of running calls
// stays correct.
func (k *Kernel) handleUnreachable() {
	k.observeGate(spool.GateEvent{Kind: spool.GateStarted})
	k.observeGate(spool.GateEvent{Kind: spool.GateFailed})
}

// Held returns the programs of which the engine has, or may have, memory or an
// export. The value is the length of the prefix in tokens as far as the kernel
// knows, otherwise 0.
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
