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
	// staticShare is the share of each limit that is split evenly over the gateways.
	// The owner of the pools leases out the rest. The static share serves requests
	// while the owner is unavailable. A larger share would be left unused more often,
	// because the requests of an account arrive unevenly.
	staticShare = 0.25
	// toleranceShare is the share of the counting tolerance that is added to the
	// burst. It compensates for the tokens that leases keep out of the pool's burst.
	toleranceShare = 0.5
	// viewTimeout is how long a gateway uses its static part without news from the
	// store.
	viewTimeout = 20 * clock.Second
	// memberViewTimeout is how long a gateway without a new record still counts as a
	// member in the view of the others. It exceeds viewTimeout, so that a static part
	// is given to others only after its holder has stopped using it.
	memberViewTimeout = 30 * clock.Second
	// shareGrowDelay is the delay between a membership change and the growth of a
	// static part. By then every gateway that reaches the store has learned of the
	// change.
	shareGrowDelay = 2500 * clock.Millis(1)
	// maxTokenWait bounds how long a request waits for a token that is about to
	// arrive.
	maxTokenWait = 45 * clock.Millis(1)
	// minRetryAfter is the shortest retry delay given to a request over the limit.
	// Waiting requests take the tokens that become free at once, and callers retry
	// only once or twice.
	minRetryAfter = 300 * clock.Millis(1)
	// peerSilenceTimeout is the time after which a connection to another gateway that
	// answers nothing is replaced. The connection is pinged every peerPingInterval.
	peerSilenceTimeout = 600 * clock.Millis(1)
	peerPingInterval   = 250 * clock.Millis(1)
)

// limiter enforces the rate and burst of each client account across all gateways.
type limiter struct {
	manager *quota.Manager
	owner   *poolOwner

	bootClock clock.Clock
	// tolerance describes how requests over the limits are counted.
	tolerance spool.LimitTolerance

	shortages *shortageTracker

	mu sync.Mutex
	// limitConfigs holds the limits of the accounts that have one.
	limitConfigs map[spool.AccountID]limit.Config
}

func limitTiming() limit.Timing {
	timing := limit.DefaultTiming()
	timing.Authority = ownerAuthority
	timing.View = viewTimeout
	timing.GrowthDelay = shareGrowDelay
	timing.MinQueueWait, timing.MaxQueueWait = maxTokenWait, maxTokenWait
	return timing
}

func newLimiter(settings spool.GatewaySettings, owner *poolOwner, bootClock clock.Clock, stateAge func() clock.Millis, clients *wire.Clients, t *telemetry.Telemetry) *limiter {
	shortages := newShortageTracker(bootClock)
	config := quota.Config{
		Node: settings.Node, StreamCount: 1, Timing: limitTiming(), OnOwnerLost: owner.recordLost, OnOwnerAnswered: owner.recordAnswer,
		OnShortGrant: shortages.markShort,
	}
	l := &limiter{
		manager: quota.New(config, bootClock, stateAge, owner, clients, t),
		owner:   owner, bootClock: bootClock, tolerance: settings.LimitTolerance, shortages: shortages, limitConfigs: map[spool.AccountID]limit.Config{},
	}
	owner.accounts = l.accounts
	return l
}

// accounts returns the accounts that have a limit.
func (l *limiter) accounts() (ids []spool.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.limitConfigs {
		ids = append(ids, id)
	}
	return ids
}

// configure applies the account limits of a configuration.
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

// limitConfig returns the limit of an account. It raises the burst within the counting
// tolerance, by no more than the tokens that leases keep out of the pool.
func (l *limiter) limitConfig(account catalog.Account) limit.Config {
	seconds := float64(l.tolerance.Window) / float64(clock.Second)
	tolerated := l.tolerance.Over*(account.Rate*seconds+account.Burst) + l.tolerance.Slack
	burst := account.Burst + min(account.Burst/3, toleranceShare*tolerated)
	return limit.Config{Rate: account.Rate, Burst: max(1, burst), StaticShare: staticShare}
}

// setMembers sets the gateways over which the static parts are split.
func (l *limiter) setMembers(members []spool.NodeID, resumed, skipped bool) {
	l.manager.Observe(quota.Version{Members: members, Resumed: resumed, Skipped: skipped})
}

// admit admits one request of an account. startingProgram returns the program that the
// request begins, if it begins one; it is called only while the account is short of
// tokens. admit fails with a *spool.Refusal, which is wrapped with errStartRefused if
// the program may not begin.
func (l *limiter) admit(ctx context.Context, id spool.AccountID, class limit.Class, startingProgram func() (limit.StartRequest, bool)) error {
	l.mu.Lock()
	_, limited := l.limitConfigs[id]
	l.mu.Unlock()
	if !limited {
		return nil
	}
	if class == limit.ClassStart && l.shortages.isShort(id) {
		if start, ok := startingProgram(); ok {
			if err := l.manager.AdmitStart(ctx, id, start); err != nil {
				return startRefusal{refusal: err}
			}
		}
		class = limit.ClassCall
	}
	err := l.manager.Admit(ctx, id, class)
	if err != nil {
		l.shortages.markShort(id)
	}
	return err
}

// errStartRefused means that a program may not begin while its account is over its
// rate.
var errStartRefused = errors.New("program start was refused")

// startRefusal is the refusal of a program start.
type startRefusal struct{ refusal error }

func (e startRefusal) Error() string { return errStartRefused.Error() + ": " + e.refusal.Error() }

func (e startRefusal) Unwrap() []error { return []error{errStartRefused, e.refusal} }

// overLimitRefusal returns the answer to a request that admit has refused.
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
		log.Warn("component did not stop cleanly", zap.String("part", part), zap.Error(err))
	}
}
