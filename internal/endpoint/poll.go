package endpoint

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// startPolling starts a goroutine that calls poll immediately and then at the given
// interval, until the agent stops.
func (a *Agent) startPolling(interval clock.Millis, poll func()) {
	a.background.Go(func() {
		ticker := time.NewTicker(interval.Duration())
		defer ticker.Stop()
		for {
			poll()
			select {
			case <-a.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (a *Agent) pollContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.config.PollTimeout.Duration())
}

func (a *Agent) pollLoad() {
	ctx, cancel := a.pollContext()
	defer cancel()
	load, err := a.engine.Load(ctx)
	a.reachable.Store(err == nil)
	switch {
	case err == nil:
		a.post(gatekeeper.LoadReport{Load: load})
	case errors.Is(err, spool.ErrNotSent):
		a.telemetry.CountEvent("engineUnreachable")
		a.post(gatekeeper.Unreachable{})
	default:
		a.telemetry.CountEvent("loadReportFailed")
	}
}

func (a *Agent) pollEvents() {
	ctx, cancel := a.pollContext()
	defer cancel()
	after := a.eventsAfter.Load()
	events, err := a.engine.CacheEvents(ctx, after)
	if err != nil {
		a.telemetry.CountEvent("cacheEventsFailed")
		return
	}
	if len(events) > 0 {
		a.post(gatekeeper.CacheEvents{After: after, Events: events})
	}
}

func (a *Agent) pollSessions() {
	ctx, cancel := a.pollContext()
	defer cancel()
	requestedAt := a.clock.Now()
	programs, err := a.engine.Sessions(ctx)
	if err != nil {
		a.telemetry.CountEvent("sessionsFailed")
		return
	}
	sessions := gatekeeper.SessionList{RequestedAt: requestedAt, Programs: programs}
	if sessions.Exports, err = a.engine.Exports(ctx); err != nil {
		a.telemetry.CountEvent("exportsFailed")
	}
	sessions.ExportsKnown = err == nil
	a.post(sessions)
}

// freeMemory releases the engine memory of a program and reports the result to the
// kernel.
func (a *Agent) freeMemory(program spool.ProgramID) {
	ctx, cancel := a.pollContext()
	defer cancel()
	err := a.engine.Free(ctx, program)
	if err != nil {
		a.log.Warn("engine memory was not released", zap.String("program", string(program)), zap.Error(err))
	}
	a.post(gatekeeper.MemoryFreed{Program: program, OK: err == nil})
}

// exportPrefix moves the prefix of a program out of the engine's cache and reports
// the result to the kernel. NotRun in the report states that the export provably does
// not exist.
func (a *Agent) exportPrefix(c gatekeeper.ExportPrefix) {
	ctx, cancel := a.pollContext()
	defer cancel()
	export, err := a.engine.Export(ctx, c.Program, c.ID)
	if err != nil {
		a.telemetry.CountEvent("exportFailed")
	}
	a.post(gatekeeper.Exported{
		ID: c.ID, OK: err == nil, Tokens: export.Tokens,
		NotRun: errors.Is(err, spool.ErrNotSent) || errors.Is(err, spool.ErrRejected) || errors.Is(err, spool.ErrInvalidCall),
	})
}

// importPrefix loads an exported prefix back into the engine's cache. After a
// failure, which is only counted as a metric, the call runs all the same and the
// engine recomputes the prefix.
func (a *Agent) importPrefix(program spool.ProgramID, id string) {
	ctx, cancel := a.pollContext()
	defer cancel()
	if err := a.engine.Import(ctx, program, id); err != nil {
		a.telemetry.CountEvent("importFailed")
	}
}

func (a *Agent) freeExport(id string) {
	ctx, cancel := a.pollContext()
	defer cancel()
	err := a.engine.FreeExport(ctx, id)
	if err != nil {
		a.log.Warn("export was not released", zap.String("export", id), zap.Error(err))
	}
	a.post(gatekeeper.ExportFreed{ID: id, OK: err == nil})
}
