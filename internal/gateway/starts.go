package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// shortageDuration is how long an account counts as short of tokens after a
	// refusal.
	shortageDuration = 8 * clock.Second
	// requestsPerProgram is the number of requests expected of a program whose budget
	// gives no estimate.
	requestsPerProgram = 20.0
	// requestsPerTurn is the number of requests expected per turn: the turn itself and
	// the tool calls after it.
	requestsPerTurn = 2.2
	// budgetMargin is the ratio at which callers set a program's budget above the sum
	// of the output limits of its turns.
	budgetMargin = 1.5
)

// shortageTracker tracks the accounts that have recently exceeded their limits. While
// an account is short of tokens, a new program may begin only if the owner of the
// pools expects to serve all of its requests. It is safe for concurrent use.
type shortageTracker struct {
	bootClock clock.Clock

	mu sync.Mutex
	// lastAt holds when an account was last found to be short.
	lastAt map[spool.AccountID]clock.Millis
}

func newShortageTracker(bootClock clock.Clock) *shortageTracker {
	return &shortageTracker{bootClock: bootClock, lastAt: map[spool.AccountID]clock.Millis{}}
}

func (s *shortageTracker) markShort(id spool.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAt[id] = s.bootClock.Now()
}

func (s *shortageTracker) isShort(id spool.AccountID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastAt[id]
	return ok && s.bootClock.Now()-at < shortageDuration
}

// programStart returns the expected demand of a program, estimated from its first
// turn.
func programStart(call spool.GatewayCall) limit.StartRequest {
	start := limit.StartRequest{Program: call.Program, Requests: requestsPerProgram, FinishIn: call.FinishIn}
	if call.TokenBudget > 0 && call.MaxOutputTokens > 0 {
		turns := float64(call.TokenBudget) / float64(call.MaxOutputTokens) / budgetMargin
		start.Requests = requestsPerTurn * max(1, turns)
	}
	return start
}
