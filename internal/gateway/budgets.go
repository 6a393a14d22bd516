package gateway

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of program budgets.
var (
	// errBudgetSpent means that the remaining budget does not cover the tokens that the
	// turn may generate.
	errBudgetSpent = errors.New("token budget of the program is spent")
	// errBudgetUnknown means that the remaining budget could not be determined, because
	// the store or the holder of a grant was not reached.
	errBudgetUnknown = errors.New("remaining token budget of the program is not known")
	// errHolderUnknown means that a gateway holds a grant but its address is not known
	// yet.
	errHolderUnknown = errors.New("address of a grant holder is not known yet")
)

const (
	// turnsPerGrant is the number of turns for which a gateway requests tokens in one
	// grant. A higher number means fewer requests to the store, a lower number leaves
	// more of the budget to other gateways.
	turnsPerGrant = 3
	// grantIdleTimeout is the time without a turn after which a gateway returns its
	// grants. A program that another gateway has refused retries about one second after
	// the refusal; the returned tokens must be in the log before that retry.
	grantIdleTimeout = 600 * clock.Millis(1)
	// releaseInterval is the time between two searches for grants that have been idle
	// for grantIdleTimeout.
	releaseInterval = 250 * clock.Millis(1)
	// logGrantTimeout bounds the wait for a grant from the log. After it, the tokens
	// are requested from the reserve. A slow store answers within it.
	logGrantTimeout = 500 * clock.Millis(1)
	// grantSeparator separates the incarnation from the sequence number in the
	// identifier of a grant.
	grantSeparator = "."
	// methodReturnGrants asks a gateway to return the tokens of a program's grants that its
	// turns neither have used nor may still use. The name "gateway.settle" is kept on the
	// wire.
	methodReturnGrants = "gateway.settle"
)

type grantReturnRequest struct {
	Program spool.ProgramID `json:"program"`
}

// handlers returns the wire handlers for calls from other gateways.
func (s *budgetStore) handlers() wire.Mux {
	handlers := s.log.handlers()
	handlers[methodReturnGrants] = wire.Handle(func(ctx context.Context, request grantReturnRequest, _ wire.Send) (any, error) {
		return struct{}{}, s.returnGrants(ctx, request.Program)
	})
	return handlers
}

// budgetStore obtains and returns the grants of the programs whose turns this gateway
// runs.
type budgetStore struct {
	health      *storeHealth
	clock       clock.Clock
	incarnation string
	log         *grantLog
	// requestGrantReturn sends methodReturnGrants to the gateway with the given
	// incarnation.
	requestGrantReturn func(ctx context.Context, incarnation string, id spool.ProgramID) error
	// reserve provides tokens when the log has neither granted them within
	// logGrantTimeout nor reported the budget as spent.
	reserve *reserveClient
	// sequence is the number of the last grant that this process requested.
	sequence atomic.Uint64

	mu sync.Mutex
	// programs holds the grants of each program for which this gateway holds or
	// requests any.
	programs map[spool.ProgramID]*programGrants
	// ending holds the programs whose grants were released. The channel is closed when the
	// records that return the unused tokens are durable; the entry is removed then.
	ending map[spool.ProgramID]<-chan struct{}
}

// programGrants holds the grants of one program at this gateway.
type programGrants struct {
	// request is held while a grant is requested. Concurrent turns wait for it and then
	// use the new grant, instead of sending their own request. A turn stops waiting when
	// its time is over.
	request *semaphore.Weighted
	// mu guards hold and closed. closed is set when the grants have been returned;
	// turns then need a new programGrants.
	mu     sync.Mutex
	hold   spend.Hold
	closed bool
}

func newBudgetStore(ctx context.Context, log *grantLog, health *storeHealth, systemClock clock.Clock, incarnation string, requestGrantReturn func(ctx context.Context, incarnation string, id spool.ProgramID) error, reserve *reserveClient) *budgetStore {
	s := &budgetStore{
		requestGrantReturn: requestGrantReturn, reserve: reserve, log: log, health: health, clock: systemClock, incarnation: incarnation, programs: map[spool.ProgramID]*programGrants{},
		ending: map[spool.ProgramID]<-chan struct{}{},
	}
	go func() {
		for clock.Pause(ctx, releaseInterval) {
			s.releaseIdle()
		}
	}()
	return s
}

// allocateFromLog allocates tokens to a turn from the grants of this gateway, and requests
// another grant if they do not suffice.
func (s *budgetStore) allocateFromLog(ctx context.Context, id spool.ProgramID, tokens, budget int64) (grants *programGrants, err error) {
	ctx, cancel := context.WithTimeout(ctx, logGrantTimeout.Duration())
	defer cancel()
	for {
		grants := s.grantsOf(id)
		if grants.allocate(s.clock.Now(), tokens) {
			return grants, nil
		}
		if err := s.ensureGrant(ctx, id, grants, tokens, spend.Granted(budget)); err != nil {
			return nil, err
		}
	}
}

// grantsOf returns the grants of a program; it creates an empty set if there is none.
func (s *budgetStore) grantsOf(id spool.ProgramID) *programGrants {
	s.mu.Lock()
	defer s.mu.Unlock()
	grants := s.programs[id]
	if grants == nil {
		grants = &programGrants{request: semaphore.NewWeighted(1)}
		s.programs[id] = grants
	}
	return grants
}

// allocate reserves maxTokens for a turn. It returns false if the grants do not cover
// them or have been returned.
func (g *programGrants) allocate(now clock.Millis, maxTokens int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed && g.hold.BeginTurn(now, maxTokens)
}

// release ends the allocation of a turn that has generated used of its maxTokens.
func (g *programGrants) release(now clock.Millis, maxTokens, used int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold.EndTurn(now, maxTokens, used)
}

// shortfall returns how many more tokens a turn needs; 0 if the grants suffice.
func (g *programGrants) shortfall(maxTokens int64) (tokens int64, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hold.Shortfall(maxTokens), g.closed
}

// ensureGrant requests another grant from the log, unless a concurrent turn has
// obtained a sufficient one or the grants were closed; the caller then tries to
// allocate again. If the request grants too little, it asks other gateways to return
// unused tokens and requests once more. budget is the part of the program's budget that
// the log grants.
func (s *budgetStore) ensureGrant(ctx context.Context, id spool.ProgramID, grants *programGrants, maxTokens, budget int64) error {
	if err := grants.request.Acquire(ctx, 1); err != nil {
		return errors.Wrap(errBudgetUnknown, "another turn of the program waits for a grant")
	}
	defer grants.request.Release(1)
	need, closed := grants.shortfall(maxTokens)
	if need == 0 || closed {
		return nil
	}
	if s.health.isUnavailable() {
		return errors.Wrap(errBudgetUnknown, errPartitionUnavailable.Error())
	}
	record := spend.Record{
		Program: id, Grant: s.newGrantID(),
		Need: need, Want: max(need, turnsPerGrant*maxTokens), Budget: budget,
	}
	result, err := s.log.request(ctx, record)
	var unreached error
	if err == nil && result.Granted < need && !result.Spent {
		var returned bool
		returned, unreached = s.reclaimGrants(ctx, id, result.OpenGrants)
		// Without open grants, tokens were returned after the request was decided.
		if returned || len(result.OpenGrants) == 0 {
			record.Grant = s.newGrantID()
			result, err = s.log.request(ctx, record)
		}
	}
	if err != nil {
		// The store may still execute the request. The end record then returns the
		// whole grant.
		s.log.end([]spend.Record{{Program: id, Grant: record.Grant, End: true}})
		return errors.Wrap(errBudgetUnknown, err.Error())
	}
	switch {
	case result.Granted < need && unreached != nil:
		return errors.Wrap(errBudgetUnknown, unreached.Error())
	case result.Granted < need:
		return errBudgetSpent
	}
	grants.mu.Lock()
	defer grants.mu.Unlock()
	if grants.closed {
		s.log.end([]spend.Record{{Program: id, Grant: record.Grant, End: true}})
		return nil
	}
	grants.hold.AddGrant(record.Grant, result.Granted)
	return nil
}

// newGrantID returns a unique identifier that starts with the incarnation of this
// process. Other gateways use that part to find the holder of the grant.
func (s *budgetStore) newGrantID() string {
	return s.incarnation + grantSeparator + strconv.FormatUint(s.sequence.Add(1), 36)
}

// reclaimGrants asks the other gateways that hold openGrants of a program to return the
// unused tokens. returned reports whether at least one has done so. unreached is why
// another one could not be asked although it may still hold tokens: its address may
// still become known, or it did not answer. It is nil for a holder that has ended, whose
// tokens are lost.
func (s *budgetStore) reclaimGrants(ctx context.Context, id spool.ProgramID, openGrants []string) (returned bool, unreached error) {
	holders := map[string]bool{}
	for _, grant := range openGrants {
		incarnation, _, _ := strings.Cut(grant, grantSeparator)
		if incarnation != s.incarnation {
			holders[incarnation] = true
		}
	}
	results := make(chan error, len(holders))
	for incarnation := range holders {
		go func() { results <- s.requestGrantReturn(ctx, incarnation, id) }()
	}
	for range holders {
		switch result := <-results; {
		case result == nil:
			returned = true
		case !hasHolderEnded(result):
			unreached = result
		}
	}
	return returned, unreached
}

// hasHolderEnded reports whether the error of a call to the holder of a grant means that
// its process has ended: no gateway has its incarnation, or its address refuses
// connections.
func hasHolderEnded(err error) bool {
	return errors.Is(err, errNoPeer) || errors.Is(err, unix.ECONNREFUSED)
}

// hasSeen reports whether this gateway holds or requests grants of the program or has
// read a record of it. It does not access the store.
func (s *budgetStore) hasSeen(id spool.ProgramID) bool {
	s.mu.Lock()
	held := s.programs[id] != nil
	s.mu.Unlock()
	return held || s.log.ledgerOf(id).Known(id)
}

// hasRun reports whether a turn of the program has requested a grant before, at this or
// another gateway. It asks the home of the program's records if this gateway knows
// nothing of the program. It also returns false if that fails.
func (s *budgetStore) hasRun(ctx context.Context, id spool.ProgramID) bool {
	return s.hasSeen(id) || s.log.knows(ctx, id)
}

// releaseIdle returns the unused tokens of programs that have run no turn for
// grantIdleTimeout. It does not wait for the writes.
func (s *budgetStore) releaseIdle() {
	written := make(chan struct{})
	ends := s.closeIdle(grantIdleTimeout, written)
	if len(ends) == 0 {
		return
	}
	go func() {
		<-s.log.end(ends)
		s.mu.Lock()
		maps.DeleteFunc(s.ending, func(_ spool.ProgramID, other <-chan struct{}) bool { return other == written })
		s.mu.Unlock()
		close(written)
	}()
}

// closeIdle removes the programs that have run no turn for at least idle from
// s.programs. It returns the records that return their unused tokens, which the caller
// must write before it closes written.
func (s *budgetStore) closeIdle(idle clock.Millis, written <-chan struct{}) (ends []spend.Record) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, grants := range s.programs {
		records, closed := grants.closeIfIdle(now, idle, spend.Record{Program: id})
		if !closed {
			continue
		}
		delete(s.programs, id)
		if len(records) > 0 {
			ends = append(ends, records...)
			s.ending[id] = written
		}
	}
	return ends
}

// closeIfIdle closes the grants and returns the records that end them. If a turn has
// run within the time idle or a grant is being requested, it does nothing and closed is
// false. record supplies the program.
func (g *programGrants) closeIfIdle(now, idle clock.Millis, record spend.Record) (ends []spend.Record, closed bool) {
	if !g.request.TryAcquire(1) {
		return nil, false
	}
	defer g.request.Release(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hold.Idle(now, idle) {
		return nil, false
	}
	g.closed = true
	return g.hold.ReturnUnused(record), true
}

// returnGrants returns the tokens of a program that its turns at this gateway neither
// have used nor may still use, so that another gateway can obtain them. It waits until
// the records are durable.
func (s *budgetStore) returnGrants(ctx context.Context, id spool.ProgramID) error {
	s.mu.Lock()
	grants, ending := s.programs[id], s.ending[id]
	s.mu.Unlock()
	if ending != nil {
		select {
		case <-ending:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if grants == nil {
		return nil
	}
	grants.mu.Lock()
	ends := grants.hold.ReturnUnused(spend.Record{Program: id})
	grants.mu.Unlock()
	return s.log.write(ctx, ends)
}

// flush returns the grants of all programs without a running turn, and waits until the
// records are durable or ctx ends.
func (s *budgetStore) flush(ctx context.Context) {
	written := make(chan struct{})
	defer close(written)
	s.log.endLocally(s.closeIdle(0, written))
	s.log.drain(ctx)
}

// expire removes the programs without a recent record from the ledgers.
func (s *budgetStore) expire(now clock.Millis) { s.log.expire(now) }
