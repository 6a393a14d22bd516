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
	toleranceShare = 0.5
	// viewFor is how long a gateway uses its static part without news from the store.
	viewTimeout = 20 * clock.Second
	// viewMember is how long a gateway without a new record keeps its static part in
	// the view of the others. It exceeds viewFor, so that a part is given to others
	// only when its holder has lost it.
	memberViewTimeout = 30 * clock.Second
	// growAfter is the time from a change to the growth of a part; every gateway that
	// reaches the store has learned of the change by then.
	shareGrowDelay = 2500 * clock.Millis(1)
	// holdForToken bounds the time for which a request waits for a token that is on
	// its way.
	maxTokenWait = 45 * clock.Millis(1)
	// retryShort is the shortest time after which a request over the limit is asked to
	// come back. The tokens of a moment are taken by those that wait; callers come
	// back once or twice only.
	minRetryAfter = 300 * clock.Millis(1)
	// silentPeer is the time after which a connection to another gateway that
	// answers nothing is replaced; it is asked every pingPeer.
	peerSilenceTimeout = 600 * clock.Millis(1)
	peerPingInterval   = 250 * clock.Millis(1)
)

// limiter keeps the rate and burst of each client account over all gateways.
type limiter struct {
	manager *quota.Manager
	owner   *poolOwner

	clock clock.Clock
	// tolerance is how requests over the limits are counted.
	tolerance spool.LimitTolerance

	shortages *shortageTracker

	mu sync.Mutex
	// limited holds the accounts with a limit.
	limitConfigs map[spool.AccountID]limit.Config
}

func limitTiming() limit.Timing {
	timing := limit.DefaultTiming()
	timing.Authority = ownerAuthority
	timing.View = viewTimeout
	timing.Grow = shareGrowDelay
	timing.MinHold, timing.MaxHold = maxTokenWait, maxTokenWait
	return timing
}

func newLimiter(settings spool.GatewaySettings, owner *poolOwner, bootClock clock.Clock, stateAge func() clock.Millis, clients *wire.Clients, t *telemetry.Telemetry) *limiter {
	shortages := newShortageTracker(bootClock)
	config := quota.Config{
		Node: settings.Node, StreamCount: 1, Timing: limitTiming(), Lost: owner.recordLost, Answered: owner.recordAnswer,
		Short: shortages.record,
	}
	l := &limiter{
		manager: quota.New(config, bootClock, stateAge, owner, clients, t),
		owner:   owner, clock: bootClock, tolerance: settings.LimitTolerance, shortages: shortages, limitConfigs: map[spool.AccountID]limit.Config{},
	}
	owner.accounts = l.accounts
	return l
}

// accounts returns the accounts with a limit.
func (l *limiter) accounts() (ids []spool.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.limitConfigs {
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
		next[account.ID] = l.limitConfig(account)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, config := range next {
		if l.limitConfigs[id] != config {
			changed[id] = config
		}
	}
	l.limitConfigs = next
	if len(changed) > 0 {
		l.manager.Observe(quota.Version{Limits: maps.Clone(changed)})
	}
}

// configOf returns the limit of an account. The burst is raised within the tolerance
// in which requests are counted, by no more than what leases keep out of the pool.
func (l *limiter) limitConfig(account catalog.Account) limit.Config {
	seconds := float64(l.tolerance.Window) / float64(clock.Second)
	tolerated := l.tolerance.Over*(account.Rate*seconds+account.Burst) + l.tolerance.Slack
	burst := account.Burst + min(account.Burst/3, toleranceShare*tolerated)
	return limit.Config{Rate: account.Rate, Burst: max(1, burst), StaticShare: staticShare}
}

// view takes the gateways that divide the static parts in.
func (l *limiter) setMembers(members []spool.NodeID, resumed, skipped bool) {
	l.manager.Observe(quota.Version{Members: members, Resumed: resumed, Skipped: skipped})
}

// admit takes one request of an account. starting returns the program that the
// request begins, if it does; it is asked only while the account is short of tokens.
// admit fails with a *spool.Refusal, which comes with errNoStart when the program may
// not begin.
func (l *limiter) admit(ctx context.Context, id spool.AccountID, class limit.Class, starting func() (limit.Start, bool)) error {
	l.mu.Lock()
	_, limited := l.limitConfigs[id]
	l.mu.Unlock()
	if !limited {
		return nil
	}
	if class == limit.ClassStart && l.shortages.isShort(id) {
		if start, ok := starting(); ok {
			if err := l.manager.Start(ctx, id, start); err != nil {
				return startRefusal{refusal: err}
			}
		}
		class = limit.ClassCall
	}
	err := l.manager.Take(ctx, id, class)
	if err != nil {
		l.shortages.record(id)
	}
	return err
}

// errNoStart means that a program may not begin while its account is over its rate.
var errStartRefused = errors.New("program does not begin")

// startRefused is a refusal of a program's start.
type startRefusal struct{ refusal error }

func (e startRefusal) Error() string { return errStartRefused.Error() + ": " + e.refusal.Error() }

func (e startRefusal) Unwrap() []error { return []error{errStartRefused, e.refusal} }

// refuseOverLimit returns the answer to a request that admit has refused.
func overLimitRefusal(err error) refusal {
	over := refusalFor(reasonOverLimit)
	if errors.Is(err, errStartRefused) {
		over = refusalFor(reasonStartOverLimit)
	}
	over.retryAfter = retryEndpoint
	var refusal *spool.Refusal
	if errors.As(err, &refusal) {
		over.retryAfter = max(minRetryAfter, refusal.RetryAfter)
	}
	return over
}

func logStopError(log *zap.Logger, part string, err error) {
	if err != nil {
		log.Warn("part did not stop cleanly", zap.String("part", part), zap.Error(err))
	}
}
