package entry

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Methods of the operators' commands on the wire server. Only those who reach
// the listener between processes can call them.
const (
	MethodExplain = "entry.explain"
	MethodStatus  = "entry.status"
	MethodUsage   = "entry.usage"
)

// ringSize is the number of decisions kept per program.
const ringSize = 16

// reasonDispatched is the reason of a decision that is no failure.
const reasonDispatched = "dispatched"

// Decision is one step in the life of a call, for operators.
type Decision struct {
	// At is when the decision was taken.
	At clock.Millis `json:"atMs"`
	// Call and Attempt name the dispatch.
	Call    spool.CallID `json:"call"`
	Attempt int          `json:"attempt"`
	// Endpoint is the endpoint that was chosen.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Reason is "dispatched", the failure, or the code of a refusal.
	Reason string `json:"reason"`
	// Message explains a failure.
	Message string `json:"message,omitempty"`
	// Choice is set when the call was dispatched.
	Choice *Choice `json:"choice,omitempty"`
}

// ring holds the latest decisions.
type ring struct {
	entries [ringSize]Decision
	next    int
}

func (r *ring) add(decision Decision) {
	r.entries[r.next%ringSize] = decision
	r.next++
}

func (r *ring) list() (decisions []Decision) {
	for i := max(0, r.next-ringSize); i < r.next; i++ {
		decisions = append(decisions, r.entries[i%ringSize])
	}
	return decisions
}

// note keeps a decision about a call.
func (e *Entry) note(shard *shard, id spool.ProgramID, decision Decision) {
	shard.do(func() {
		kept := shard.rings[id]
		if kept == nil {
			kept = &ring{}
			shard.rings[id] = kept
		}
		kept.add(decision)
	})
}

// noteChoice keeps the choice of an endpoint, or why there was none.
func (e *Entry) noteChoice(shard *shard, flight *flight, attempt int, choice *Choice, refusal *spool.Refusal) {
	decision := Decision{At: e.clock.Now(), Call: flight.ticket.Call, Attempt: attempt, Reason: reasonDispatched, Choice: choice}
	if refusal != nil {
		decision.Reason, decision.Message = string(refusal.Code), refusal.Message
	} else {
		decision.Endpoint = choice.Chosen.Endpoint
	}
	e.note(shard, flight.ticket.Program, decision)
}

// ExplainRequest asks about one program.
type ExplainRequest struct {
	Program spool.ProgramID `json:"program"`
}

// ExplainReply tells an operator what was decided about a program.
type ExplainReply struct {
	Program   program.View `json:"program"`
	Decisions []Decision   `json:"decisions"`
}

func (e *Entry) explain(_ context.Context, request ExplainRequest, _ wire.Send) (any, error) {
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
		if kept := shard.rings[request.Program]; kept != nil {
			reply.Decisions = kept.list()
		}
	}) {
		return nil, notOwner(stream)
	}
	return reply, err
}

// StatusReply describes an entry to operators.
type StatusReply struct {
	Node          spool.NodeID                 `json:"node"`
	FailureDomain spool.FailureDomain          `json:"failureDomain"`
	Ready         bool                         `json:"ready"`
	Calls         int64                        `json:"calls"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Streams       map[spool.Stream]StreamState `json:"streams"`
	Counters      []Counter                    `json:"counters"`
}

// StreamState describes a stream that the entry owns.
type StreamState struct {
	Epoch    spool.Epoch `json:"epoch"`
	Programs int         `json:"programs"`
}

// Counter is one of the process's counters.
type Counter struct {
	telemetry.Series
	Count int64 `json:"count"`
}

func (e *Entry) status(context.Context, struct{}, wire.Send) (any, error) {
	reply := StatusReply{
		Node: e.config.Node, FailureDomain: e.config.FailureDomain, Ready: e.ready.Load(), Calls: e.calls.Load(),
		ControlOffset: e.control.Offset(), Streams: map[spool.Stream]StreamState{},
	}
	for _, shard := range e.shards.list() {
		state := StreamState{}
		shard.do(func() {
			state.Epoch = shard.epoch
			shard.state.Live(func(program.View) { state.Programs++ })
		})
		reply.Streams[shard.stream] = state
	}
	for series, count := range e.telemetry.Totals() {
		reply.Counters = append(reply.Counters, Counter{Series: series, Count: count})
	}
	return reply, nil
}
