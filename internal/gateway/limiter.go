package gateway

import (
	"context"
	"maps"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// staticShare is the part of each limit that is divided over the gateways; the
	// rest is lent by the owner of the pools. It serves while the owner is away. The
	// requests of an account arrive unevenly, so a large static part is left unused.
	staticShare = 0.25
	// toleranceUsed is the part of the tolerance in counting that makes up for what
	// the leases keep out of the pool's burst.
	toleranceUsed = 0.5
	// viewFor is how long a gateway uses its static part without news from the store.
	viewFor = 20 * clock.Second
	// viewMember is how long a gateway without a new record keeps its static part in
	// the view of the others. It exceeds viewFor, so that a part is given to others
	// only when its holder has lost it.
	viewMember = 30 * clock.Second
	// growAfter is the time from a change to the growth of a part; every gateway that
	// reaches the store has learned of the change by then.
	growAfter = 2500 * clock.Millis(1)
	// holdForToken bounds the time for which a request waits for a token that is on
	// its way.
	holdForToken = 45 * clock.Millis(1)
	// retryShort is the shortest time after which a request over the limit is asked to
	// come back. The tokens of a moment are taken by those that wait; callers come
	// back once or twice only.
	retryShort = 300 * clock.Millis(1)
	// silentPeer is the time after which a connection to another gateway that
	// answers nothing is replaced; it is asked every pingPeer.
	silentPeer = 600 * clock.Millis(1)
	pingPeer   = 250 * clock.Millis(1)
)

// limiter keeps the rate and burst of each client account over all gateways.
type limiter struct {
	manager *quota.Manager
	owner   *poolOwner

	clock clock.Clock
	// tolerance is how requests over the limits are counted.
	tolerance spool.LimitTolerance

	short *shortAccounts

	mu sync.Mutex
	// limited holds the accounts with a limit.
	limited map[spool.AccountID]limit.Config
}

func limitTiming() limit.Timing {
	timing := limit.DefaultTiming()
	timing.Authority = ownerAuthority
	timing.View = viewFor
	timing.Grow = growAfter
	timing.MinHold, timing.MaxHold = holdForToken, holdForToken
	return timing
}

func newLimiter(settings spool.GatewaySettings, owner *poolOwner, boot clock.Clock, freshFor func() clock.Millis, clients *wire.Clients, t *telemetry.Telemetry) *limiter {
	short := newShortAccounts(boot)
	config := quota.Config{
		Node: settings.Node, StreamCount: 1, Timing: limitTiming(), Lost: owner.lost, Answered: owner.answered,
		Short: short.note,
	}
	l := &limiter{
		manager: quota.New(config, boot, freshFor, owner, clients, t),
		owner:   owner, clock: boot, tolerance: settings.LimitTolerance, short: short, limited: map[spool.AccountID]limit.Config{},
	}
	owner.accounts = l.accounts
	return l
}

// accounts returns the accounts with a limit.
func (l *limiter) accounts() (ids []spool.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.limited {
		ids = append(ids, id)
	}
	return ids
}

// configure takes the accounts of a configuration in.
func (l *limiter) configure(accounts []catalog.Account) {
	changed := map[spool.AccountID]limit.Config{}
	next := map[spool.AccountID]limit.Config{}
	for _, account := range accounts {
		if account.Rate <= 0 {
			continue
		}
		next[account.ID] = l.configOf(account)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, config := range next {
		if l.limited[id] != config {
			changed[id] = config
		}
	}
	l.limited = next
	if len(changed) > 0 {
		l.manager.Observe(quota.Version{Limits: maps.Clone(changed)})
	}
}

// configOf returns the limit of an account. The burst is raised within the tolerance
// in which requests are counted, by no more than what leases keep out of the pool.
func (l *limiter) configOf(account catalog.Account) limit.Config {
	seconds := float64(l.tolerance.Window) / float64(clock.Second)
	tolerated := l.tolerance.Over*(account.Rate*seconds+account.Burst) + l.tolerance.Slack
	burst := account.Burst + min(account.Burst/3, toleranceUsed*tolerated)
	return limit.Config{Rate: account.Rate, Burst: max(1, burst), StaticShare: staticShare}
}

// view takes the gateways that divide the static parts in.
func (l *limiter) view(members []spool.NodeID, resumed, skipped bool) {
	l.manager.Observe(quota.Version{Members: members, Resumed: resumed, Skipped: skipped})
}

// admit takes one request of an account. starting returns the program that the
// request begins, if it does; it is asked only while the account is short of tokens.
// admit fails with a *spool.Refusal, which comes with errNoStart when the program may
// not begin.
func (l *limiter) admit(ctx context.Context, id spool.AccountID, class limit.Class, starting func() (limit.Start, bool)) error {
	l.mu.Lock()
	_, limited := l.limited[id]
	l.mu.Unlock()
	if !limited {
		return nil
	}
	if class == limit.ClassStart && l.short.has(id) {
		if start, ok := starting(); ok {
			if err := l.manager.Start(ctx, id, start); err != nil {
				return startRefused{refusal: err}
			}
		}
		class = limit.ClassCall
	}
	err := l.manager.Take(ctx, id, class)
	if err != nil {
		l.short.note(id)
	}
	return err
}

// errNoStart means that a program may not begin while its account is over its rate.
var errNoStart = errors.New("program does not begin")

// startRefused is a refusal of a program's start.
type startRefused struct{ refusal error }

func (e startRefused) Error() string { return errNoStart.Error() + ": " + e.refusal.Error() }

func (e startRefused) Unwrap() []error { return []error{errNoStart, e.refusal} }

// refuseOverLimit returns the answer to a request that admit has refused.
func refuseOverLimit(err error) refusal {
	over := refuse(reasonOverLimit)
	if errors.Is(err, errNoStart) {
		over = refuse(reasonStartOverLimit)
	}
	over.after = retryEndpoint
	var refusal *spool.Refusal
	if errors.As(err, &refusal) {
		over.after = max(retryShort, refusal.RetryAfter)
	}
	return over
}

func logStop(log *zap.Logger, part string, err error) {
	if err != nil {
		log.Warn("part did not stop cleanly", zap.String("part", part), zap.Error(err))
	}
}
