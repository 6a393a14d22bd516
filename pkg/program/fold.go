package program

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a fold.
var (
	// ErrInvalidRecord means that a record does not fit the state; it is
	// skipped.
	ErrInvalidRecord = errors.New("record does not fit the program's state")
	errRepeated      = errors.New("record has been applied before")
)

// State is the state of all programs of one stream. It is not safe for
// concurrent use.
type State struct {
	trees map[spool.ProgramID]*tree
	// early holds records of trees whose start has not been read, in order:
	// retention has removed it and a snapshot follows.
	early map[spool.ProgramID][]spool.Record
	limit Limits
	// next numbers the tickets; tickets holds those that are not released.
	next    uint64
	tickets map[uint64]*Ticket
}

// Limits bounds what callers can make the state hold.
type Limits struct {
	// Waiting bounds the calls that wait behind the one under way.
	Waiting int
	// HistoryBytes bounds the text of one program's history.
	HistoryBytes int
}

// DefaultLimits are used for the fields of Limits that are 0. A history of
// 150,000 tokens is about 600 kB of text.
var DefaultLimits = Limits{Waiting: 16, HistoryBytes: 4 << 20}

// NewState returns an empty state.
func NewState(limit Limits) *State {
	if limit.Waiting == 0 {
		limit.Waiting = DefaultLimits.Waiting
	}
	if limit.HistoryBytes == 0 {
		limit.HistoryBytes = DefaultLimits.HistoryBytes
	}
	return &State{
		trees:   map[spool.ProgramID]*tree{},
		early:   map[spool.ProgramID][]spool.Record{},
		limit:   limit,
		tickets: map[uint64]*Ticket{},
	}
}

// Effects tells what a fold has changed that others must hear of.
type Effects struct {
	// Ended lists programs that have ended, with the endpoint that may still
	// hold their memory.
	Ended map[spool.ProgramID]spool.EndpointID
	// Repeated counts records that had been applied before.
	Repeated int
	// Invalid lists the records that were skipped.
	Invalid []error
}

// Apply folds records. A record that has been applied before is dropped, so an
// owner may apply its own records when they become durable and again when they
// are read from the log.
func (s *State) Apply(records []spool.Record) (effects Effects) {
	for _, entry := range records {
		switch err := s.apply(entry, &effects); {
		case errors.Is(err, errRepeated):
			effects.Repeated++
		case err != nil:
			effects.Invalid = append(effects.Invalid, errors.Wrapf(err, "%s of program %s", entry.Kind, entry.Program))
		}
	}
	return effects
}

func (s *State) apply(entry spool.Record, effects *Effects) error {
	switch entry.Kind {
	case KindStarted, KindSpawned:
		return fold(entry, func(data Started) error { return s.applyStarted(entry, data) })
	case KindSnapshot:
		return fold(entry, func(data Snapshot) error { return s.applySnapshot(entry.Program, data, effects) })
	case KindTurn, KindSpent, KindIntent, KindOutcome, KindEnded:
	default:
		return nil
	}
	program := s.find(entry.Program)
	if program == nil {
		root := entry.Program.Root()
		s.early[root] = append(s.early[root], entry)
		return nil
	}
	switch entry.Kind {
	case KindTurn:
		return fold(entry, program.applyTurn)
	case KindSpent:
		return fold(entry, program.applySpent)
	case KindIntent:
		return fold(entry, program.applyIntent)
	case KindOutcome:
		return fold(entry, program.applyOutcome)
	default:
		return fold(entry, func(data Ended) error { return s.applyEnded(program, data, effects) })
	}
}

func fold[Data any](entry spool.Record, apply func(Data) error) error {
	var data Data
	if err := json.Unmarshal(entry.Data, &data); err != nil {
		return errors.Wrap(ErrInvalidRecord, err.Error())
	}
	return apply(data)
}

func invalid(format string, args ...any) error {
	return errors.Wrap(ErrInvalidRecord, fmt.Sprintf(format, args...))
}

func (s *State) find(id spool.ProgramID) *Program {
	tree := s.trees[id.Root()]
	if tree == nil {
		return nil
	}
	return tree.programs[id]
}

func (s *State) applyStarted(entry spool.Record, data Started) error {
	id := entry.Program
	if s.find(id) != nil {
		return errRepeated
	}
	if entry.Kind == KindStarted {
		if data.Parent != "" || id.Root() != id || id == "" {
			return invalid("a root has no parent")
		}
		owner := &tree{
			root: id, programs: map[spool.ProgramID]*Program{}, budget: data.Budget, startedAt: data.At,
			spawning: map[spool.ProgramID]*Ticket{},
		}
		s.trees[id] = owner
		owner.programs[id] = newProgram(id, owner, data)
		return nil
	}
	parent := s.find(data.Parent)
	if parent == nil {
		if s.trees[id.Root()] == nil {
			s.early[id.Root()] = append(s.early[id.Root()], entry)
			return nil
		}
		return invalid("parent %s does not exist", data.Parent)
	}
	if parent.account != data.Account || parent.tree.root != id.Root() {
		return invalid("sub-agent does not belong to its parent")
	}
	created := newProgram(id, parent.tree, data)
	if parent.ended != "" {
		created.ended, created.endedAt = parent.ended, parent.endedAt
	}
	parent.tree.programs[id] = created
	parent.children[data.Call] = child{id: id, body: data.Body}
	parent.tree.used.Agents++
	if ticket := parent.tree.spawning[id]; ticket != nil {
		parent.tree.settle(ticket)
		delete(parent.tree.spawning, id)
	}
	parent.touch(data.At)
	return nil
}

func newProgram(id spool.ProgramID, owner *tree, data Started) *Program {
	return &Program{
		id: id, account: data.Account, parent: data.Parent, model: data.Model, alarm: data.Alarm,
		idleFor: data.IdleFor, tree: owner, lastAt: data.At,
		calls: map[spool.CallID]*call{}, children: map[spool.CallID]child{},
	}
}

// touch keeps the program and its ancestors from expiring.
func (p *Program) touch(at clock.Millis) {
	for p != nil {
		p.lastAt = max(p.lastAt, at)
		p = p.tree.programs[p.parent]
	}
}

func (p *Program) applyTurn(data Turn) error {
	if p.calls[data.Call] != nil || (p.ended != "" && data.Base < p.count) {
		return errRepeated
	}
	switch {
	case len(data.Messages) == 0:
		return invalid("turn has no messages")
	case p.ended == "" && data.Base != p.history.Len():
		return invalid("turn starts at message %d, history has %d", data.Base, p.history.Len())
	case p.ended == "" && spool.HistoryDigest(p.digest, data.Messages...) != data.Digest:
		return invalid("digest of the history does not match")
	}
	p.charge(data.Call, data.Charged, data.At)
	finished := &call{
		kind: CallModel, body: data.Body, answer: p.history.Len() + len(data.Messages) - 1, fate: FateDone,
		prompt: data.PromptTokens, cached: data.CachedTokens, generated: data.GeneratedTokens, endpoint: data.Endpoint,
	}
	p.calls[data.Call], p.last = finished, data.Call
	p.turns++
	p.count += len(data.Messages)
	p.endpoint = data.Endpoint
	if p.ended != "" {
		finished.answer, finished.text = -1, data.Messages[len(data.Messages)-1].Content
		return nil
	}
	p.history.Append(data.Messages...)
	p.digest = data.Digest
	p.tokens = data.PromptTokens + data.GeneratedTokens
	return nil
}

func (p *Program) applySpent(data Spent) error {
	if data.Sequence <= p.spent {
		return errRepeated
	}
	p.spent = data.Sequence
	p.charge(data.Call, data.Charged, data.At)
	return nil
}

func (p *Program) applyIntent(data Intent) error {
	if known := p.calls[data.Call]; known != nil && (known.fate != FateNotRun || data.Try <= known.tries) {
		return errRepeated
	}
	p.calls[data.Call] = &call{
		kind: CallService, body: data.Body, answer: -1,
		service: data.Service, endpoint: data.Endpoint, epoch: data.Epoch, mark: data.Mark, tries: data.Try,
	}
	p.open++
	p.charge(data.Call, 0, data.At)
	return nil
}

// charge moves the cost of a call from the reservation to the usage.
func (p *Program) charge(name spool.CallID, tokens int, at clock.Millis) {
	p.tree.used.Tokens += tokens
	p.tree.used.Calls++
	if p.running != nil && p.running.Call == name {
		p.tree.settle(p.running)
	}
	p.touch(at)
}

// settle frees what a ticket still holds.
func (t *tree) settle(ticket *Ticket) {
	t.reserved = t.reserved.minus(ticket.held)
	ticket.held = Usage{}
}

func (p *Program) applyOutcome(data Outcome) error {
	known := p.calls[data.Call]
	if known != nil && (known.fate != "" || data.Try < known.tries) {
		return errRepeated
	}
	if known == nil {
		known = &call{kind: CallService, body: data.Body, answer: -1}
		p.calls[data.Call] = known
		p.charge(data.Call, 0, data.At)
	} else {
		p.open--
	}
	known.fate, known.status, known.data = data.Fate, data.Status, data.Answer
	if data.Endpoint != "" {
		known.endpoint = data.Endpoint
	}
	p.touch(data.At)
	return nil
}

func (s *State) applyEnded(program *Program, data Ended, effects *Effects) error {
	if program.ended != "" {
		return errRepeated
	}
	prefix := string(program.id) + "."
	for id, other := range program.tree.programs {
		descends := len(id) > len(prefix) && string(id[:len(prefix)]) == prefix
		if other.ended == "" && (other == program || descends) {
			other.end(data, effects)
		}
	}
	return nil
}

// end drops the history but keeps the latest answer and all answers of
// services, so that a caller that missed one still gets it.
func (p *Program) end(data Ended, effects *Effects) {
	for name, known := range p.calls {
		if known.kind != CallModel {
			continue
		}
		if name != p.last {
			delete(p.calls, name)
			continue
		}
		if known.answer >= 0 {
			known.text, known.answer = p.history.At(known.answer).Content, -1
		}
	}
	p.history = history.History{}
	p.ended, p.endedAt = data.Reason, data.At
	p.lastAt = max(p.lastAt, data.At)
	if effects.Ended == nil {
		effects.Ended = map[spool.ProgramID]spool.EndpointID{}
	}
	effects.Ended[p.id] = p.endpoint
}
