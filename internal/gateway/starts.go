package gateway

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// shortFor is how long an account counts as short of tokens after a refusal.
	shortFor = 8 * clock.Second
	// requestsPerProgram is how many requests of the limit a program takes from its
	// start to its end.
	requestsPerProgram = 20.0
	// minStartBurst is the smallest burst of starts; with less than two tokens the
	// pool of an account lends none.
	minStartBurst = 4.0
	// startsSuffix follows the account in the name of the limit of its starts.
	startsSuffix = "/starts"
)

// startGate limits how many programs of an account begin while the account is
// short of tokens. A program that is under way needs the tokens that a new one
// would take: serving all of some programs is worth more to callers than a part of
// each.
type startGate struct {
	// refusedAt is when a request of the account was last refused.
	refusedAt map[spool.AccountID]clock.Millis
}

func newStartGate() startGate {
	return startGate{refusedAt: map[spool.AccountID]clock.Millis{}}
}

func startsOf(id spool.AccountID) spool.AccountID { return id + startsSuffix }

// config returns the limit of starts that goes with the limit of an account.
func (g startGate) config(account limit.Config) limit.Config {
	return limit.Config{
		Rate: account.Rate / requestsPerProgram, Burst: max(minStartBurst, account.Burst/requestsPerProgram),
		StaticShare: account.StaticShare,
	}
}

func (g startGate) short(now clock.Millis, id spool.AccountID) bool {
	at, ok := g.refusedAt[id]
	return ok && now-at < shortFor
}

func (g startGate) refused(now clock.Millis, id spool.AccountID) { g.refusedAt[id] = now }
