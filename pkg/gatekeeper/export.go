package gatekeeper

import (
	"slices"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// exportRetryDelay is the delay after a failed export of a program's prefix.
// Without it, an engine without room for exports would get a request at every
// sweep.
const exportRetryDelay = 10 * clock.Second

// exportState is the known state of an export.
type exportState int

const (
	// exportPending means that the engine has not answered the request yet.
	exportPending exportState = iota
	// exportReady means that the program's next call imports the export.
	exportReady
	// exportImporting means that a call that imports the export is running.
	exportImporting
	// exportStale means that the export is no longer needed, but the engine may
	// still keep it.
	exportStale
	// exportFreeing means that a FreeExport command is in progress.
	exportFreeing
)

// export is a prefix that the engine keeps, or may keep, outside its cache. It is
// forgotten only after the engine has confirmed that it does not keep it.
type export struct {
	id      string
	program *program
	tokens  int
	state   exportState
	// changedAt is when the state last changed. A list that was requested from the
	// engine no later than that does not prove that the export is gone.
	changedAt clock.Millis
	// retryFreeAt is the earliest time of the next FreeExport after a failed one.
	retryFreeAt clock.Millis
}

func (k *Kernel) addExport(id string, p *program, state exportState) *export {
	e := &export{id: id, program: p, state: state, changedAt: k.now}
	k.exports[id] = e
	p.exportCount++
	return e
}

func (k *Kernel) forgetExport(e *export) {
	delete(k.exports, e.id)
	e.program.exportCount--
	if e.program.currentExport == e {
		e.program.currentExport = nil
	}
}

func (k *Kernel) setExportState(e *export, state exportState) {
	e.state, e.changedAt = state, k.now
}

// applyPausePolicy applies the decisions of the pause policy to the programs
// without an active call.
func (k *Kernel) applyPausePolicy() {
	var views []spool.PausedProgram
	for _, id := range k.sortedPrograms() {
		p := k.programs[id]
		if p.activeCalls == 0 && p.mayBeInEngine && p.cachedTokens > 0 && !p.freeing && !p.ended && p.currentExport == nil && p.pausedAt > 0 && k.now >= p.retryExportAt {
			views = append(views, spool.PausedProgram{Program: id, Account: p.account, Tokens: p.cachedTokens, Since: p.pausedAt})
		}
	}
	if len(views) == 0 {
		return
	}
	load := k.engine.load
	memory := spool.MemoryView{Tokens: load.CacheTokens, Limit: load.CacheLimit, Queued: len(k.waiting)}
	for _, decision := range k.pause.Choose(k.now, memory, views) {
		p := k.programs[decision.Program]
		switch decision.Action {
		case spool.PauseExport:
			k.lastExportNumber++
			p.currentExport = k.addExport(k.incarnation+"-x"+strconv.FormatUint(k.lastExportNumber, 36), p, exportPending)
			k.emit(ExportPrefix{Program: p.id, ID: p.currentExport.id})
		case spool.PauseDrop:
			p.freeing = true
			k.emit(FreeMemory{Program: p.id})
		}
	}
}

// handleExported processes the result of ExportPrefix. It frees an export whose
// result is unknown or which the program no longer needs.
func (k *Kernel) handleExported(m Exported) {
	e := k.exports[m.ID]
	if e == nil || e.state != exportPending {
		return
	}
	p := e.program
	if !m.OK {
		p.retryExportAt = k.now + exportRetryDelay
	}
	switch {
	case m.NotRun:
		k.forgetExport(e)
	case m.OK && p.currentExport == e:
		e.tokens = m.Tokens
		k.setExportState(e, exportReady)
		p.cachedTokens = 0
		p.mayBeInEngine = p.mayBeInEngine && p.activeCalls > 0
	default:
		k.freeExport(e)
	}
	k.freeIfUnused(p)
}

// takeExport returns the export that a call of p imports when it starts now, or
// nil. An export that is still pending is not imported; it is freed when its result
// arrives.
func (k *Kernel) takeExport(p *program) *export {
	e := p.currentExport
	p.currentExport = nil
	if e == nil || e.state != exportReady {
		return nil
	}
	k.setExportState(e, exportImporting)
	return e
}

// freeExport frees an export. After a failed FreeExport, it waits until the retry
// is due.
func (k *Kernel) freeExport(e *export) {
	if e.program.currentExport == e {
		e.program.currentExport = nil
	}
	if e.state != exportStale {
		k.setExportState(e, exportStale)
	}
	if e.retryFreeAt <= k.now {
		k.setExportState(e, exportFreeing)
		k.emit(FreeExport{ID: e.id})
	}
}

func (k *Kernel) handleExportFreed(m ExportFreed) {
	e := k.exports[m.ID]
	if e == nil || e.state != exportFreeing {
		return
	}
	if !m.OK {
		k.setExportState(e, exportStale)
		e.retryFreeAt = k.now + k.config.FreeRetryDelay
		k.emit(CountEvent{Event: "exportFreeFailed"})
		return
	}
	k.forgetExport(e)
	k.freeIfUnused(e.program)
}

// retryExportFrees repeats failed FreeExport commands that are due.
func (k *Kernel) retryExportFrees() {
	for _, id := range k.sortedExports() {
		if e := k.exports[id]; e.state == exportStale && e.retryFreeAt <= k.now {
			k.freeExport(e)
		}
	}
}

// reconcileExports reconciles the known exports with the engine's list. An unknown
// export stems from an earlier incarnation of the agent or from a request whose
// answer was given up. If its program is unknown too, the program gets a grace
// lease, so that its owner can renew it.
func (k *Kernel) reconcileExports(m SessionList) {
	listed := map[string]struct{}{}
	for _, listedExport := range m.Exports {
		listed[listedExport.ID] = struct{}{}
		if k.exports[listedExport.ID] == nil {
			k.adoptExport(listedExport)
		}
	}
	for _, id := range k.sortedExports() {
		e := k.exports[id]
		_, ok := listed[id]
		if !ok && (e.state == exportReady || e.state == exportStale) && e.changedAt < m.RequestedAt {
			k.forgetExport(e)
			k.freeIfUnused(e.program)
		}
	}
}

// adoptExport adds an unknown export. It frees the export if the program has ended,
// has another export, or may still have its prefix in the engine's cache.
func (k *Kernel) adoptExport(listedExport spool.Export) {
	p := k.programs[listedExport.Program]
	if p == nil {
		p = k.getOrCreateProgram(listedExport.Program)
		p.leaseUntil = k.now + k.config.GraceLease
	}
	k.emit(CountEvent{Event: "exportFound"})
	e := k.addExport(listedExport.ID, p, exportReady)
	e.tokens = listedExport.Tokens
	if p.currentExport == nil && !p.mayBeInEngine && !p.ended {
		p.currentExport = e
		return
	}
	k.freeExport(e)
}

func (k *Kernel) sortedExports() []string {
	ids := make([]string, 0, len(k.exports))
	for id := range k.exports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
