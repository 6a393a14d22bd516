package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// shortFor is how long an account counts as short of tokens after a refusal.
	shortageDuration = 8 * clock.Second
	// requestsPerProgram is how many requests a program is expected to send whose
	// budget does not tell.
	requestsPerProgram = 20.0
	// requestsPerTurn are a turn and the calls of tools that follow it.
	requestsPerTurn = 2.2
	// budgetMargin is how much larger than the most of all its turns a program's
	// budget is made by its caller.
	budgetMargin = 1.5
)

// shortAccounts are the accounts that have lately sent more than their limits. While
// an account is short, a program of it begins only when its owner expects to serve it
// whole. It is safe for concurrent use.
type shortageTracker struct {
	clock clock.Clock

	mu sync.Mutex
	// at is when an account was last found short.
	lastAt map[spool.AccountID]clock.Millis
}

func newShortageTracker(source clock.Clock) *shortageTracker {
	return &shortageTracker{clock: source, lastAt: map[spool.AccountID]clock.Millis{}}
}

func (s *shortageTracker) record(id spool.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAt[id] = s.clock.Now()
}

func (s *shortageTracker) isShort(id spool.AccountID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastAt[id]
	return ok && s.clock.Now()-at < shortageDuration
}

// startOf returns what a program asks for by its first turn.
func startRequest(call spool.GatewayCall) limit.Start {
	start := limit.Start{Program: call.Program, Requests: requestsPerProgram, FinishIn: call.FinishIn}
	if call.TokenBudget > 0 && call.MaxOutputTokens > 0 {
		turns := float64(call.TokenBudget) / float64(call.MaxOutputTokens) / budgetMargin
		start.Requests = requestsPerTurn * max(1, turns)
	}
	return start
}
