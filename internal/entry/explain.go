package entry

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Methods of the wire server for the operators' commands. They require no API
// key: whoever can reach the wire listener can call them.
const (
	MethodExplain = "entry.explain"
	MethodStatus  = "entry.status"
	MethodUsage   = "entry.usage"
)

// maxDecisions is the number of decisions that are kept per program, the latest
// ones.
const maxDecisions = 16

// reasonDispatched is the Reason of a Decision to dispatch a call.
const reasonDispatched = "dispatched"

// Decision records, for operators, one step in the handling of a call: the choice
// of an endpoint, a refusal because there is none, or the failure of an attempt.
type Decision struct {
	// At is the time of the decision.
	At clock.Millis `json:"atMs"`
	// Call and Attempt identify the attempt. Attempt starts at 1 for each call.
	Call    spool.CallID `json:"call"`
	Attempt int          `json:"attempt"`
	// Endpoint is the endpoint that was chosen or that failed; empty if none
	// could be chosen.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Reason is "dispatched" for the choice of an endpoint, a spool.Failure for a
	// failed attempt, or a spool.Code if no endpoint could be chosen.
	Reason string `json:"reason"`
	// Message explains a failure or refusal; empty for "dispatched".
	Message string `json:"message,omitempty"`
	// Choice explains why the endpoint was chosen. It is set only for
	// "dispatched".
	Choice *Choice `json:"choice,omitempty"`
}

// decisionRing is a ring buffer of the latest decisions about one program.
type decisionRing struct {
	entries [maxDecisions]Decision
	// next is the number of decisions added so far. The next one is stored at
	// this index modulo maxDecisions.
	next int
}

func (r *decisionRing) add(decision Decision) {
	r.entries[r.next%maxDecisions] = decision
	r.next++
}

func (r *decisionRing) list() (decisions []Decision) {
	for i := max(0, r.next-maxDecisions); i < r.next; i++ {
		decisions = append(decisions, r.entries[i%maxDecisions])
	}
	return decisions
}

// recordDecision adds a decision to the ring of a program. It does nothing if the
// shard has stopped.
func (e *Entry) recordDecision(shard *shard, id spool.ProgramID, decision Decision) {
	shard.do(func() {
		ring := shard.decisions[id]
		if ring == nil {
			ring = &decisionRing{}
			shard.decisions[id] = ring
		}
		ring.add(decision)
	})
}

// recordChoice records the decision of pickEndpoint for an attempt at a call: the
// choice of an endpoint or, if refusal is not nil, the refusal.
func (e *Entry) recordChoice(shard *shard, call *inflightCall, attempt int, choice *Choice, refusal *spool.Refusal) {
	decision := Decision{At: e.clock.Now(), Call: call.ticket.Call, Attempt: attempt, Reason: reasonDispatched, Choice: choice}
	if refusal != nil {
		decision.Reason, decision.Message = string(refusal.Code), refusal.Message
	} else {
		decision.Endpoint = choice.Chosen.Endpoint
	}
	e.recordDecision(shard, call.ticket.Program, decision)
}

// ExplainRequest requests the decisions about one program.
type ExplainRequest struct {
	Program spool.ProgramID `json:"program"`
}

// ExplainReply holds the state of a program and the latest decisions about its
// calls, oldest first, at most maxDecisions.
type ExplainReply struct {
	Program   program.View `json:"program"`
	Decisions []Decision   `json:"decisions"`
}

// handleExplain serves the wire method entry.explain. If this process does not own
// the program, it refuses with CodeNotOwner and names the owner, if known.
func (e *Entry) handleExplain(_ context.Context, request ExplainRequest, _ wire.Send) (any, error) {
	stream := spool.StreamOfProgram(request.Program, e.config.Streams)
	shard := e.shards.get(stream)
	if shard == nil || !shard.isServing() {
		refusal := spool.Refuse(spool.CodeNotOwner, "stream %s is not owned by this entry", stream)
		refusal.Owner, _, _ = e.streams.OwnerOf(stream)
		return nil, refusal
	}
	reply := ExplainReply{}
	var err error
	if !shard.do(func() {
		reply.Program, err = shard.state.Inspect(request.Program)
		if ring := shard.decisions[request.Program]; ring != nil {
			reply.Decisions = ring.list()
		}
	}) {
		return nil, notOwner(stream)
	}
	return reply, err
}

// StatusReply is the status of an entry process, for operators.
type StatusReply struct {
	Node          spool.NodeID        `json:"node"`
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	// Ready is false once the entry is shutting down.
	Ready bool `json:"ready"`
	// Calls is the number of calls that run or wait at this entry as the owner of
	// their programs.
	Calls int64 `json:"calls"`
	// ControlOffset is the offset up to which the process has applied the control
	// stream.
	ControlOffset spool.Offset `json:"controlOffset"`
	// Streams holds the streams that the entry serves.
	Streams map[spool.Stream]StreamState `json:"streams"`
	// Counters holds all counters of the process, in no particular order.
	Counters []Counter `json:"counters"`
}

// StreamState is the state of a stream that the entry serves.
type StreamState struct {
	// Epoch is the epoch in which the entry owns the stream.
	Epoch spool.Epoch `json:"epoch"`
	// Programs is the number of live programs, including sub-agents.
	Programs int `json:"programs"`
}

// Counter is the value of one telemetry counter since the start of the process.
type Counter struct {
	telemetry.Series
	Count int64 `json:"count"`
}

// handleStatus serves the wire method entry.status with a StatusReply.
func (e *Entry) handleStatus(context.Context, struct{}, wire.Send) (any, error) {
	reply := StatusReply{
		Node: e.config.Node, FailureDomain: e.config.FailureDomain, Ready: e.ready.Load(), Calls: e.activeCalls.Load(),
		ControlOffset: e.control.Offset(), Streams: map[spool.Stream]StreamState{},
	}
	for _, shard := range e.shards.listServing() {
		state := StreamState{}
		shard.do(func() {
			state.Epoch = shard.epoch
			shard.state.EachLive(func(program.View) { state.Programs++ })
		})
		reply.Streams[shard.stream] = state
	}
	for series, count := range e.telemetry.Totals() {
		reply.Counters = append(reply.Counters, Counter{Series: series, Count: count})
	}
	return reply, nil
}
