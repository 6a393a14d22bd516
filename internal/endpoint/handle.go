package endpoint

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// methods returns the handlers of the agent's RPC methods.
func (a *Agent) methods() wire.Mux {
	return wire.Mux{
		wire.MethodRun:            wire.Handle(a.handleRun),
		wire.MethodRenew:          wire.Handle(a.handleRenew),
		wire.MethodOutcomeQuery:   wire.Handle(a.handleOutcomeQuery),
		wire.MethodEndpointStatus: wire.Handle(a.handleStatus),
	}
}

// handleRun submits a call for admission and waits for its answer. When the
// caller disconnects, it tells the kernel, which then answers at once.
func (a *Agent) handleRun(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
	if refusal := a.validateRun(request); refusal != nil {
		a.telemetry.CountRefusal(refusal.Code)
		return nil, refusal
	}
	t := &task{request: request, call: kernelCall(request), send: send, reply: make(chan taskReply, 1)}
	if !a.post(runRequested{t}) {
		return nil, spool.Refuse(spool.CodeShuttingDown, "agent has stopped")
	}
	select {
	case reply := <-t.reply:
		return a.finishRun(t, reply)
	case <-ctx.Done():
		a.post(callerDisconnected{t})
	case <-a.ctx.Done():
	}
	select {
	case reply := <-t.reply:
		return a.finishRun(t, reply)
	case <-a.ctx.Done():
		return nil, spool.Refuse(spool.CodeShuttingDown, "agent has stopped").WithNotRun(spool.NotRunUnknown)
	}
}

// validateRun returns a refusal if the request is invalid or its kind does not match
// the endpoint, and nil otherwise.
func (a *Agent) validateRun(request wire.RunRequest) *spool.Refusal {
	switch {
	case request.Program == "" || request.Call == "" || request.Stream == "" || request.Account == "":
		return spool.Refuse(spool.CodeBadRequest, "account, program, call and stream must be set")
	case request.BaseCount < 0 || request.DeadlineIn < 0:
		return spool.Refuse(spool.CodeBadRequest, "baseCount and deadlineInMs must not be negative")
	case request.Kind == wire.RunModel && a.engine == nil,
		request.Kind == wire.RunService && a.service == nil,
		request.Kind != wire.RunModel && request.Kind != wire.RunService:
		return spool.Refuse(spool.CodeBadRequest, "endpoint does not serve calls of kind %q", request.Kind)
	case request.Kind == wire.RunService && request.Service == nil:
		return spool.Refuse(spool.CodeBadRequest, "service is missing")
	case request.Kind == wire.RunModel && request.BaseCount == 0 && len(request.Messages) == 0:
		return spool.Refuse(spool.CodeBadRequest, "messages are missing")
	}
	return nil
}

// kernelCall converts a request to a gatekeeper.Call. It computes the history
// digests on the goroutine of the request, so that the control loop does not have
// to.
func kernelCall(request wire.RunRequest) gatekeeper.Call {
	call := gatekeeper.Call{
		Key:        gatekeeper.Key{Account: request.Account, Program: request.Program, Call: request.Call},
		Stream:     request.Stream,
		Epoch:      request.Epoch,
		Attempt:    request.Attempt,
		Mark:       request.Mark,
		Idempotent: request.Idempotent,
		Alarm:      request.Alarm,
		Weight:     request.Weight,
		Attained:   request.Attained,
		DeadlineIn: request.DeadlineIn,
		Service:    request.Kind == wire.RunService,
		BaseCount:  request.BaseCount,
		BaseDigest: request.BaseDigest,
		Messages:   request.Messages,
		MaxTokens:  request.MaxTokens,
	}
	if !call.Service {
		baseDigest := request.BaseDigest
		if request.BaseCount == 0 {
			baseDigest = ""
		}
		call.Digests = spool.HistoryDigests(baseDigest, request.Messages)
	}
	return call
}

// finishRun converts the kernel's answer to the reply or the refusal of the request.
// If the answer was recorded during an earlier dispatch of the call, this caller has
// received no chunks, so finishRun first sends the whole text as one chunk.
func (a *Agent) finishRun(t *task, result taskReply) (any, error) {
	if result.Refusal != nil {
		return nil, result.Refusal
	}
	reply := runReply(t.request.Correlation, result.Outcome)
	reply.Load = result.status
	if result.Recorded && reply.Engine != nil && reply.Engine.Text != "" {
		chunk := spool.Chunk{Correlation: t.request.Correlation, Text: reply.Engine.Text}
		if err := t.send(chunk); err != nil {
			return nil, errors.Wrap(err, "send recorded answer")
		}
	}
	return reply, nil
}

// runReply returns a reply that contains copies of the results in outcome, with
// their correlation ids replaced by correlation. It leaves Load unset.
func runReply(correlation string, outcome gatekeeper.Outcome) *wire.RunReply {
	reply := &wire.RunReply{Correlation: correlation}
	if outcome.Engine != nil {
		result := *outcome.Engine
		result.Correlation = correlation
		reply.Engine = &result
	}
	if outcome.Service != nil {
		result := *outcome.Service
		result.Correlation = correlation
		reply.Service = &result
	}
	return reply
}

func (a *Agent) handleRenew(ctx context.Context, request wire.RenewRequest, _ wire.Send) (any, error) {
	a.post(gatekeeper.RenewLeases{Programs: request.Programs, Ended: request.Ended, LeaseDuration: request.LeaseDuration})
	status, err := a.queryStatus(ctx)
	status.HeldTokens = nil
	return status, err
}

func (a *Agent) handleStatus(ctx context.Context, _ struct{}, _ wire.Send) (any, error) {
	return a.queryStatus(ctx)
}

func (a *Agent) queryStatus(ctx context.Context) (wire.EndpointStatus, error) {
	statuses := make(chan wire.EndpointStatus, 1)
	a.post(statusQuery{reply: statuses})
	select {
	case status := <-statuses:
		return status, nil
	case <-ctx.Done():
		return wire.EndpointStatus{}, errors.Wrap(ctx.Err(), "wait for status")
	case <-a.ctx.Done():
		return wire.EndpointStatus{}, ErrStopped
	}
}

// callStates maps each gatekeeper.CallState to the wire.CallState that is sent to
// other processes.
var callStates = map[gatekeeper.CallState]wire.CallState{
	gatekeeper.CallStateNotSeen: wire.CallStateNotSeen,
	gatekeeper.CallStateActive:  wire.CallStateActive,
	gatekeeper.CallStateDone:    wire.CallStateDone,
	gatekeeper.CallStateUnknown: wire.CallStateUnknown,
}

func (a *Agent) handleOutcomeQuery(ctx context.Context, request wire.OutcomeQuery, _ wire.Send) (any, error) {
	replies := make(chan gatekeeper.OutcomeQueryReply, 1)
	a.post(outcomeQuery{reply: replies, query: gatekeeper.OutcomeQuery{
		Key:        gatekeeper.Key{Account: request.Account, Program: request.Program, Call: request.Call},
		Stream:     request.Stream,
		Epoch:      request.Epoch,
		Attempt:    request.Attempt,
		Mark:       request.Mark,
		Idempotent: request.Idempotent,
	}})
	select {
	case reply := <-replies:
		return a.outcomeReply(reply)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for outcome of call")
	case <-a.ctx.Done():
		return nil, ErrStopped
	}
}

func (a *Agent) outcomeReply(reply gatekeeper.OutcomeQueryReply) (any, error) {
	if reply.Refusal != nil {
		a.telemetry.CountRefusal(reply.Refusal.Code)
		return nil, reply.Refusal
	}
	wireReply := wire.OutcomeQueryReply{State: callStates[reply.State], AgentSince: a.clock.Now() - a.startedAt}
	if reply.State == gatekeeper.CallStateDone {
		wireReply.Reply = runReply("", reply.Outcome)
		wireReply.Reply.Load = a.wireStatus(*a.status.Load())
	}
	return wireReply, nil
}
