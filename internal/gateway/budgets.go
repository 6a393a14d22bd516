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
	grantIdleTimeout = 600 * clock.Millis(1)
	// releaseInterval is the time between two looks for idle grants.
	releaseInterval = 250 * clock.Millis(1)
	// endTimeout bounds the tries to write the end of a grant. A lost end leaves the
	// grant counted whole.
	grantEndTimeout = 20 * clock.Second
	// loggedWait bounds the wait for a grant of the log before the reserve is asked. A
	// store that is slow answers within it.
	logGrantTimeout = 500 * clock.Millis(1)
	// knownTimeout bounds the look for records of a program.
	programLookupTimeout = 150 * clock.Millis(1)
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
	ctx         context.Context
	store       spool.Store
	health      *storeHealth
	clock       clock.Clock
	incarnation string
	ledgers     []*budgetLedger
	// askSettle asks the gateway of a lifetime to settle a program.
	requestSettle func(ctx context.Context, lifetime string, id spool.ProgramID) error
	// reserve grants what the log does not.
	reserve *reserveClient
	// sequence numbers the grants of this process.
	sequence atomic.Uint64

	mu sync.Mutex
	// programs are those that this gateway holds grants of or asks for.
	programs map[spool.ProgramID]*programGrants
}

type programGrants struct {
	// asking is locked while a grant is asked for, so that turns side by side ask
	// once.
	requestMu sync.Mutex
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
	readMu sync.Mutex
}

func newBudgetStore(ctx context.Context, store spool.Store, health *storeHealth, system clock.Clock, settings spool.GatewaySettings, incarnation string, requestSettle func(ctx context.Context, lifetime string, id spool.ProgramID) error, reserve *reserveClient) *budgetStore {
	s := &budgetStore{
		requestSettle: requestSettle, reserve: reserve, ctx: ctx, store: store, health: health, clock: system, incarnation: incarnation, programs: map[spool.ProgramID]*programGrants{},
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
			s.releaseIdle(grantIdleTimeout)
		}
	}()
	return s
}

func (s *budgetStore) ledgerOf(program spool.ProgramID) *budgetLedger {
	return s.ledgers[xxhash.Sum64String(string(program))%uint64(len(s.ledgers))]
}

// turnBudget is the part of a program's budget that one turn may use.
type turnBudget struct {
	store *budgetStore
	id    spool.ProgramID
	// program holds the grant of the turn; nil when the reserve does.
	grants    *programGrants
	maxTokens int64
}

// begin sets the most of a turn aside, from a grant of the log or, while the store does
// not answer, from the reserve. It fails with errBudgetSpent or
// errBudgetUnknown.
func (s *budgetStore) beginTurn(ctx context.Context, id spool.ProgramID, maxTokens, budget int64) (turn *turnBudget, err error) {
	defer func() { err = errors.Wrapf(err, "budget of program %q", id) }()
	turn, err = s.beginTurnFromLog(ctx, id, maxTokens, budget)
	if err == nil || errors.Is(err, errBudgetSpent) {
		return turn, err
	}
	granted, reserveErr := s.reserve.take(ctx, id, maxTokens, budget)
	if granted {
		return &turnBudget{store: s, id: id, maxTokens: maxTokens}, nil
	}
	if reserveErr != nil {
		err = errors.WithMessage(err, reserveErr.Error())
	}
	return nil, err
}

// beginLogged is begin without the reserve.
func (s *budgetStore) beginTurnFromLog(ctx context.Context, id spool.ProgramID, maxTokens, budget int64) (turn *turnBudget, err error) {
	ctx, cancel := context.WithTimeout(ctx, logGrantTimeout.Duration())
	defer cancel()
	for {
		program := s.grantsOf(id)
		if program.allocate(s.clock.Now(), maxTokens) {
			return &turnBudget{store: s, id: id, grants: program, maxTokens: maxTokens}, nil
		}
		if err := s.ensureGrant(ctx, id, program, maxTokens, spend.Granted(budget)); err != nil {
			return nil, err
		}
	}
}

func (s *budgetStore) grantsOf(id spool.ProgramID) *programGrants {
	s.mu.Lock()
	defer s.mu.Unlock()
	program := s.programs[id]
	if program == nil {
		program = &programGrants{}
		s.programs[id] = program
	}
	return program
}

func (p *programGrants) allocate(now clock.Millis, maxTokens int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.hold.Begin(now, maxTokens)
}

func (p *programGrants) shortfall(maxTokens int64) (tokens int64, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hold.Missing(maxTokens), p.closed
}

// end counts what a turn has generated.
func (t *turnBudget) endTurn(used int64) {
	if t.grants == nil {
		t.store.reserve.returnUnused(t.id, t.maxTokens-used)
		return
	}
	t.grants.mu.Lock()
	defer t.grants.mu.Unlock()
	t.grants.hold.End(t.store.clock.Now(), t.maxTokens, used)
}

// extend asks the ledger for another grant, unless one has come meanwhile.
func (s *budgetStore) ensureGrant(ctx context.Context, id spool.ProgramID, program *programGrants, maxTokens, budget int64) error {
	program.requestMu.Lock()
	defer program.requestMu.Unlock()
	need, closed := program.shortfall(maxTokens)
	if need == 0 || closed {
		return nil
	}
	if s.isSpent(id, need, budget) {
		return errBudgetSpent
	}
	if s.health.isUnavailable() || s.ledgerOf(id).appender.isUnavailable() {
		return errors.Wrap(errBudgetUnknown, errPartitionUnavailable.Error())
	}
	record := spend.Record{
		Program: id, Grant: s.newGrantID(),
		Need: need, Want: max(need, turnsPerGrant*maxTokens), Budget: budget,
	}
	granted, err := s.requestGrant(ctx, record)
	if err == nil && granted < need {
		var settled bool
		if settled, err = s.reclaimGrants(ctx, id); settled {
			record.Grant = s.newGrantID()
			granted, err = s.requestGrant(ctx, record)
		}
	}
	if err != nil {
		// The record may still take effect; its end makes that harmless.
		s.appendAsync(spend.Record{Program: id, Grant: record.Grant, End: true})
		return errors.Wrap(errBudgetUnknown, err.Error())
	}
	if granted < need {
		return errBudgetSpent
	}
	program.mu.Lock()
	defer program.mu.Unlock()
	if program.closed {
		s.appendAsync(spend.Record{Program: id, Grant: record.Grant, End: true})
		return nil
	}
	program.hold.Add(record.Grant, granted)
	return nil
}

// newGrant returns an identifier that begins with this process's lifetime.
func (s *budgetStore) newGrantID() string {
	return s.incarnation + grantSeparator + strconv.FormatUint(s.sequence.Add(1), 36)
}

// collect asks the gateways that hold grants of a program to give back what they do
// not use. It reports whether one did, and fails with errHolderUnknown
// when none did and one of them may come to be known.
func (s *budgetStore) reclaimGrants(ctx context.Context, id spool.ProgramID) (settled bool, err error) {
	holders := map[string]bool{}
	for _, grant := range s.ledgerOf(id).Open(id) {
		incarnation, _, _ := strings.Cut(grant, grantSeparator)
		if incarnation != s.incarnation {
			holders[incarnation] = true
		}
	}
	results := make(chan error, len(holders))
	for incarnation := range holders {
		go func() { results <- s.requestSettle(ctx, incarnation, id) }()
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
func (s *budgetStore) isSpent(id spool.ProgramID, need, budget int64) bool {
	ledger := s.ledgerOf(id)
	return ledger.Total(id)+need > budget && len(ledger.Open(id)) == 0
}

// seen reports whether this gateway has heard of a turn of the program.
func (s *budgetStore) hasSeen(id spool.ProgramID) bool {
	s.mu.Lock()
	held := s.programs[id] != nil
	s.mu.Unlock()
	return held || s.ledgerOf(id).Known(id)
}

// known reports whether a turn of the program has run before, here or elsewhere.
func (s *budgetStore) hasRun(ctx context.Context, id spool.ProgramID) bool {
	if s.hasSeen(id) {
		return true
	}
	ledger := s.ledgerOf(id)
	ctx, cancel := context.WithTimeout(ctx, programLookupTimeout.Duration())
	defer cancel()
	// A read from the next offset on shows whether there is more; an unreachable
	// store leaves the question open and the program counts as new.
	_ = s.catchUp(ctx, ledger, ledger.Next()+1)
	return ledger.Known(id)
}

// ask appends the request of a grant and reads the ledger up to it.
func (s *budgetStore) requestGrant(ctx context.Context, record spend.Record) (granted int64, err error) {
	ledger := s.ledgerOf(record.Program)
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
		next := ledger.Next()
		if err := s.catchUp(ctx, ledger, offset+1); err != nil {
			return 0, err
		}
		if ledger.Next() == next && !clock.Pause(ctx, appendRetryDelay) {
			// The read was behind the append.
			return 0, context.Cause(ctx)
		}
	}
}

// catchUp reads the ledger's partition up to an offset.
func (s *budgetStore) catchUp(ctx context.Context, ledger *budgetLedger, until int64) error {
	ledger.readMu.Lock()
	defer ledger.readMu.Unlock()
	for ledger.Next() < until {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
		page, err := s.store.Read(callCtx, ledger.partition, ledger.Next(), 0)
		cancel()
		switch {
		case errors.Is(err, spool.ErrTrimmed) && page.First > ledger.Next():
			ledger.Skip(page.First)
		case err != nil:
			clock.Pause(ctx, appendRetryDelay)
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
func (s *budgetStore) appendAsync(record spend.Record) {
	ctx, cancel := context.WithTimeout(s.ctx, grantEndTimeout.Duration())
	context.AfterFunc(ctx, cancel)
	s.ledgerOf(record.Program).appender.appendDeferred(ctx, record.Encode())
}

// release returns the grants of programs that have run no turn for a time.
func (s *budgetStore) releaseIdle(idle clock.Millis) {
	now := s.clock.Now()
	var ends []spend.Record
	s.mu.Lock()
	for id, program := range s.programs {
		if records, closed := program.closeIfIdle(now, idle, spend.Record{Program: id}); closed {
			ends = append(ends, records...)
			delete(s.programs, id)
		}
	}
	s.mu.Unlock()
	for _, end := range ends {
		s.appendAsync(end)
	}
}

// close ends the hold when no turn has run for a time and no grant is asked for.
func (p *programGrants) closeIfIdle(now, idle clock.Millis, record spend.Record) (ends []spend.Record, closed bool) {
	if !p.requestMu.TryLock() {
		return nil, false
	}
	defer p.requestMu.Unlock()
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
	appender := s.ledgerOf(id).appender
	for _, end := range ends {
		if _, err := appender.append(ctx, end.Encode()); err != nil {
			return err
		}
	}
	return nil
}

// flush returns all grants and waits until that is durable or ctx ends.
func (s *budgetStore) flush(ctx context.Context) {
	s.releaseIdle(0)
	for _, ledger := range s.ledgers {
		ledger.appender.drain(ctx)
	}
}

func (s *budgetStore) expire(now clock.Millis) {
	for _, ledger := range s.ledgers {
		ledger.Expire(now)
	}
}
