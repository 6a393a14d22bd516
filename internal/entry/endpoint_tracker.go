package entry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// noEndpointRetryAfter is the suggested wait if no endpoint can take a call and
// the queues of the endpoints are unknown.
const noEndpointRetryAfter = clock.Second

// endpointTracker holds the load and the cached prefixes of the endpoints as this
// process knows them.
type endpointTracker struct {
	clock clock.Clock

	mu        sync.Mutex
	endpoints map[spool.EndpointID]*endpointState
	// drainedDomains holds the failure domains that were draining when last
	// checked. returnedAt holds when a failure domain came back.
	drainedDomains map[spool.FailureDomain]bool
	returnedAt     map[spool.FailureDomain]clock.Millis
}

// endpointState is the state of one endpoint.
type endpointState struct {
	status     wire.EndpointStatus
	reportedAt clock.Millis
	// polledAt is when a load report was last requested.
	polledAt clock.Millis
	// reports counts the load reports. sentSinceReport counts the calls that were
	// sent since the latest report and have not failed since.
	reports         int
	sentSinceReport int
	// cachedTokens estimates how many tokens of a program's history the endpoint
	// has cached.
	cachedTokens map[spool.ProgramID]int
}

func newEndpointTracker(source clock.Clock) *endpointTracker {
	return &endpointTracker{
		clock: source, endpoints: map[spool.EndpointID]*endpointState{},
		drainedDomains: map[spool.FailureDomain]bool{}, returnedAt: map[spool.FailureDomain]clock.Millis{},
	}
}

// getOrCreate returns the state of an endpoint. The caller must hold t.mu.
func (t *endpointTracker) getOrCreate(id spool.EndpointID) *endpointState {
	state := t.endpoints[id]
	if state == nil {
		state = &endpointState{cachedTokens: map[spool.ProgramID]int{}}
		t.endpoints[id] = state
	}
	return state
}

// recordSent counts a call as sent. The returned function must be called when the
// call ends, with the load report of the answer if ok.
func (t *endpointTracker) recordSent(id spool.EndpointID) func(status wire.EndpointStatus, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.getOrCreate(id)
	state.sentSinceReport++
	report := state.reports
	return func(status wire.EndpointStatus, ok bool) {
		if ok {
			t.recordReport(id, status)
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if state.reports == report && state.sentSinceReport > 0 {
			state.sentSinceReport--
		}
	}
}

// recordReport records a load report. It is taken to include all calls sent
// before. If the agent has restarted, the estimates of its cache are dropped.
func (t *endpointTracker) recordReport(id spool.EndpointID, status wire.EndpointStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.getOrCreate(id)
	if state.status.Mark.Boot != status.Mark.Boot {
		state.cachedTokens = map[spool.ProgramID]int{}
	}
	if status.HeldTokens != nil {
		state.cachedTokens = status.HeldTokens
		status.HeldTokens = nil
	}
	state.status, state.reportedAt, state.sentSinceReport = status, t.clock.Now(), 0
	state.reports++
}

// recordCachedTokens records that an endpoint has cached a program's prefix
// with its latest turn. The next load report with cache contents replaces the
// estimate.
func (t *endpointTracker) recordCachedTokens(id spool.EndpointID, program spool.ProgramID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id).cachedTokens[program] = tokens
}

// agentMark returns the mark of the agent from its latest load report.
func (t *endpointTracker) agentMark(id spool.EndpointID) spool.AgentMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getOrCreate(id).status.Mark
}

// capacityShare returns the share, from 0 to 1, of a failure domain's capacity
// that may be used. It is 0 while the domain drains and grows linearly over
// rampFor after the domain has returned. The caller must hold t.mu.
func (t *endpointTracker) capacityShare(domain spool.FailureDomain, draining bool, rampFor clock.Millis) float64 {
	now := t.clock.Now()
	switch {
	case draining:
		t.drainedDomains[domain] = true
		return 0
	case t.drainedDomains[domain]:
		delete(t.drainedDomains, domain)
		t.returnedAt[domain] = now
	}
	since, ramping := t.returnedAt[domain]
	if !ramping || rampFor == 0 || now-since >= rampFor {
		return 1
	}
	return max(float64(now-since)/float64(rampFor), minCapacityShare)
}

// minCapacityShare is the share with which a returning failure domain starts, so
// that it gets calls at once.
const minCapacityShare = 0.05

// views returns the endpoints of vms that may get new work, sorted by identifier.
func (t *endpointTracker) views(vms []spool.VM, draining func(spool.FailureDomain, spool.EndpointID) bool, rampFor clock.Millis, program spool.ProgramID) []spool.EndpointView {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]spool.EndpointView, 0, len(vms))
	for _, vm := range vms {
		id := spool.EndpointID(vm.ID)
		state := t.getOrCreate(id)
		share := t.capacityShare(vm.FailureDomain, draining(vm.FailureDomain, ""), rampFor)
		if share == 0 || draining(vm.FailureDomain, id) || vm.State == spool.VMLeaving || state.status.Draining {
			continue
		}
		views = append(views, spool.EndpointView{
			ID: id, FailureDomain: vm.FailureDomain, Window: state.status.Window,
			Running: state.status.Running, Queued: state.status.Queued, ReportedAt: state.reportedAt,
			QueuedStarts: state.status.QueuedFirstCalls, StartWait: state.status.FirstCallWait,
			SentSinceReport: state.sentSinceReport, CachedTokens: state.cachedTokens[program],
			MillisPerCall: state.status.MillisPerCall, Share: share,
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].ID < views[j].ID })
	return views
}

// selectForPoll returns at most count endpoints, those first whose last report
// or poll is the oldest. An unresponsive endpoint is thus not selected again
// before the others. It may reorder vms.
func (t *endpointTracker) selectForPoll(vms []spool.VM, count int) []spool.VM {
	if len(vms) <= count {
		return vms
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lastContact := func(i int) clock.Millis {
		state := t.getOrCreate(spool.EndpointID(vms[i].ID))
		return max(state.reportedAt, state.polledAt)
	}
	sort.SliceStable(vms, func(i, j int) bool { return lastContact(i) < lastContact(j) })
	for _, vm := range vms[:count] {
		t.getOrCreate(spool.EndpointID(vm.ID)).polledAt = t.clock.Now()
	}
	return vms[:count]
}

// retain drops the endpoints that are not listed, unless calls were sent to them
// since their last report.
func (t *endpointTracker) retain(listed map[spool.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.endpoints {
		if !listed[id] && state.sentSinceReport == 0 {
			delete(t.endpoints, id)
		}
	}
}

// pickEndpoint chooses the endpoint for a call with the router policy. choice
// explains it to operators. refusal is set if no endpoint can take the call.
func (e *Entry) pickEndpoint(call *inflightCall, view spool.CallView) (target spool.VM, choice *Choice, refusal *spool.Refusal) {
	vms := e.candidatesOf(call.spec.service).including(call.ticket.Endpoint)
	views := e.endpoints.views(vms, e.control.Draining, call.spec.settings.RampFor, view.Program)
	if len(views) == 0 {
		return target, nil, spool.Refuse(spool.CodeNoEndpoint, "service %q has no endpoint that takes work", call.spec.service).
			WithRetryAfter(noEndpointRetryAfter)
	}
	router, err := e.policies.router(call.spec.settings)
	if err != nil {
		return target, nil, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	view.Correlation = call.dispatchID()
	now := e.clock.Now()
	id, ok := router.Pick(now, view, views)
	for _, vm := range vms {
		if ok && spool.EndpointID(vm.ID) == id {
			return vm, newChoice(now, id, views), nil
		}
	}
	return target, nil, spool.Refuse(spool.CodeOverloaded, "no endpoint of service %q has capacity", call.spec.service).
		WithRetryAfter(estimateWait(views, view.IsFirst()))
}

// dispatchID returns the identifier under which the policies see the next
// dispatch of the call. It contains the number of the latest attempt.
func (c *inflightCall) dispatchID() string {
	return fmt.Sprintf("%s/%s/%d", c.ticket.Program, c.ticket.Call, c.currentAttempt())
}

// estimateWait estimates the time until the first endpoint can take a call. For
// the first call of a program it is at least the time in which an endpoint will
// have served the first calls that are queued now.
func estimateWait(views []spool.EndpointView, start bool) clock.Millis {
	shortest := clock.Millis(0)
	for _, view := range views {
		if view.MillisPerCall <= 0 || view.Window == 0 {
			continue
		}
		wait := clock.Millis(view.MillisPerCall*float64(view.Queued+view.SentSinceReport+1)/float64(view.Window)) + 1
		if start {
			wait = max(wait, view.StartWait)
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest == 0 {
		return noEndpointRetryAfter
	}
	return shortest
}
