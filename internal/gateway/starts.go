package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// shortageDuration is how long after its last shortage an account is treated as
	// short of tokens.
	shortageDuration = 8 * clock.Second
	// requestsPerProgram is the number of requests that a program is assumed to send if
	// its first turn names no token budget or no output limit.
	requestsPerProgram = 20.0
	// requestsPerTurn is the number of requests that a program is assumed to send per
	// turn: the turn itself and the tool calls that follow it.
	requestsPerTurn = 2.2
	// budgetMargin is the assumed ratio of a program's token budget to the sum of the
	// output limits of its turns. Callers set the budget above that sum.
	budgetMargin = 1.5
)

// shortageTracker records when each account was last short of tokens. An account counts
// as short for shortageDuration after the owner granted this gateway fewer tokens than it
// requested. An owner that does not answer, or may not grant yet, does not make an account
// short: its programs would be refused for seconds after each change of owner. While an
// account is short, a new program may begin only if the owner of the pools expects to
// serve all of its requests; see limiter.admit. It is safe for concurrent use.
type shortageTracker struct {
	bootClock clock.Clock

	mu sync.Mutex
	// lastAt holds the time of the last shortage of each account.
	lastAt map[spool.AccountID]clock.Millis
}

func newShortageTracker(bootClock clock.Clock) *shortageTracker {
	return &shortageTracker{bootClock: bootClock, lastAt: map[spool.AccountID]clock.Millis{}}
}

// markShort records that an account is short of tokens now.
func (s *shortageTracker) markShort(id spool.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAt[id] = s.bootClock.Now()
}

// isShort reports whether the last shortage of an account is less than shortageDuration
// ago.
func (s *shortageTracker) isShort(id spool.AccountID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastAt[id]
	return ok && s.bootClock.Now()-at < shortageDuration
}

// programStart returns the number of requests that a program is expected to send,
// estimated from the token budget and the output limit of its first turn.
func programStart(call spool.GatewayCall) limit.StartRequest {
	return limit.StartRequest{Program: call.Program, Requests: requestsPerTurn * expectedTurns(call), FinishIn: call.FinishIn}
}

// expectedTurns returns the number of turns that a program is expected to have, estimated as
// for programStart.
func expectedTurns(call spool.GatewayCall) float64 {
	if call.TokenBudget <= 0 || call.MaxOutputTokens <= 0 {
		return requestsPerProgram / requestsPerTurn
	}
	return max(1, float64(call.TokenBudget)/float64(call.MaxOutputTokens)/budgetMargin)
}
