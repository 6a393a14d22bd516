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

// Errors of program budgets.
var (
	// errBudgetSpent means that the remaining budget does not cover another turn.
	errBudgetSpent = errors.New("token budget of the program is spent")
	// errBudgetUnknown means that the remaining budget could not be read from the
	// store.
	errBudgetUnknown = errors.New("remaining token budget of the program is not known")
	// errHolderUnknown means that a gateway holds a grant but its address is not known
	// yet.
	errHolderUnknown = errors.New("address of a grant holder is not known yet")
)

const (
	// turnsPerGrant is the number of turns that a grant is requested for. A higher
	// number means fewer requests to the store, a lower number leaves more of the
	// budget to other gateways.
	turnsPerGrant = 3
	// grantIdleTimeout is the time without a turn after which a gateway returns its
	// grants. A program that another gateway has refused tries again about a second
	// later, and the returned tokens must be known by then.
	grantIdleTimeout = 600 * clock.Millis(1)
	// releaseInterval is the time between two searches for idle grants.
	releaseInterval = 250 * clock.Millis(1)
	// grantEndTimeout bounds the retries of writing the end of a grant. If that record
	// is lost, the whole grant counts as used.
	grantEndTimeout = 20 * clock.Second
	// logGrantTimeout bounds the wait for a grant from the log before the reserve is
	// asked. A slow store answers within it.
	logGrantTimeout = 500 * clock.Millis(1)
	// programLookupTimeout bounds the search for records of a program.
	programLookupTimeout = 150 * clock.Millis(1)
	// maxBudgetPartitions limits the number of partitions, so that more records of a
	// gateway share one append. One partition accepts some hundred appends per second.
	maxBudgetPartitions = 2
	// grantSeparator separates the incarnation from the sequence number in the
	// identifier of a grant.
	grantSeparator = "."
	// methodSettle asks a gateway to return its unused grants of a program.
	methodSettle = "gateway.settle"
)

type settleRequest struct {
	Program spool.ProgramID `json:"program"`
}

// handlers returns the handlers for requests from other gateways.
func (s *budgetStore) handlers() wire.Mux {
	return wire.Mux{
		methodSettle: wire.Handle(func(ctx context.Context, request settleRequest, _ wire.Send) (any, error) {
			return struct{}{}, s.settle(ctx, request.Program)
		}),
	}
}

// budgetStore manages the grants of the programs whose turns this gateway runs. The
// identifier of a program selects the partition that holds its ledger.
type budgetStore struct {
	ctx         context.Context
	store       spool.Store
	health      *storeHealth
	clock       clock.Clock
	incarnation string
	ledgers     []*budgetLedger
	// requestSettle asks the gateway with the given incarnation to return its unused
	// grants of a program.
	requestSettle func(ctx context.Context, incarnation string, id spool.ProgramID) error
	// reserve grants tokens while the log does not.
	reserve *reserveClient
	// sequence numbers the grants of this process.
	sequence atomic.Uint64

	mu sync.Mutex
	// programs holds the programs for which this gateway holds or requests grants.
	programs map[spool.ProgramID]*programGrants
}

type programGrants struct {
	// requestMu is held while a grant is requested, so that concurrent turns send one
	// request.
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
	// readMu serializes the reads of the partition.
	readMu sync.Mutex
}

func newBudgetStore(ctx context.Context, store spool.Store, health *storeHealth, systemClock clock.Clock, settings spool.GatewaySettings, incarnation string, requestSettle func(ctx context.Context, incarnation string, id spool.ProgramID) error, reserve *reserveClient) *budgetStore {
	s := &budgetStore{
		requestSettle: requestSettle, reserve: reserve, ctx: ctx, store: store, health: health, clock: systemClock, incarnation: incarnation, programs: map[spool.ProgramID]*programGrants{},
	}
	for i := range min(settings.Partitions, maxBudgetPartitions) {
		partition := spool.Partition{Topic: spool.TopicBudgets, Index: i}
		s.ledgers = append(s.ledgers, &budgetLedger{
			Ledger: spend.NewLedger(), partition: partition,
			appender: newAppender(ctx, store, partition, settings.MaxAppendBytes, systemClock),
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
	// grants holds the grant that the turn uses; nil if the tokens come from the
	// reserve.
	grants    *programGrants
	maxTokens int64
}

// beginTurn sets aside maxTokens for a turn. It takes them from a grant of the log or,
// while the store is unavailable, from the reserve. It fails with errBudgetSpent or
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

// beginTurnFromLog is beginTurn without the reserve.
func (s *budgetStore) beginTurnFromLog(ctx context.Context, id spool.ProgramID, maxTokens, budget int64) (turn *turnBudget, err error) {
	ctx, cancel := context.WithTimeout(ctx, logGrantTimeout.Duration())
	defer cancel()
	for {
		grants := s.grantsOf(id)
		if grants.allocate(s.clock.Now(), maxTokens) {
			return &turnBudget{store: s, id: id, grants: grants, maxTokens: maxTokens}, nil
		}
		if err := s.ensureGrant(ctx, id, grants, maxTokens, spend.Granted(budget)); err != nil {
			return nil, err
		}
	}
}

func (s *budgetStore) grantsOf(id spool.ProgramID) *programGrants {
	s.mu.Lock()
	defer s.mu.Unlock()
	grants := s.programs[id]
	if grants == nil {
		grants = &programGrants{}
		s.programs[id] = grants
	}
	return grants
}

func (g *programGrants) allocate(now clock.Millis, maxTokens int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed && g.hold.BeginTurn(now, maxTokens)
}

func (g *programGrants) shortfall(maxTokens int64) (tokens int64, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hold.Shortfall(maxTokens), g.closed
}

// endTurn counts the tokens that the turn has generated and releases the others.
func (t *turnBudget) endTurn(used int64) {
	if t.grants == nil {
		t.store.reserve.returnUnused(t.id, t.maxTokens-used)
		return
	}
	t.grants.mu.Lock()
	defer t.grants.mu.Unlock()
	t.grants.hold.EndTurn(t.store.clock.Now(), t.maxTokens, used)
}

// ensureGrant requests another grant from the ledger, unless a concurrent turn has
// obtained one in the meantime.
func (s *budgetStore) ensureGrant(ctx context.Context, id spool.ProgramID, grants *programGrants, maxTokens, budget int64) error {
	grants.requestMu.Lock()
	defer grants.requestMu.Unlock()
	need, closed := grants.shortfall(maxTokens)
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
		// The request may still take effect. The end record cancels it in that case.
		s.appendAsync(spend.Record{Program: id, Grant: record.Grant, End: true})
		return errors.Wrap(errBudgetUnknown, err.Error())
	}
	if granted < need {
		return errBudgetSpent
	}
	grants.mu.Lock()
	defer grants.mu.Unlock()
	if grants.closed {
		s.appendAsync(spend.Record{Program: id, Grant: record.Grant, End: true})
		return nil
	}
	grants.hold.AddGrant(record.Grant, granted)
	return nil
}

// newGrantID returns an identifier that starts with the incarnation of this process.
func (s *budgetStore) newGrantID() string {
	return s.incarnation + grantSeparator + strconv.FormatUint(s.sequence.Add(1), 36)
}

// reclaimGrants asks the gateways that hold grants of a program to return the unused
// tokens. It reports whether at least one did. If none did and the address of a holder
// may still become known, it fails with errHolderUnknown.
func (s *budgetStore) reclaimGrants(ctx context.Context, id spool.ProgramID) (settled bool, err error) {
	holders := map[string]bool{}
	for _, grant := range s.ledgerOf(id).OpenGrants(id) {
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

// isSpent reports whether, according to the ledger, the budget does not cover need
// tokens and no gateway has tokens to return. The total of a program without open
// grants does not decrease.
func (s *budgetStore) isSpent(id spool.ProgramID, need, budget int64) bool {
	ledger := s.ledgerOf(id)
	return ledger.Total(id)+need > budget && len(ledger.OpenGrants(id)) == 0
}

// hasSeen reports whether this gateway knows of a turn of the program.
func (s *budgetStore) hasSeen(id spool.ProgramID) bool {
	s.mu.Lock()
	held := s.programs[id] != nil
	s.mu.Unlock()
	return held || s.ledgerOf(id).Known(id)
}

// hasRun reports whether a turn of the program has run before, on this or another
// gateway.
func (s *budgetStore) hasRun(ctx context.Context, id spool.ProgramID) bool {
	if s.hasSeen(id) {
		return true
	}
	ledger := s.ledgerOf(id)
	ctx, cancel := context.WithTimeout(ctx, programLookupTimeout.Duration())
	defer cancel()
	// Reading past the next offset applies any records that this gateway has not read
	// yet. If the store cannot be reached, the program counts as new.
	_ = s.catchUp(ctx, ledger, ledger.NextOffset()+1)
	return ledger.Known(id)
}

// requestGrant appends a grant request and reads the ledger until the request has been
// applied.
func (s *budgetStore) requestGrant(ctx context.Context, record spend.Record) (granted int64, err error) {
	ledger := s.ledgerOf(record.Program)
	ledger.Await(record.Grant)
	defer ledger.CancelAwait(record.Grant)
	offset, err := ledger.appender.append(ctx, record.Encode())
	if err != nil {
		return 0, err
	}
	for {
		if granted, ok := ledger.Granted(record.Grant); ok {
			return granted, nil
		}
		next := ledger.NextOffset()
		if err := s.catchUp(ctx, ledger, offset+1); err != nil {
			return 0, err
		}
		if ledger.NextOffset() == next && !clock.Pause(ctx, appendRetryDelay) {
			// The read did not return the appended record yet, and ctx ended during
			// the pause.
			return 0, context.Cause(ctx)
		}
	}
}

// catchUp reads the ledger's partition up to the offset until.
func (s *budgetStore) catchUp(ctx context.Context, ledger *budgetLedger, until int64) error {
	ledger.readMu.Lock()
	defer ledger.readMu.Unlock()
	for ledger.NextOffset() < until {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
		page, err := s.store.Read(callCtx, ledger.partition, ledger.NextOffset(), 0)
		cancel()
		switch {
		case errors.Is(err, spool.ErrTrimmed) && page.First > ledger.NextOffset():
			ledger.SkipTo(page.First)
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

// appendAsync queues a record and does not wait for the write. It gives up after
// grantEndTimeout.
func (s *budgetStore) appendAsync(record spend.Record) {
	ctx, cancel := context.WithTimeout(s.ctx, grantEndTimeout.Duration())
	context.AfterFunc(ctx, cancel)
	s.ledgerOf(record.Program).appender.appendDeferred(ctx, record.Encode())
}

// releaseIdle returns the grants of programs that have run no turn for the time idle.
func (s *budgetStore) releaseIdle(idle clock.Millis) {
	now := s.clock.Now()
	var ends []spend.Record
	s.mu.Lock()
	for id, grants := range s.programs {
		if records, closed := grants.closeIfIdle(now, idle, spend.Record{Program: id}); closed {
			ends = append(ends, records...)
			delete(s.programs, id)
		}
	}
	s.mu.Unlock()
	for _, end := range ends {
		s.appendAsync(end)
	}
}

// closeIfIdle closes the hold and returns the records that end its grants, if no turn
// has run for the time idle and no grant is being requested.
func (g *programGrants) closeIfIdle(now, idle clock.Millis, record spend.Record) (ends []spend.Record, closed bool) {
	if !g.requestMu.TryLock() {
		return nil, false
	}
	defer g.requestMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hold.Idle(now, idle) {
		return nil, false
	}
	g.closed = true
	return g.hold.ReturnUnused(record), true
}

// settle returns the grants of a program that its running turns do not need, so that
// another gateway can use them. It returns when that is durable.
func (s *budgetStore) settle(ctx context.Context, id spool.ProgramID) error {
	s.mu.Lock()
	grants := s.programs[id]
	s.mu.Unlock()
	if grants == nil {
		return nil
	}
	grants.mu.Lock()
	ends := grants.hold.ReturnUnused(spend.Record{Program: id})
	grants.mu.Unlock()
	appender := s.ledgerOf(id).appender
	for _, end := range ends {
		if _, err := appender.append(ctx, end.Encode()); err != nil {
			return err
		}
	}
	return nil
}

// flush returns all idle grants and waits until their records are durable or ctx ends.
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
