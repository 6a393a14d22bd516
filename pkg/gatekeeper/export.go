package gatekeeper

import (
	"slices"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// exportRetry is the wait after a failed export of a program's prefix. An engine
// without room for exports would otherwise be asked at every sweep.
const exportRetry = 10 * clock.Second

// exportState is what is known of an export.
type exportState int

const (
	// exportPending: the engine has been asked for it.
	exportPending exportState = iota
	// exportReady: the program's next call imports it.
	exportReady
	// exportUsed: a call that imports it runs.
	exportUsed
	// exportStale: it is of no use, and the engine may still keep it.
	exportStale
	// exportFreeing: its release is under way.
	exportFreeing
)

// export is a prefix that the engine keeps, or may keep, outside its cache. It is
// forgotten only when the engine has said that it does not keep it.
type export struct {
	id     string
	owner  *program
	tokens int
	state  exportState
	// changedAt is when the state last changed; a list of the engine from before
	// says nothing about it.
	changedAt clock.Millis
	// retryAt delays the next release after a failed one.
	retryAt clock.Millis
}

func (k *Kernel) addExport(id string, owner *program, state exportState) *export {
	e := &export{id: id, owner: owner, state: state, changedAt: k.now}
	k.exports[id] = e
	owner.exports++
	return e
}

func (k *Kernel) dropExport(e *export) {
	delete(k.exports, e.id)
	e.owner.exports--
	if e.owner.export == e {
		e.owner.export = nil
	}
}

func (k *Kernel) turn(e *export, state exportState) {
	e.state, e.changedAt = state, k.now
}

// paused carries the pause policy's decisions out for the programs without a call.
func (k *Kernel) paused() {
	var views []spool.PausedView
	for _, id := range k.sortedPrograms() {
		p := k.programs[id]
		if p.active == 0 && p.held && p.tokens > 0 && !p.freeing && !p.ended && p.export == nil && p.pausedAt > 0 && k.now >= p.exportAt {
			views = append(views, spool.PausedView{Program: id, Account: p.account, Tokens: p.tokens, Since: p.pausedAt})
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
			k.nextExport++
			p.export = k.addExport(k.boot+"-x"+strconv.FormatUint(k.nextExport, 36), p, exportPending)
			k.emit(ExportPrefix{Program: p.id, ID: p.export.id})
		case spool.PauseDrop:
			p.freeing = true
			k.emit(Free{Program: p.id})
		}
	}
}

// exported takes the answer to ExportPrefix in. An export that has no answer, or
// one that comes too late for its program, is released.
func (k *Kernel) exported(m Exported) {
	e := k.exports[m.ID]
	if e == nil || e.state != exportPending {
		return
	}
	p := e.owner
	if !m.OK {
		p.exportAt = k.now + exportRetry
	}
	switch {
	case m.NotRun:
		k.dropExport(e)
	case m.OK && p.export == e:
		e.tokens = m.Tokens
		k.turn(e, exportReady)
		p.tokens = 0
		p.held = p.held && p.active > 0
	default:
		k.discard(e)
	}
	k.release(p)
}

// use returns the export that a call which starts now is to import. One that is
// still on its way is of no use any more.
func (k *Kernel) use(p *program) *export {
	e := p.export
	p.export = nil
	if e == nil || e.state != exportReady {
		return nil
	}
	k.turn(e, exportUsed)
	return e
}

// discard releases an export, or retries a failed release once it is time. One
// that is pending is released when its answer has come.
func (k *Kernel) discard(e *export) {
	if e.owner.export == e {
		e.owner.export = nil
	}
	if e.state != exportStale {
		k.turn(e, exportStale)
	}
	if e.retryAt <= k.now {
		k.turn(e, exportFreeing)
		k.emit(FreeExport{ID: e.id})
	}
}

func (k *Kernel) exportFreed(m ExportFreed) {
	e := k.exports[m.ID]
	if e == nil || e.state != exportFreeing {
		return
	}
	if !m.OK {
		k.turn(e, exportStale)
		e.retryAt = k.now + k.config.FreeRetry
		k.emit(Note{Event: "exportFreeFailed"})
		return
	}
	k.dropExport(e)
	k.release(e.owner)
}

// retryExports repeats releases that have failed.
func (k *Kernel) retryExports() {
	for _, id := range k.sortedExports() {
		if e := k.exports[id]; e.state == exportStale && e.retryAt <= k.now {
			k.discard(e)
		}
	}
}

// listedExports compares the engine's list with the exports that the agent knows.
// An unknown one stems from an earlier start of the agent or from an answer that
// was given up; its program gets a grace lease, in which its owner can renew it.
func (k *Kernel) listedExports(m Sessions) {
	listed := map[string]struct{}{}
	for _, found := range m.Exports {
		listed[found.ID] = struct{}{}
		if k.exports[found.ID] == nil {
			k.adopt(found)
		}
	}
	for _, id := range k.sortedExports() {
		e := k.exports[id]
		_, ok := listed[id]
		if !ok && (e.state == exportReady || e.state == exportStale) && e.changedAt < m.AskedAt {
			k.dropExport(e)
			k.release(e.owner)
		}
	}
}

func (k *Kernel) adopt(found spool.Export) {
	p := k.programs[found.Program]
	if p == nil {
		p = k.program(found.Program)
		p.leaseUntil = k.now + k.config.GraceLease
	}
	k.emit(Note{Event: "exportFound"})
	e := k.addExport(found.ID, p, exportReady)
	e.tokens = found.Tokens
	if p.export == nil && !p.held && !p.ended {
		p.export = e
		return
	}
	k.discard(e)
}

func (k *Kernel) sortedExports() []string {
	ids := make([]string, 0, len(k.exports))
	for id := range k.exports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
