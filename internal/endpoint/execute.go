package endpoint

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// alarmPriority is the value of spool.EngineCall.Priority for alarm calls. Other
// calls have priority 0.
const alarmPriority = 1

// Reasons for which a run fails or is cancelled.
var (
	errStopped             = errors.New("run was stopped")
	errCallerDisconnected  = errors.New("caller has gone away")
	errStalled             = errors.New("endpoint gave no sign of life")
	errCorrelationMismatch = errors.New("endpoint sent another call's answer")
	errIncomplete          = errors.New("endpoint sent an incomplete answer")
)

// executeRun runs a call at the endpoint, waits for its end and returns how it
// ended. A panic in an adapter ends the run with EndFailed.
func (a *Agent) executeRun(ctx context.Context, t *task, start gatekeeper.Start) (finished gatekeeper.Finished) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	run := &run{agent: a, task: t, correlation: start.Correlation, cancel: cancel}
	run.stallTimer = time.AfterFunc(a.config.StallTimeout.Duration(), func() { cancel(errStalled) })
	defer run.stallTimer.Stop()
	finished = gatekeeper.Finished{Ticket: start.Ticket}
	defer func() {
		if panicked := recover(); panicked != nil {
			a.telemetry.CountEvent("runPanicked")
			finished.Ending, finished.Reason = gatekeeper.EndFailed, fmt.Sprintf("call failed: %v", panicked)
		}
	}()
	var err error
	if t.call.Service {
		finished.Outcome.Service, err = run.callService(ctx)
	} else {
		if start.Import != "" {
			a.importPrefix(t.request.Program, start.Import)
		}
		finished.Outcome.Engine, err = run.generate(ctx, start.Messages)
	}
	finished.Chunks, finished.Streamed = run.chunks, run.lastChunkAt-run.firstChunkAt
	finished.Ending = run.classifyEnding(ctx, err)
	if err != nil {
		finished.Outcome = gatekeeper.Outcome{}
		finished.Reason = err.Error()
	}
	return finished
}

// run is the state of one call at the endpoint. It needs no lock, because
// an adapter calls handleChunk for one chunk at a time and never after the call has
// returned.
type run struct {
	agent       *Agent
	task        *task
	correlation string
	cancel      context.CancelCauseFunc
	stallTimer  *time.Timer
	chunks      int
	// firstChunkAt and lastChunkAt are the arrival times of the first and the
	// latest chunk; 0 before the first chunk.
	firstChunkAt, lastChunkAt clock.Millis
	text                      strings.Builder
	// streamErr is the reason for which handleChunk has rejected a chunk; nil if it
	// has rejected none.
	streamErr error
}

func (r *run) generate(ctx context.Context, messages []spool.Message) (*spool.EngineResult, error) {
	request := r.task.request
	call := spool.EngineCall{
		Correlation: r.correlation,
		Program:     request.Program,
		Model:       request.Model,
		Messages:    messages,
		MaxTokens:   request.MaxTokens,
	}
	if request.Alarm {
		call.Priority = alarmPriority
	}
	result, err := r.agent.engine.Generate(ctx, call, r.handleChunk)
	switch {
	case r.streamErr != nil:
		return nil, r.streamErr
	case err != nil:
		return nil, err
	case result.Correlation != r.correlation:
		r.agent.telemetry.CountEvent("crossedAnswer")
		return nil, errCorrelationMismatch
	case result.Text != r.text.String():
		return nil, errIncomplete
	}
	return &result, nil
}

// handleChunk validates a chunk, restarts the stall timer and forwards the chunk to
// the caller. A chunk with another call's correlation or an unexpected index ends
// the run.
func (r *run) handleChunk(chunk spool.Chunk) error {
	switch {
	case r.streamErr != nil:
		return r.streamErr
	case chunk.Correlation != r.correlation:
		r.agent.telemetry.CountEvent("crossedAnswer")
		return r.rejectStream(errCorrelationMismatch)
	case chunk.Index != r.chunks:
		return r.rejectStream(errIncomplete)
	}
	r.stallTimer.Reset(r.agent.config.StallTimeout.Duration())
	r.lastChunkAt = r.agent.clock.Now()
	if r.chunks == 0 {
		r.firstChunkAt = r.lastChunkAt
	}
	r.chunks++
	r.text.WriteString(chunk.Text)
	return r.forwardChunk(chunk)
}

// forwardChunk sends a chunk to the caller, unless the call has been answered. If
// sending fails because the caller has disconnected, forwardChunk cancels the run of
// an idempotent call. The run of a non-idempotent call continues, because the agent
// must record its outcome and answer later dispatches of the call with it.
func (r *run) forwardChunk(chunk spool.Chunk) error {
	if r.task.chunksClosed.Load() {
		return nil
	}
	chunk.Correlation = r.task.request.Correlation
	err := r.task.send(chunk)
	if err == nil || !r.task.request.Idempotent {
		return nil
	}
	r.cancel(errCallerDisconnected)
	return errors.Wrap(errCallerDisconnected, err.Error())
}

func (r *run) rejectStream(err error) error {
	r.streamErr = err
	r.cancel(err)
	return err
}

func (r *run) callService(ctx context.Context) (*spool.ServiceResult, error) {
	request := r.task.request
	call := *request.Service
	call.Correlation = r.correlation
	// The service may use the identifier to recognize a call that it has already
	// executed. It must therefore be the same for every dispatch of a call, and
	// unique among accounts and programs.
	call.Call = string(request.Account) + "/" + string(request.Program) + "/" + string(request.Call)
	result, err := r.agent.service.Call(ctx, call)
	if err != nil {
		return nil, err
	}
	if result.Correlation != r.correlation {
		r.agent.telemetry.CountEvent("crossedAnswer")
		return nil, errCorrelationMismatch
	}
	return &result, nil
}

// classifyEnding returns the gatekeeper.Ending for the error of a run. EndNotSent
// states that the call has provably not run: either it was not sent, or a model
// engine answered that it rejected the call. A plain service's rejection is no such
// proof and leads to EndFailed. After the first chunk, no error proves that the call
// has not run.
func (r *run) classifyEnding(ctx context.Context, err error) gatekeeper.Ending {
	cause := context.Cause(ctx)
	rejected := errors.Is(err, spool.ErrRejected) && !r.task.call.Service
	switch {
	case err == nil:
		return gatekeeper.EndDone
	case errors.Is(err, errCorrelationMismatch), errors.Is(err, errIncomplete):
		r.agent.telemetry.CountEvent("answerRejected")
		return gatekeeper.EndFailed
	case r.chunks == 0 && (rejected || errors.Is(err, spool.ErrNotSent)):
		return gatekeeper.EndNotSent
	case r.chunks == 0 && !r.task.call.Service && errors.Is(err, spool.ErrInvalidCall):
		return gatekeeper.EndInvalid
	case errors.Is(cause, errStalled):
		r.agent.telemetry.CountEvent("runStalled")
		return gatekeeper.EndFailed
	case cause != nil:
		return gatekeeper.EndStopped
	}
	return gatekeeper.EndFailed
}
