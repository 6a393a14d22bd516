package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/admission"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// limitEndDelay is how long all programs must have been admitted before the end of a
	// limit is logged.
	limitEndDelay = clock.Second
	// finishMemory is how long the first turn of a program shows whether an account states
	// when its programs should be finished.
	finishMemory = clock.Minute
)

// engineLoads decides which programs may begin at engines, the urgency of their requests,
// and how often requests are offered to full engines. Nothing of it applies unless balancing
// is on. It is safe for concurrent use.
type engineLoads struct {
	enabled bool
	clock   clock.Clock
	log     *zap.Logger
	// view is the load that gateways exchange.
	view    load.View
	options []admission.Option

	mu      sync.Mutex
	engines map[spool.ServiceName]*engineLoad
	// finishes holds, per route and account, whether programs state their finish.
	finishes map[finishKey]finishUse
}

// engineLoad is the admission at one service.
type engineLoad struct {
	*admission.Controller
	// isLimited tells that the log says that starts are limited, and limitedAt when they
	// last were.
	isLimited bool
	limitedAt clock.Millis
}

type finishKey struct {
	route   string
	account spool.AccountID
}

// finishUse holds when the latest first turns came with and without a time to finish; 0 if
// none did.
type finishUse struct{ stated, missing clock.Millis }

func newEngineLoads(settings spool.BalancingSettings, systemClock clock.Clock, view load.View, log *zap.Logger, options ...admission.Option) *engineLoads {
	return &engineLoads{
		enabled: settings.Enabled, clock: systemClock, view: view, log: log, options: options,
		engines: map[spool.ServiceName]*engineLoad{}, finishes: map[finishKey]finishUse{},
	}
}

// appliesTo reports whether the requests of a request's service are controlled.
func (l *engineLoads) appliesTo(r *request) bool { return l.enabled && r.service.Engine }

// engineFor returns the admission of a service; it creates one if there is none. The caller
// holds mu.
func (l *engineLoads) engineFor(service spool.ServiceName) *engineLoad {
	e := l.engines[service]
	if e == nil {
		e = &engineLoad{Controller: admission.New(l.clock.Now(), func(now clock.Millis) load.ServiceStats {
			return l.view.Service(now, service)
		}, l.options...)}
		l.engines[service] = e
	}
	return e
}

// admit reports whether the program of a first turn may begin. If not, retryAfter is when
// it may ask again.
func (l *engineLoads) admit(r *request) (admitted bool, retryAfter clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.recordFinish(now, r)
	e := l.engineFor(r.service.Name)
	admitted = e.Admit(now, admission.Offer{Rank: r.priority, Account: r.account, Requests: expectedTurns(r.call)})
	l.logLimit(now, r.service.Name, e)
	if !admitted {
		retryAfter = e.RetryAfter(now)
	}
	return admitted, retryAfter
}

// logLimit writes a line when starts begin or cease to be limited, with the evidence. The
// caller holds mu.
func (l *engineLoads) logLimit(now clock.Millis, service spool.ServiceName, e *engineLoad) {
	evidence := e.Evidence(now)
	if evidence.Share < 1 {
		e.limitedAt = now
	}
	isLimited := e.limitedAt != 0 && now < e.limitedAt+limitEndDelay
	if isLimited == e.isLimited {
		return
	}
	e.isLimited = isLimited
	message := "program starts are limited"
	if !isLimited {
		message = "program starts are no longer limited"
	}
	l.log.Info(message, zap.String("service", string(service)), zap.Float64("share", evidence.Share), zap.Float64("load", evidence.Load), zap.Int("slots", evidence.Slots),
		zap.Float64("requestsPerSecond", evidence.Capacity), zap.Float64("requestsPerProgram", evidence.Need), zap.Float64("requestsOfferedPerSecond", evidence.Offered), zap.Bool("ofAllGateways", evidence.ByView))
}

// recordFinish records whether the first turn of a program states the time to finish. The
// caller holds mu.
func (l *engineLoads) recordFinish(now clock.Millis, r *request) {
	key := finishKey{r.route.Name, r.account}
	use := l.finishes[key]
	if r.call.FinishIn > 0 {
		use.stated = now
	} else {
		use.missing = now
	}
	l.finishes[key] = use
}

// isOverdue reports whether the time to finish of a program has passed. A caller then states
// none, which means nothing if it stated none with the first turns either. The caller holds
// mu.
func (l *engineLoads) isOverdue(now clock.Millis, r *request) bool {
	if !r.hasBegun || r.call.FinishIn > 0 {
		return false
	}
	use := l.finishes[finishKey{r.route.Name, r.account}]
	isRecent := func(at clock.Millis) bool { return at != 0 && now-at < finishMemory }
	return isRecent(use.stated) && !isRecent(use.missing)
}

// describe returns what the admission needs to know of a request. The caller holds mu.
func (l *engineLoads) describe(now clock.Millis, r *request) admission.Request {
	return admission.Request{
		Priority: r.priority, Begun: r.hasBegun, FinishIn: r.call.FinishIn, Overdue: l.isOverdue(now, r), TimeLeft: r.deadline - now,
	}
}

// urgency returns the urgency level of a request.
func (l *engineLoads) urgency(r *request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.engineFor(r.service.Name).Urgency(now, l.describe(now, r))
}

// offering returns how a request is offered to endpoints.
func (l *engineLoads) offering(r *request) admission.Offering {
	if !l.appliesTo(r) {
		return admission.DefaultOffering()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.engineFor(r.service.Name).Offering(now, l.describe(now, r))
}

// retryAfter returns when a refused request may come again.
func (l *engineLoads) retryAfter(service spool.ServiceName) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engineFor(service).RetryAfter(l.clock.Now())
}

// recordFull records that an endpoint of a service had no room.
func (l *engineLoads) recordFull(service spool.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engineFor(service).RecordRejected(l.clock.Now())
}

// recordAnswer records that an endpoint of a service answered.
func (l *engineLoads) recordAnswer(service spool.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engineFor(service).RecordAnswered(l.clock.Now())
}

// retain removes the services for which has returns false, and what was known of the
// callers of routes long ago.
func (l *engineLoads) retain(has func(service spool.ServiceName) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service := range l.engines {
		if !has(service) {
			delete(l.engines, service)
		}
	}
	now := l.clock.Now()
	for key, use := range l.finishes {
		if now-max(use.stated, use.missing) > finishMemory {
			delete(l.finishes, key)
		}
	}
}
