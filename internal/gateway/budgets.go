package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of budgets.
var (
	// errBudgetSpent means that the budget does not hold another turn.
	errBudgetSpent = errors.New("budget of the program is spent")
	// errBudgetUnknown means that the store did not say what is left of the budget.
	errBudgetUnknown = errors.New("budget of the program is not known")
	// errHolderUnknown means that a gateway that holds a grant may run and is not
	// known yet.
	errHolderUnknown = errors.New("holder of a grant is not known yet")
)

const (
	// turnsPerGrant is the number of turns that a grant is asked for. With more, a
	// gateway asks the store less often; with fewer, it keeps less from others.
	turnsPerGrant = 3
	// holdIdle is the time without a turn after which a gateway returns its grants.
	// A program that was refused elsewhere is judged by what is known a second later.
	holdIdle = 600 * clock.Millis(1)
	// releaseInterval is the time between two looks for idle grants.
	releaseInterval = 250 * clock.Millis(1)
	// endTimeout bounds the tries to write the end of a grant. A lost end leaves the
	// grant counted whole.
	endTimeout = 20 * clock.Second
	// loggedWait bounds the wait for a grant of the log before the reserve is asked. A
	// store that is slow answers within it.
	loggedWait = 500 * clock.Millis(1)
	// knownTimeout bounds the look for records of a program.
	knownTimeout = 150 * clock.Millis(1)
	// maxBudgetPartitions keeps the partitions few, so that the records of a gateway
	// share appends. One partition takes some hundred appends in a second.
	maxBudgetPartitions = 2
	// grantSeparator follows the lifetime in the identifier of a grant.
	grantSeparator = "."
	// methodSettle asks a gateway to give back what it holds of a program.
	methodSettle = "gateway.settle"
)

type settleRequest struct {
	Program spool.ProgramID `json:"program"`
}

// handlers answers other gateways.
func (s *budgetStore) handlers() wire.Mux {
	return wire.Mux{
		methodSettle: wire.Handle(func(ctx context.Context, request settleRequest, _ wire.Send) (any, error) {
			return struct{}{}, s.settle(ctx, request.Program)
		}),
	}
}

// budgetStore takes grants for the programs whose turns this gateway runs. The
// ledger of a program is the partition of its identifier.
type budgetStore struct {
	ctx      context.Context
	store    spool.Store
	health   *storeHealth
	clock    clock.Clock
	lifetime string
	ledgers  []*budgetLedger
	// askSettle asks the gateway of a lifetime to settle a program.
	askSettle func(ctx context.Context, lifetime string, id spool.ProgramID) error
	// reserve grants what the log does not.
	reserve *reserveClient
	// sequence numbers the grants of this process.
	sequence atomic.Uint64

	mu sync.Mutex
	// programs are those that this gateway holds grants of or asks for.
	programs map[spool.ProgramID]*heldProgram
}

type heldProgram struct {
	// asking is locked while a grant is asked for, so that turns side by side ask
	// once.
	asking sync.Mutex
	// mu guards hold and closed.
	mu     sync.Mutex
	hold   spend.Hold
	closed bool
}

type budgetLedger struct {
	*spend.Ledger
	partition spool.Partition
	appender  *appender
	// reading serialises the reads of the partition.
	reading sync.Mutex
}

func newBudgetStore(ctx context.Context, store spool.Store, health *storeHealth, system clock.Clock, settings spool.GatewaySettings, lifetime string, askSettle func(ctx context.Context, lifetime string, id spool.ProgramID) error, reserve *reserveClient) *budgetStore {
	s := &budgetStore{
		askSettle: askSettle, reserve: reserve, ctx: ctx, store: store, health: health, clock: system, lifetime: lifetime, programs: map[spool.ProgramID]*heldProgram{},
	}
	for i := range min(settings.Partitions, maxBudgetPartitions) {
		partition := spool.Partition{Topic: spool.TopicBudgets, Index: i}
		s.ledgers = append(s.ledgers, &budgetLedger{
			Ledger: spend.NewLedger(), partition: partition,
			appender: newAppender(ctx, store, partition, settings.MaxAppendBytes, system),
		})
	}
	go func() {
		for clock.Pause(ctx, releaseInterval) {
			s.release(holdIdle)
		}
	}()
	return s
}

func (s *budgetStore) ledger(program spool.ProgramID) *budgetLedger {
	return s.ledgers[xxhash.Sum64String(string(program))%uint64(len(s.ledgers))]
}

// turnBudget is the part of a program's budget that one turn may use.
type turnBudget struct {
	store *budgetStore
	id    spool.ProgramID
	// program holds the grant of the turn; nil when the reserve does.
	program *heldProgram
	most    int64
}

// begin sets the most of a turn aside, from a grant of the log or, while the store does
// not answer, from the reserve. It fails with errBudgetSpent or
// errBudgetUnknown.
func (s *budgetStore) begin(ctx context.Context, id spool.ProgramID, most, budget int64) (turn *turnBudget, err error) {
	defer func() { err = errors.Wrapf(err, "budget of program %q", id) }()
	turn, err = s.beginLogged(ctx, id, most, budget)
	if err == nil || errors.Is(err, errBudgetSpent) {
		return turn, err
	}
	granted, reserveErr := s.reserve.take(ctx, id, most, budget)
	if granted {
		return &turnBudget{store: s, id: id, most: most}, nil
	}
	if reserveErr != nil {
		err = errors.WithMessage(err, reserveErr.Error())
	}
	return nil, err
}

// beginLogged is begin without the reserve.
func (s *budgetStore) beginLogged(ctx context.Context, id spool.ProgramID, most, budget int64) (turn *turnBudget, err error) {
	ctx, cancel := context.WithTimeout(ctx, loggedWait.Duration())
	defer cancel()
	for {
		program := s.program(id)
		if program.begin(s.clock.Now(), most) {
			return &turnBudget{store: s, id: id, program: program, most: most}, nil
		}
		if err := s.extend(ctx, id, program, most, spend.Granted(budget)); err != nil {
			return nil, err
		}
	}
}

func (s *budgetStore) program(id spool.ProgramID) *heldProgram {
	s.mu.Lock()
	defer s.mu.Unlock()
	program := s.programs[id]
	if program == nil {
		program = &heldProgram{}
		s.programs[id] = program
	}
	return program
}

func (p *heldProgram) begin(now clock.Millis, most int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.hold.Begin(now, most)
}

func (p *heldProgram) missing(most int64) (tokens int64, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hold.Missing(most), p.closed
}

// end counts what a turn has generated.
func (t *turnBudget) end(used int64) {
	if t.program == nil {
		t.store.reserve.giveBack(t.id, t.most-used)
		return
	}
	t.program.mu.Lock()
	defer t.program.mu.Unlock()
	t.program.hold.End(t.store.clock.Now(), t.most, used)
}

// extend asks the ledger for another grant, unless one has come meanwhile.
func (s *budgetStore) extend(ctx context.Context, id spool.ProgramID, program *heldProgram, most, budget int64) error {
	program.asking.Lock()
	defer program.asking.Unlock()
	need, closed := program.missing(most)
	if need == 0 || closed {
		return nil
	}
	if s.spent(id, need, budget) {
		return errBudgetSpent
	}
	if s.health.isAway() || s.ledger(id).appender.away() {
		return errors.Wrap(errBudgetUnknown, errPartitionAway.Error())
	}
	record := spend.Record{
		Program: id, Grant: s.newGrant(),
		Need: need, Want: max(need, turnsPerGrant*most), Budget: budget,
	}
	granted, err := s.ask(ctx, record)
	if err == nil && granted < need {
		var settled bool
		if settled, err = s.collect(ctx, id); settled {
			record.Grant = s.newGrant()
			granted, err = s.ask(ctx, record)
		}
	}
	if err != nil {
		// The record may still take effect; its end makes that harmless.
		s.write(spend.Record{Program: id, Grant: record.Grant, End: true})
		return errors.Wrap(errBudgetUnknown, err.Error())
	}
	if granted < need {
		return errBudgetSpent
	}
	program.mu.Lock()
	defer program.mu.Unlock()
	if program.closed {
		s.write(spend.Record{Program: id, Grant: record.Grant, End: true})
		return nil
	}
	program.hold.Add(record.Grant, granted)
	return nil
}

// newGrant returns an identifier that begins with this process's lifetime.
func (s *budgetStore) newGrant() string {
	return s.lifetime + grantSeparator + strconv.FormatUint(s.sequence.Add(1), 36)
}

// collect asks the gateways that hold grants of a program to give back what they do
// not use. It reports whether one did, and fails with errHolderUnknown
// when none did and one of them may come to be known.
func (s *budgetStore) collect(ctx context.Context, id spool.ProgramID) (settled bool, err error) {
	holders := map[string]bool{}
	for _, grant := range s.ledger(id).Open(id) {
		lifetime, _, _ := strings.Cut(grant, grantSeparator)
		if lifetime != s.lifetime {
			holders[lifetime] = true
		}
	}
	results := make(chan error, len(holders))
	for lifetime := range holders {
		go func() { results <- s.askSettle(ctx, lifetime, id) }()
	}
	for range holders {
		result := <-results
		switch {
		case result == nil:
			settled = true
		case errors.Is(result, errHolderUnknown):
			err = errHolderUnknown
		}
	}
	if settled {
		return true, nil
	}
	return false, err
}

// spent reports whether the ledger says that the budget does not hold need tokens
// and that no gateway has any to give back. The total of a program without open
// grants does not decrease.
func (s *budgetStore) spent(id spool.ProgramID, need, budget int64) bool {
	ledger := s.ledger(id)
	return ledger.Total(id)+need > budget && len(ledger.Open(id)) == 0
}

// seen reports whether this gateway has heard of a turn of the program.
func (s *budgetStore) seen(id spool.ProgramID) bool {
	s.mu.Lock()
	held := s.programs[id] != nil
	s.mu.Unlock()
	return held || s.ledger(id).Known(id)
}

// known reports whether a turn of the program has run before, here or elsewhere.
func (s *budgetStore) known(ctx context.Context, id spool.ProgramID) bool {
	if s.seen(id) {
		return true
	}
	ledger := s.ledger(id)
	ctx, cancel := context.WithTimeout(ctx, knownTimeout.Duration())
	defer cancel()
	// A read from the next offset on shows whether there is more; an unreachable
	// store leaves the question open and the program counts as new.
	_ = s.catchUp(ctx, ledger, ledger.Next()+1)
	return ledger.Known(id)
}

// ask appends the request of a grant and reads the ledger up to it.
func (s *budgetStore) ask(ctx context.Context, record spend.Record) (granted int64, err error) {
	ledger := s.ledger(record.Program)
	ledger.Await(record.Grant)
	defer ledger.Forget(record.Grant)
	offset, err := ledger.appender.append(ctx, record.Encode())
	if err != nil {
		return 0, err
	}
	for {
		if granted, ok := ledger.Granted(record.Grant); ok {
			return granted, nil
		}
		before := ledger.Next()
		if err := s.catchUp(ctx, ledger, offset+1); err != nil {
			return 0, err
		}
		if ledger.Next() == before && !clock.Pause(ctx, appendRetry) {
			// The read was behind the append.
			return 0, context.Cause(ctx)
		}
	}
}

// catchUp reads the ledger's partition up to an offset.
func (s *budgetStore) catchUp(ctx context.Context, ledger *budgetLedger, until int64) error {
	ledger.reading.Lock()
	defer ledger.reading.Unlock()
	for ledger.Next() < until {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := s.store.Read(callCtx, ledger.partition, ledger.Next(), 0)
		cancel()
		switch {
		case errors.Is(err, spool.ErrTrimmed) && page.First > ledger.Next():
			ledger.Skip(page.First)
		case err != nil:
			clock.Pause(ctx, appendRetry)
		default:
			ledger.Apply(s.clock.Now(), page.From, page.Records)
			if len(page.Records) == 0 {
				return nil
			}
		}
	}
	return nil
}

// write appends a record some time.
func (s *budgetStore) write(record spend.Record) {
	ctx, cancel := context.WithTimeout(s.ctx, endTimeout.Duration())
	context.AfterFunc(ctx, cancel)
	s.ledger(record.Program).appender.add(ctx, record.Encode())
}

// release returns the grants of programs that have run no turn for a time.
func (s *budgetStore) release(idle clock.Millis) {
	now := s.clock.Now()
	var ends []spend.Record
	s.mu.Lock()
	for id, program := range s.programs {
		if records, closed := program.close(now, idle, spend.Record{Program: id}); closed {
			ends = append(ends, records...)
			delete(s.programs, id)
		}
	}
	s.mu.Unlock()
	for _, end := range ends {
		s.write(end)
	}
}

// close ends the hold when no turn has run for a time and no grant is asked for.
func (p *heldProgram) close(now, idle clock.Millis, record spend.Record) (ends []spend.Record, closed bool) {
	if !p.asking.TryLock() {
		return nil, false
	}
	defer p.asking.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hold.Idle(now, idle) {
		return nil, false
	}
	p.closed = true
	return p.hold.Settle(record), true
}

// settle gives back what this gateway holds of a program beyond its running turns,
// for another gateway that needs it, and returns when that is durable.
func (s *budgetStore) settle(ctx context.Context, id spool.ProgramID) error {
	s.mu.Lock()
	program := s.programs[id]
	s.mu.Unlock()
	if program == nil {
		return nil
	}
	program.mu.Lock()
	ends := program.hold.Settle(spend.Record{Program: id})
	program.mu.Unlock()
	appender := s.ledger(id).appender
	for _, end := range ends {
		if _, err := appender.append(ctx, end.Encode()); err != nil {
			return err
		}
	}
	return nil
}

// flush returns all grants and waits until that is durable or ctx ends.
func (s *budgetStore) flush(ctx context.Context) {
	s.release(0)
	for _, ledger := range s.ledgers {
		ledger.appender.drain(ctx)
	}
}

func (s *budgetStore) expire(now clock.Millis) {
	for _, ledger := range s.ledgers {
		ledger.Expire(now)
	}
}
