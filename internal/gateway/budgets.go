package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// errBudgetSpent means that the program's budget does not hold another turn.
var errBudgetSpent = errors.New("budget of the program is spent")

const (
	// settleDelay is the time in which corrections wait for others.
	settleDelay = 150 * clock.Millis(1)
	// settleTimeout bounds the tries of a correction. A lost one leaves the turn
	// counted with its most.
	settleTimeout = 20 * clock.Second
)

// budgetStore reserves and settles the tokens of turns. The ledger of a program is
// the partition of its identifier.
type budgetStore struct {
	ctx     context.Context
	store   spool.Store
	clock   clock.Clock
	ledgers []*budgetLedger
}

type budgetLedger struct {
	*spend.Ledger
	partition spool.Partition
	appender  *appender
	// reading serialises the reads of the partition.
	reading sync.Mutex
	mu      sync.Mutex
	// unsettled are corrections that wait for the timer.
	unsettled []spend.Entry
}

func newBudgetStore(ctx context.Context, store spool.Store, system clock.Clock, settings spool.GatewaySettings) *budgetStore {
	s := &budgetStore{ctx: ctx, store: store, clock: system}
	for i := range settings.Partitions {
		partition := spool.Partition{Topic: spool.TopicBudgets, Index: i}
		s.ledgers = append(s.ledgers, &budgetLedger{
			Ledger: spend.NewLedger(), partition: partition,
			appender: newAppender(ctx, store, partition, settings.MaxAppendBytes),
		})
	}
	return s
}

func (s *budgetStore) ledger(program spool.ProgramID) *budgetLedger {
	return s.ledgers[xxhash.Sum64String(string(program))%uint64(len(s.ledgers))]
}

// reserve counts a turn with most tokens, durably, and returns errBudgetSpent when
// the budget does not hold them beside what other turns are counted with.
func (s *budgetStore) reserve(ctx context.Context, program spool.ProgramID, turn string, most, budget int64) (err error) {
	defer func() { err = errors.Wrap(err, "reserve tokens") }()
	ledger := s.ledger(program)
	ledger.Await(turn)
	defer ledger.Forget(turn)
	entry := spend.Entry{Program: program, Turn: turn, Tokens: most}
	offset, err := ledger.appender.append(ctx, entry.Encode())
	if err != nil {
		s.settle(program, turn, 0)
		return err
	}
	before, err := s.before(ctx, ledger, turn, offset)
	if err != nil {
		s.settle(program, turn, 0)
		return err
	}
	if before+most > budget {
		s.settle(program, turn, 0)
		return errBudgetSpent
	}
	return nil
}

// before reads the ledger up to the reservation at offset.
func (s *budgetStore) before(ctx context.Context, ledger *budgetLedger, turn string, offset int64) (int64, error) {
	for {
		if tokens, ok := ledger.Before(turn); ok {
			return tokens, nil
		}
		if err := s.catchUp(ctx, ledger, offset+1); err != nil {
			return 0, err
		}
	}
}

// catchUp reads the ledger's partition up to an offset.
func (s *budgetStore) catchUp(ctx context.Context, ledger *budgetLedger, until int64) error {
	ledger.reading.Lock()
	defer ledger.reading.Unlock()
	for ledger.Next() < until {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := s.store.Read(callCtx, ledger.partition, ledger.Next(), 0)
		cancel()
		switch {
		case errors.Is(err, spool.ErrTrimmed) && page.First > ledger.Next():
			ledger.Skip(page.First)
		case err != nil && ctx.Err() != nil:
			return err
		case err != nil:
			clock.Pause(ctx, appendRetry)
		default:
			ledger.Apply(s.clock.Now(), page.From, page.Records)
		}
	}
	return nil
}

// settle corrects the reservation of a turn that has ended.
func (s *budgetStore) settle(program spool.ProgramID, turn string, tokens int64) {
	ledger := s.ledger(program)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.unsettled = append(ledger.unsettled, spend.Entry{Program: program, Turn: turn, Tokens: tokens, Final: true})
	if len(ledger.unsettled) == 1 {
		time.AfterFunc(settleDelay.Duration(), func() { s.writeUnsettled(ledger) })
	}
}

func (s *budgetStore) writeUnsettled(ledger *budgetLedger) {
	ledger.mu.Lock()
	entries := ledger.unsettled
	ledger.unsettled = nil
	ledger.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, settleTimeout.Duration())
	time.AfterFunc(settleTimeout.Duration(), cancel)
	for _, entry := range entries {
		ledger.appender.add(ctx, entry.Encode())
	}
}

// flush writes all corrections that wait.
func (s *budgetStore) flush(ctx context.Context) {
	for _, ledger := range s.ledgers {
		ledger.mu.Lock()
		entries := ledger.unsettled
		ledger.unsettled = nil
		ledger.mu.Unlock()
		for _, entry := range entries {
			if _, err := ledger.appender.append(ctx, entry.Encode()); err != nil {
				return
			}
		}
	}
}

func (s *budgetStore) expire(now clock.Millis) {
	for _, ledger := range s.ledgers {
		ledger.Expire(now)
	}
}
