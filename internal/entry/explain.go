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

// maxDecisions is the number of decisions that are kept per program.
const maxDecisions = 16

// reasonDispatched is the reason of a decision to dispatch a call.
const reasonDispatched = "dispatched"

// Decision records one step in the handling of a call, for operators.
type Decision struct {
	// At is when the decision was made.
	At clock.Millis `json:"atMs"`
	// Call and Attempt identify the dispatch. Attempt starts at 1 for each call.
	Call    spool.CallID `json:"call"`
	Attempt int          `json:"attempt"`
	// Endpoint is the chosen endpoint; empty if none was available.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Reason is "dispatched", the failure, or the code of a refusal.
	Reason string `json:"reason"`
	// Message explains a failure.
	Message string `json:"message,omitempty"`
	// Choice explains the choice of the endpoint. It is set if the call was
	// dispatched.
	Choice *Choice `json:"choice,omitempty"`
}

// decisionRing is a ring buffer of the latest decisions.
type decisionRing struct {
	entries [maxDecisions]Decision
	next    int
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

// recordDecision stores a decision about a call of a program.
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

// recordChoice stores the choice of an endpoint, or the refusal if there is none.
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

// ExplainReply holds the state of a program and the latest decisions about it.
type ExplainReply struct {
	Program   program.View `json:"program"`
	Decisions []Decision   `json:"decisions"`
}

// handleExplain serves entry.explain. Only the owner of the program answers it.
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

// StatusReply is the status of an entry for operators.
type StatusReply struct {
	Node          spool.NodeID                 `json:"node"`
	FailureDomain spool.FailureDomain          `json:"failureDomain"`
	Ready         bool                         `json:"ready"`
	Calls         int64                        `json:"calls"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Streams       map[spool.Stream]StreamState `json:"streams"`
	Counters      []Counter                    `json:"counters"`
}

// StreamState is the state of a stream that the entry serves.
type StreamState struct {
	Epoch    spool.Epoch `json:"epoch"`
	Programs int         `json:"programs"`
}

// Counter is the value of one counter of the process.
type Counter struct {
	telemetry.Series
	Count int64 `json:"count"`
}

// handleStatus serves entry.status.
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
