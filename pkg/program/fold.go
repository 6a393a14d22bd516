package program

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of applying a record.
var (
	// ErrInvalidRecord means that a record does not decode or contradicts the state.
	// Apply skips such a record.
	ErrInvalidRecord  = errors.New("record is not valid in the program's state")
	errAlreadyApplied = errors.New("record has been applied before")
)

// State is the state of all programs of one stream. It is not safe for
// concurrent use.
type State struct {
	trees map[spool.ProgramID]*programTree
	// awaitingSnapshot holds, by root program and in order, the records of trees whose
	// start record has not been read. Retention has removed the start record, and a
	// snapshot of the tree follows later on the stream.
	awaitingSnapshot map[spool.ProgramID][]spool.Record
	limits           Limits
	// lastTicketID is the identifier of the latest ticket. tickets holds the tickets
	// that have not been released.
	lastTicketID uint64
	tickets      map[uint64]*Ticket
}

// Limits bounds the memory that the requests of callers can use in a State. NewState
// replaces a field that is 0 by its value in DefaultLimits.
type Limits struct {
	// Waiting bounds the number of waiting calls of one program.
	Waiting int
	// HistoryBytes bounds the text of the history of one program, in bytes.
	HistoryBytes int
}

// DefaultLimits replace the fields of Limits that are 0. For comparison, a history
// of 150,000 tokens is about 600 kB of text.
var DefaultLimits = Limits{Waiting: 16, HistoryBytes: 4 << 20}

// NewState returns a state without programs.
func NewState(limit Limits) *State {
	if limit.Waiting == 0 {
		limit.Waiting = DefaultLimits.Waiting
	}
	if limit.HistoryBytes == 0 {
		limit.HistoryBytes = DefaultLimits.HistoryBytes
	}
	return &State{
		trees:            map[spool.ProgramID]*programTree{},
		awaitingSnapshot: map[spool.ProgramID][]spool.Record{},
		limits:           limit,
		tickets:          map[uint64]*Ticket{},
	}
}

// Effects holds the effects of Apply that the caller must act on or report.
type Effects struct {
	// Ended maps each program that these records ended to the endpoint that may still
	// hold its prefix in memory. The endpoint is empty for a program without a turn.
	Ended map[spool.ProgramID]spool.EndpointID
	// Repeated is the number of records that were skipped because they had been applied
	// before.
	Repeated int
	// Invalid holds one error for each invalid record, which was skipped.
	Invalid []error
}

// Apply applies records to the state in order. It skips a record that has been
// applied before, so that an owner may apply its own records when they become durable
// and again when it reads them from the log. It also skips invalid records and record
// kinds of other packages. It keeps the records of an unknown program until it applies
// the snapshot of the program's tree or until Forget drops them.
func (s *State) Apply(records []spool.Record) (effects Effects) {
	for _, record := range records {
		switch err := s.apply(record, &effects); {
		case errors.Is(err, errAlreadyApplied):
			effects.Repeated++
		case err != nil:
			effects.Invalid = append(effects.Invalid, errors.Wrapf(err, "%s of program %s", record.Kind, record.Program))
		}
	}
	return effects
}

func (s *State) apply(record spool.Record, effects *Effects) error {
	switch record.Kind {
	case KindStarted, KindSpawned:
		return decodeAndApply(record, func(data Started) error { return s.applyStarted(record, data) })
	case KindSnapshot:
		return decodeAndApply(record, func(data Snapshot) error { return s.applySnapshot(record.Program, data, effects) })
	case KindTurn, KindSpent, KindIntent, KindOutcome, KindEnded:
	default:
		return nil
	}
	program := s.findProgram(record.Program)
	if program == nil {
		root := record.Program.Root()
		s.awaitingSnapshot[root] = append(s.awaitingSnapshot[root], record)
		return nil
	}
	switch record.Kind {
	case KindTurn:
		return decodeAndApply(record, program.applyTurn)
	case KindSpent:
		return decodeAndApply(record, program.applySpent)
	case KindIntent:
		return decodeAndApply(record, program.applyIntent)
	case KindOutcome:
		return decodeAndApply(record, program.applyOutcome)
	default:
		return decodeAndApply(record, func(data Ended) error { return s.applyEnded(program, data, effects) })
	}
}

// decodeAndApply decodes the data of a record and passes it to apply.
func decodeAndApply[Data any](record spool.Record, apply func(Data) error) error {
	var data Data
	if err := json.Unmarshal(record.Data, &data); err != nil {
		return errors.Wrap(ErrInvalidRecord, err.Error())
	}
	return apply(data)
}

func invalidRecord(format string, args ...any) error {
	return errors.Wrap(ErrInvalidRecord, fmt.Sprintf(format, args...))
}

func (s *State) findProgram(id spool.ProgramID) *Program {
	tree := s.trees[id.Root()]
	if tree == nil {
		return nil
	}
	return tree.programs[id]
}

func (s *State) applyStarted(record spool.Record, data Started) error {
	id := record.Program
	if s.findProgram(id) != nil {
		return errAlreadyApplied
	}
	if record.Kind == KindStarted {
		if data.Parent != "" || id.Root() != id || id == "" {
			return invalidRecord("start record does not describe a root program")
		}
		tree := &programTree{
			root: id, programs: map[spool.ProgramID]*Program{}, budget: data.Budget, startedAt: data.At,
			pendingSpawns: map[spool.ProgramID]*Ticket{},
		}
		s.trees[id] = tree
		tree.programs[id] = newProgram(id, tree, data)
		return nil
	}
	parent := s.findProgram(data.Parent)
	if parent == nil {
		if s.trees[id.Root()] == nil {
			s.awaitingSnapshot[id.Root()] = append(s.awaitingSnapshot[id.Root()], record)
			return nil
		}
		return invalidRecord("parent %s does not exist", data.Parent)
	}
	if parent.account != data.Account || parent.tree.root != id.Root() {
		return invalidRecord("account or tree of the sub-agent differs from that of its parent")
	}
	program := newProgram(id, parent.tree, data)
	if parent.endReason != "" {
		program.endReason, program.endedAt = parent.endReason, parent.endedAt
	}
	parent.tree.programs[id] = program
	parent.children[data.Call] = subAgent{id: id, bodyDigest: data.Body}
	parent.tree.used.Agents++
	if ticket := parent.tree.pendingSpawns[id]; ticket != nil {
		parent.tree.releaseReservation(ticket)
		delete(parent.tree.pendingSpawns, id)
	}
	parent.recordChange(data.At)
	return nil
}

func newProgram(id spool.ProgramID, tree *programTree, data Started) *Program {
	return &Program{
		id: id, account: data.Account, parent: data.Parent, model: data.Model, alarm: data.Alarm,
		idleTimeout: data.IdleTimeout, tree: tree, lastChangeAt: data.At,
		calls: map[spool.CallID]*recordedCall{}, children: map[spool.CallID]subAgent{},
	}
}

// recordChange sets lastChangeAt of the program and its ancestors to at, unless it is
// later already. This postpones their expiry.
func (p *Program) recordChange(at clock.Millis) {
	for p != nil {
		p.lastChangeAt = max(p.lastChangeAt, at)
		p = p.tree.programs[p.parent]
	}
}

func (p *Program) applyTurn(data Turn) error {
	if p.calls[data.Call] != nil || (p.endReason != "" && data.BaseCount < p.messageCount) {
		return errAlreadyApplied
	}
	switch {
	case len(data.Messages) == 0:
		return invalidRecord("turn has no messages")
	case p.endReason == "" && data.BaseCount != p.history.Len():
		return invalidRecord("turn starts at message %d, history has %d", data.BaseCount, p.history.Len())
	case p.endReason == "" && spool.HistoryDigest(p.digest, data.Messages...) != data.Digest:
		return invalidRecord("digest of the history does not match")
	}
	p.charge(data.Call, data.Charged, data.At)
	finished := &recordedCall{
		kind: CallModel, bodyDigest: data.Body, answerIndex: p.history.Len() + len(data.Messages) - 1, outcome: OutcomeDone,
		promptTokens: data.PromptTokens, cachedTokens: data.CachedTokens, generatedTokens: data.GeneratedTokens, endpoint: data.Endpoint,
	}
	p.calls[data.Call], p.lastModelCall = finished, data.Call
	p.turns++
	p.messageCount += len(data.Messages)
	p.endpoint = data.Endpoint
	if p.endReason != "" {
		finished.answerIndex, finished.answerText = -1, data.Messages[len(data.Messages)-1].Content
		return nil
	}
	p.history.Append(data.Messages...)
	p.digest = data.Digest
	p.historyTokens = data.PromptTokens + data.GeneratedTokens
	return nil
}

func (p *Program) applySpent(data Spent) error {
	if data.Sequence <= p.spentSequence {
		return errAlreadyApplied
	}
	p.spentSequence = data.Sequence
	p.charge(data.Call, data.Charged, data.At)
	return nil
}

func (p *Program) applyIntent(data Intent) error {
	if recorded := p.calls[data.Call]; recorded != nil && (recorded.outcome != OutcomeNotRun || data.Attempt <= recorded.attempts) {
		return errAlreadyApplied
	}
	p.calls[data.Call] = &recordedCall{
		kind: CallService, bodyDigest: data.Body, answerIndex: -1,
		service: data.Service, endpoint: data.Endpoint, epoch: data.Epoch, agentMark: data.Mark, attempts: data.Attempt,
	}
	p.unresolvedCalls++
	p.charge(data.Call, 0, data.At)
	return nil
}

// charge adds one call and its tokens to the usage of the tree. If the call is running
// here, it also releases the whole reservation of the call.
func (p *Program) charge(name spool.CallID, tokens int, at clock.Millis) {
	p.tree.used.Tokens += tokens
	p.tree.used.Calls++
	if p.running != nil && p.running.Call == name {
		p.tree.releaseReservation(p.running)
	}
	p.recordChange(at)
}

// releaseReservation returns the reservation of a ticket to the budget of the tree. A
// second call for the same ticket has no effect.
func (t *programTree) releaseReservation(ticket *Ticket) {
	t.reserved = t.reserved.subtract(ticket.reservation)
	ticket.reservation = Usage{}
}

func (p *Program) applyOutcome(data Outcome) error {
	recorded := p.calls[data.Call]
	if recorded != nil && (recorded.outcome != "" || data.Attempt < recorded.attempts) {
		return errAlreadyApplied
	}
	if recorded == nil {
		recorded = &recordedCall{kind: CallService, bodyDigest: data.Body, answerIndex: -1}
		p.calls[data.Call] = recorded
		p.charge(data.Call, 0, data.At)
	} else {
		p.unresolvedCalls--
	}
	recorded.outcome, recorded.status, recorded.answerBody = data.Outcome, data.Status, data.Answer
	if data.Endpoint != "" {
		recorded.endpoint = data.Endpoint
	}
	p.recordChange(data.At)
	return nil
}

func (s *State) applyEnded(program *Program, data Ended, effects *Effects) error {
	if program.endReason != "" {
		return errAlreadyApplied
	}
	prefix := string(program.id) + "."
	for id, other := range program.tree.programs {
		descends := len(id) > len(prefix) && string(id[:len(prefix)]) == prefix
		if other.endReason == "" && (other == program || descends) {
			other.end(data, effects)
		}
	}
	return nil
}

// end marks the program as ended and drops its history. It keeps the answer of the
// latest model call and the answers of all service calls, so that a caller that did
// not receive one of them can still request it.
func (p *Program) end(data Ended, effects *Effects) {
	for name, recorded := range p.calls {
		if recorded.kind != CallModel {
			continue
		}
		if name != p.lastModelCall {
			delete(p.calls, name)
			continue
		}
		if recorded.answerIndex >= 0 {
			recorded.answerText, recorded.answerIndex = p.history.At(recorded.answerIndex).Content, -1
		}
	}
	p.history = history.History{}
	p.endReason, p.endedAt = data.Reason, data.At
	p.lastChangeAt = max(p.lastChangeAt, data.At)
	if effects.Ended == nil {
		effects.Ended = map[spool.ProgramID]spool.EndpointID{}
	}
	effects.Ended[p.id] = p.endpoint
}
