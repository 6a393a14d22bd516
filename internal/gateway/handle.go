package gateway

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// defaultTimeout is the timeout of a route that names none. A caller can only shorten
// the timeout of a route.
const defaultTimeout = 30 * clock.Second

// budgetWait bounds the wait for tokens of the program's budget. A slow store answers
// within it. If it does not, a refusal that the caller can retry is better than a
// longer wait.
const budgetWait = 900 * clock.Millis(1)

// request is the state of one request in the gateway. It is used by one goroutine.
type request struct {
	gateway  *Gateway
	exchange *httpconn.Exchange
	call     spool.GatewayCall
	catalog  *catalog.Catalog
	route    *catalog.Route
	// account is empty if a public route is called without a known key.
	account spool.AccountID
	// priority is that of the account, or of the route if the account names none; 0 is
	// the most urgent.
	priority int
	service  *catalog.Service
	// deadline is when the complete answer is due.
	deadline clock.Millis
	// body contains the parts of the body that is sent to the endpoint. They may begin with
	// the history of the turn.
	body httpconn.Body
	// historyIDs are the IDs of the earlier turns that this turn continues, if the route
	// stores turns. history contains these turns until releaseHistory, and afterwards only
	// those that may have to be stored again.
	historyIDs []string
	history    []*chain.Turn
	// historyMemory is the memory that is reserved for history.
	historyMemory *historyReservation
	// tried holds the endpoints to which the request was sent, without an answer, in
	// the present round.
	tried map[spool.EndpointID]bool
	// possibleRuns is the number of tries without a complete answer in which the
	// endpoint may have run the request.
	possibleRuns int
	// hasBegun is set if a turn of the program is known to have run.
	hasBegun bool
	// budget holds the tokens that are allocated to the turn; nil if there are none.
	budget *turnBudget
	// sentAt is when the request was last sent to an endpoint, and sample what its answer has
	// shown of the endpoint so far.
	sentAt clock.Millis
	sample load.Sample
	// ticket is the permission of a rollout for the present try; nil if rollouts are off.
	ticket *rolloutTicket
	// eventCount is the number of events that were passed on to the caller.
	eventCount int
	// streamBytes is the size of the buffers that are reserved for the stream.
	streamBytes int64
	// isCutForBudget is set when the answer is cut off because the budget grants no more
	// tokens.
	isCutForBudget bool
	// refusalErr is the error that caused a refusal, for the log; nil if there is none.
	refusalErr error
}

// handle processes one request of a caller: it answers it from an endpoint or refuses
// it.
func (g *Gateway) handle(ctx context.Context, exchange *httpconn.Exchange) {
	r := &request{gateway: g, exchange: exchange, tried: map[spool.EndpointID]bool{}}
	defer r.recoverPanic()
	if g.refusing.Load() {
		r.reject(refusalFor(reasonStopping))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The end of a shutdown cancels the requests that still run.
	stopWatching := context.AfterFunc(g.requestsEnd, cancel)
	defer stopWatching()
	g.awaitStartup(ctx)
	if reason := r.resolve(); reason != "" {
		r.reject(refusalFor(reason))
		return
	}
	ctx, cancelTimeout := context.WithTimeout(ctx, (r.deadline - g.clock.Now()).Duration())
	defer cancelTimeout()
	class := r.limitClass()
	if class == limit.ClassStart && !g.loads.isOpen() && r.startsProgram(ctx) && !g.loads.admit(r.priority) {
		r.reject(refusalFor(reasonOverloaded))
		return
	}
	if err := g.limits.admit(ctx, r.account, class, func() (limit.StartRequest, bool) {
		return programStart(r.call), r.startsProgram(ctx)
	}); err != nil {
		r.reject(overLimitRefusal(err))
		return
	}
	// The limits come first: an account that exceeds its rate must not take the place of
	// programs of others at the engines.
	if refusal, ok := r.admitToEngine(ctx, class); !ok {
		r.reject(refusal)
		return
	}
	if class == limit.ClassStart && g.engineLoads.appliesTo(r) {
		g.loadTracker.ProgramBegan(g.clock.Now(), r.service.Name, expectedTurns(r.call))
	}
	if reason := r.serve(ctx); reason != "" {
		r.reject(r.refusalFor(reason))
	}
}

// admitToEngine decides whether the program of a first turn may begin while engines are
// overloaded. ok is false if it is refused. Only a program that would be refused is looked
// up, since a wrong refusal of a later turn ends its program.
func (r *request) admitToEngine(ctx context.Context, class limit.Class) (refused refusal, ok bool) {
	g := r.gateway
	r.hasBegun = class != limit.ClassStart && r.call.Program != ""
	if class != limit.ClassStart || !g.engineLoads.appliesTo(r) {
		return refusal{}, true
	}
	g.loadTracker.ProgramOffered(g.clock.Now(), r.service.Name, expectedTurns(r.call))
	admitted, retryAfter := g.engineLoads.admit(r)
	if admitted {
		return refusal{}, true
	}
	if !r.startsProgram(ctx) {
		r.hasBegun = true
		return refusal{}, true
	}
	refused = refusalFor(reasonEnginesBusy)
	refused.retryAfter = retryAfter
	return refused, false
}

// refusalFor returns the refusal for a reason, with the retry time that fits the load.
func (r *request) refusalFor(reason spool.Code) refusal {
	refused := refusalFor(reason)
	if reason == reasonTooLate || reason == reasonEndpointsFull && r.gateway.engineLoads.appliesTo(r) {
		refused.retryAfter = r.gateway.engineLoads.retryAfter(r.service.Name)
	}
	return refused
}

// recoverPanic ends a request whose handling panicked, so that the error of one request
// does not end the process. The request may have run, so the caller is not told otherwise.
func (r *request) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	r.ticket.end(load.Sample{Outcome: load.Ignored}, false, 0, false)
	r.gateway.telemetry.CountViolation("noPanic", zap.String("request", r.call.Attempt), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	r.reject(refusalFor(reasonInternal))
}

// startsProgram reports whether no turn of the program is known to have run. It may
// wait for a read of the log; if that fails, the result is true.
func (r *request) startsProgram(ctx context.Context) bool {
	return !r.gateway.budgets.hasRun(ctx, r.call.Program)
}

// limitClass returns limit.ClassStart for the first turn of a program that this gateway
// knows nothing of, and limit.ClassCall for any other request. Among the requests of an
// account that wait for a token, programs that have begun take precedence over new
// ones.
func (r *request) limitClass() limit.Class {
	isFirstTurn := r.route.Kind == catalog.Stream && r.call.Program != "" && r.call.Previous == ""
	if isFirstTurn && !r.gateway.budgets.hasSeen(r.call.Program) {
		return limit.ClassStart
	}
	return limit.ClassCall
}

// resolve decodes the request and finds its route, account and service. It returns the
// reason for refusing the request; empty if it can be served.
func (r *request) resolve() spool.Code {
	r.catalog = r.gateway.catalog.Load()
	if r.catalog == nil {
		return reasonNoConfiguration
	}
	call, err := r.gateway.codec.DecodeRequest(r.exchange.Request())
	r.call = call
	if err != nil {
		return reasonBadRequest
	}
	if r.route = r.catalog.Route(call.Host, call.Path); r.route == nil {
		return reasonNoRoute
	}
	account := r.catalog.AccountOf(call.Key)
	if account == nil && r.catalog.KeysRequired() && !r.route.Public {
		return reasonUnknownKey
	}
	r.priority = r.route.Priority
	if account != nil {
		r.account = account.ID
		if account.Priority != nil {
			r.priority = *account.Priority
		}
	}
	r.setDeadline()
	identity := call.Attempt
	if call.Session != "" {
		identity = call.Session
	}
	if r.service = r.catalog.Service(r.route.Target(identity)); r.service == nil {
		return reasonNoEndpoint
	}
	r.body = httpconn.Body{r.exchange.Body()}
	if r.route.KeepsHistory && r.gateway.health.isUnavailable() {
		return reasonStoreAway
	}
	return ""
}

// setDeadline sets the deadline from the timeout of the route and the time that the
// caller still waits.
func (r *request) setDeadline() {
	timeout := defaultTimeout
	if r.route.Timeout > 0 {
		timeout = r.route.Timeout
	}
	if r.call.TimeLeft > 0 {
		timeout = min(timeout, r.call.TimeLeft)
	}
	r.deadline = r.gateway.clock.Now() + timeout
}

// serve answers the request. It returns the reason for refusing it, or an empty string
// if an answer was passed on, completely or in part.
func (r *request) serve(ctx context.Context) (reason spool.Code) {
	if reason := r.reserveRecord(); reason != "" {
		return reason
	}
	r.historyMemory = r.gateway.turns.memory.newReservation()
	defer r.historyMemory.release()
	if reason := r.prependHistory(ctx); reason != "" {
		return reason
	}
	if r.call.TokenBudget <= 0 || r.call.Program == "" {
		return r.forward(ctx)
	}
	if r.budget, reason = r.beginBudget(ctx); reason != "" {
		return reason
	}
	defer r.endBudget()
	return r.forward(ctx)
}

// endBudget returns the unused part of the tokens that are allocated to the turn. Later
// calls have no effect. It is called before the end of the answer is sent: the caller may
// then send the next turn to another gateway, which asks this one for the tokens.
func (r *request) endBudget() {
	if r.budget != nil {
		r.budget.endTurn(r.tokensOf(r.eventCount))
		r.budget = nil
	}
}

// coverEvents makes sure that the budget of the turn, if it has one, covers a number of
// events.
func (r *request) coverEvents(ctx context.Context, count int) error {
	if r.budget == nil {
		return nil
	}
	return r.budget.cover(ctx, r.tokensOf(count))
}

// tokensOf returns how many tokens a number of events counts as.
func (r *request) tokensOf(count int) int64 {
	return int64(count) * int64(max(1, r.service.EventTokens))
}

// beginBudget allocates tokens of the program's budget to the turn. If it cannot, it
// returns the reason for refusing the request.
func (r *request) beginBudget(ctx context.Context) (*turnBudget, spool.Code) {
	maxTokens := max(1, r.call.MaxOutputTokens)
	timeout := min(budgetWait, (r.deadline-r.gateway.clock.Now())/2)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	budget, err := r.gateway.budgets.beginTurn(ctx, r.call.Program, maxTokens, r.call.TokenBudget)
	switch {
	case errors.Is(err, errBudgetSpent):
		return nil, reasonBudgetSpent
	case err != nil:
		r.refusalErr = err
		return nil, reasonBudgetUnknown
	}
	return budget, ""
}

// routeName returns the name of the route for the log; empty if none was found.
func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// reject logs and counts a refusal and sends it to the caller. If the answer has been
// started already, it aborts the answer instead.
func (r *request) reject(refusal refusal) {
	r.gateway.telemetry.CountRefusal(refusal.reason)
	r.gateway.log.Info("request refused", zap.String("request", r.call.Attempt), zap.String("program", string(r.call.Program)),
		zap.String("account", string(r.account)), zap.Bool("first", r.call.Previous == ""), zap.Int64("timeLeftMs", int64(r.call.TimeLeft)), zap.Int64("finishInMs", int64(r.call.FinishIn)), zap.Int64("mostTokens", r.call.MaxOutputTokens), zap.Int64("tokenBudget", r.call.TokenBudget), zap.String("route", r.routeName()),
		zap.String("reason", string(refusal.reason)), zap.Int("status", refusal.status), zap.Int64("retryAfterMs", int64(refusal.retryAfter)), zap.Error(r.refusalErr))
	if r.exchange.Started() {
		r.exchange.Abort()
		return
	}
	r.exchange.Reject(refusal.status, refusal.retryAfter)
}
