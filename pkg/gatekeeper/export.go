package gatekeeper

import (
	"slices"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// exportRetryDelay is the delay after a failed export before the prefix of the same
// program is exported again. Without it, an engine without room for exports would
// get a request at every sweep.
const exportRetryDelay = 10 * clock.Second

// exportState is the state of an export as far as the kernel knows it.
type exportState int

const (
	// exportPending means that the result of the ExportPrefix command has not
	// arrived yet.
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

// export is a prefix that the engine keeps, or may keep, outside its cache. The
// kernel forgets an export only after the engine has confirmed that it does not
// keep it.
type export struct {
	id      string
	program *program
	tokens  int
	state   exportState
	// changedAt is when the state last changed. A session list without the export
	// proves that the export is gone only if the list was requested after
	// changedAt.
	changedAt clock.Millis
	// retryFreeAt is the earliest time of the next FreeExport after a failed one; 0
	// if none has failed.
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

// applyPausePolicy asks the pause policy about the programs without an active call
// whose prefix is in the engine's cache, and emits the commands for its decisions.
// It leaves out ended programs, programs whose memory is being freed or that have
// an export, and programs whose last export failed less than exportRetryDelay ago.
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

// handleExported processes the result of ExportPrefix. After a success, the export
// is ready for the next call of the program. It frees the export if the result is
// unknown or the program no longer needs it, and forgets the export if the engine
// certainly has not made it.
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

// takeExport detaches the current export from p, because a call of p starts now,
// and returns the export if the call imports it, otherwise nil. Only a ready export
// is imported. A pending one is freed when its result arrives.
func (k *Kernel) takeExport(p *program) *export {
	e := p.currentExport
	p.currentExport = nil
	if e == nil || e.state != exportReady {
		return nil
	}
	k.setExportState(e, exportImporting)
	return e
}

// freeExport detaches an export from its program, marks it as stale and emits
// FreeExport. If an earlier FreeExport has failed and its retry is not due, it
// emits nothing, and retryExportFrees emits the command later.
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

// retryExportFrees emits FreeExport for every stale export whose retry is due.
func (k *Kernel) retryExportFrees() {
	for _, id := range k.sortedExports() {
		if e := k.exports[id]; e.state == exportStale && e.retryFreeAt <= k.now {
			k.freeExport(e)
		}
	}
}

// reconcileExports adopts the listed exports that the kernel does not know, and
// forgets the exports that it knows but that the list lacks. An unknown export
// stems from an earlier incarnation of the agent or from a request whose answer was
// given up.
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

// adoptExport adds an export that the kernel does not know. If its program is
// unknown too, the program gets a grace lease, so that its owner can renew the
// lease. The export is freed at once if the program has ended, has another export,
// or may still have its prefix in the engine's cache. Otherwise the next call of
// the program imports it.
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
