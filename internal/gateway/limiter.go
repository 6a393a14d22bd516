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
	// staticShare is the size of the static parts, which are split evenly over the
	// gateways, as a fraction of each limit. A static part serves requests while the owner
	// of the pools is unavailable. As far as limit.Tolerant takes them from the pool, a
	// larger fraction would be left unused more often, because the requests of an account
	// arrive unevenly at the gateways.
	staticShare = 0.25
	// viewTimeout is the time without a successful read of the operator topic or of the
	// member topic after which a gateway stops using its static parts.
	viewTimeout = 20 * clock.Second
	// memberViewTimeout is the age of the last record of a gateway at which the other
	// gateways remove it from the members. It exceeds viewTimeout, so that a static
	// part is given to others only after its holder has stopped using it.
	memberViewTimeout = 30 * clock.Second
	// shareGrowDelay is the delay between a membership change and the growth of a
	// static part. Within this delay every gateway that reaches the store has read of
	// the change and reduced its own part.
	shareGrowDelay = 2500 * clock.Millis(1)
	// maxTokenWait bounds how long a request waits for an answer of the owner, and for a
	// token that is about to arrive.
	maxTokenWait = 45 * clock.Millis(1)
	// maxTokenDelay bounds how long a call waits for a token that the owner has granted
	// with a delay. Programs have about that much slack, and a call that is refused twice
	// fails its program.
	maxTokenDelay = 400 * clock.Millis(1)
	// ownerWait bounds how long a request waits for an owner of the pools that is about to
	// grant. After the loss of all gateways the pools have an owner again 0.3 s after the
	// processes have started; a refused request comes back later than that.
	ownerWait = 300 * clock.Millis(1)
	// minRetryAfter is the shortest retry delay that is returned with a refusal over
	// the limit. An earlier retry would find no token, because requests that are
	// already waiting get each new token at once, and callers retry only once or twice.
	minRetryAfter = 300 * clock.Millis(1)
	// peerSilenceTimeout is the time without any data from another gateway after which
	// a connection to it is replaced. The connection is pinged every peerPingInterval.
	peerSilenceTimeout = 600 * clock.Millis(1)
	peerPingInterval   = 250 * clock.Millis(1)
)

// limiter enforces the rate and burst of each client account across all gateways.
type limiter struct {
	manager       *quota.Manager
	poolOwnership *poolOwnership

	bootClock clock.Clock
	// tolerance is by how much an account may exceed its limit.
	tolerance spool.LimitTolerance

	// shortages tracks the accounts that have exceeded their limits recently.
	shortages *shortageTracker

	mu sync.Mutex
	// limitConfigs holds the limits of the accounts that have one. The requests of
	// other accounts are not limited.
	limitConfigs map[spool.AccountID]limit.Config
}

// limitTiming returns the durations for leases, static parts, queues and the authority
// of the owner. They are the same at all gateways.
func limitTiming() limit.Timing {
	timing := limit.DefaultTiming()
	timing.Authority = ownerAuthority
	timing.View = viewTimeout
	timing.GrowthDelay = shareGrowDelay
	timing.MinQueueWait, timing.MaxQueueWait = maxTokenWait, maxTokenWait
	timing.MaxTokenDelay, timing.OwnerWait = maxTokenDelay, ownerWait
	return timing
}

func newLimiter(settings spool.GatewaySettings, ownership *poolOwnership, bootClock clock.Clock, stateAge func() clock.Millis, clients *wire.Clients, t *telemetry.Telemetry) *limiter {
	shortages := newShortageTracker(bootClock)
	config := quota.Config{
		Node: settings.Node, StreamCount: 1, Timing: limitTiming(), OnOwnerLost: ownership.recordLost, OnOwnerAnswered: ownership.recordAnswer,
		OnShortGrant: shortages.markShort,
	}
	l := &limiter{
		manager:       quota.New(config, bootClock, stateAge, ownership, clients, t),
		poolOwnership: ownership, bootClock: bootClock, tolerance: settings.LimitTolerance, shortages: shortages, limitConfigs: map[spool.AccountID]limit.Config{},
	}
	ownership.accounts = l.accounts
	return l
}

// accounts returns the accounts that have a limit, in no order.
func (l *limiter) accounts() (ids []spool.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.limitConfigs {
		ids = append(ids, id)
	}
	return ids
}

// configure applies the limits of all accounts of a configuration. An account with a
// rate of 0 or less has no limit.
func (l *limiter) configure(accounts []catalog.Account) {
	changed := map[spool.AccountID]limit.Config{}
	next := map[spool.AccountID]limit.Config{}
	for _, account := range accounts {
		if account.Rate <= 0 {
			continue
		}
		next[account.ID] = limit.Tolerant(account.Rate, account.Burst, staticShare, l.tolerance)
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

// setMembers sets the gateways over which the static parts are split. resumed reports
// that this gateway may use its static parts at once: it had them before a restart, or
// no process of the deployment has run before. skipped reports that earlier membership
// changes were missed, so that all static parts start from 0.
func (l *limiter) setMembers(members []spool.NodeID, resumed, skipped bool) {
	l.manager.Observe(quota.Version{Members: members, Resumed: resumed, Skipped: skipped})
}

// admit admits one request of an account, or waits up to maxTokenWait for a token.
// While the account is short of tokens, the first request of a program
// (limit.ClassStart) must also pass the check whether the program may begin, and is
// then treated as limit.ClassCall. startingProgram returns that program; its second
// result is false if the program has already begun. admit fails with a *spool.Refusal,
// which is wrapped with errStartRefused if the program may not begin.
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
	return l.manager.Admit(ctx, id, class)
}

// errStartRefused means that a program may not begin because its account is short of
// tokens.
var errStartRefused = errors.New("program start was refused")

// startRefusal wraps the refusal of a program start so that errors.Is finds
// errStartRefused.
type startRefusal struct{ refusal error }

func (e startRefusal) Error() string { return errStartRefused.Error() + ": " + e.refusal.Error() }

func (e startRefusal) Unwrap() []error { return []error{errStartRefused, e.refusal} }

// overLimitRefusal returns the answer to a request that admit has refused with err.
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

// logStopError logs err, unless it is nil, as a failure to stop a component.
func logStopError(log *zap.Logger, part string, err error) {
	if err != nil {
		log.Warn("component did not stop cleanly", zap.String("part", part), zap.Error(err))
	}
}
