package entry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// noEndpointRetryAfter is the RetryAfter of a refusal because no endpoint can take
// a call, if no load report allows a better estimate of the wait.
const noEndpointRetryAfter = clock.Second

// endpointTracker stores what this process knows about the endpoints: their last
// load reports, the calls sent since, and estimates of their prefix caches. It is
// safe for concurrent use.
type endpointTracker struct {
	clock clock.Clock

	mu        sync.Mutex
	endpoints map[spool.EndpointID]*endpointState
	// drainedDomains is the set of failure domains that were draining when
	// capacityShare last checked. returnedAt maps a failure domain to the time at
	// which capacityShare first saw that it no longer drains.
	drainedDomains map[spool.FailureDomain]bool
	returnedAt     map[spool.FailureDomain]clock.Millis
}

// endpointState is what this process knows about one endpoint.
type endpointState struct {
	// status is the last load report, which was received at reportedAt. Both are
	// zero if there is none yet.
	status     wire.EndpointStatus
	reportedAt clock.Millis
	// polledAt is the time at which selectForPoll last selected the endpoint from
	// more endpoints than it may return; 0 if never.
	polledAt clock.Millis
	// reports is the number of load reports received. sentSinceReport is the
	// number of calls that were sent after the last report and have not failed.
	reports         int
	sentSinceReport int
	// cachedTokens estimates, per program, how many tokens of the program's
	// history are in the prefix cache of the endpoint.
	cachedTokens map[spool.ProgramID]int
}

func newEndpointTracker(source clock.Clock) *endpointTracker {
	return &endpointTracker{
		clock: source, endpoints: map[spool.EndpointID]*endpointState{},
		drainedDomains: map[spool.FailureDomain]bool{}, returnedAt: map[spool.FailureDomain]clock.Millis{},
	}
}

// getOrCreate returns the state of an endpoint and creates it if the endpoint is
// new. The caller must hold t.mu.
func (t *endpointTracker) getOrCreate(id spool.EndpointID) *endpointState {
	state := t.endpoints[id]
	if state == nil {
		state = &endpointState{cachedTokens: map[spool.ProgramID]int{}}
		t.endpoints[id] = state
	}
	return state
}

// recordSent adds a call to sentSinceReport. The returned function must be called
// when the call ends: with the load report of the answer and true if the call
// succeeded, with false if it failed. A failed call is then subtracted, unless a
// load report has arrived since the call was sent.
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

// recordReport stores a load report and sets sentSinceReport to 0, as if the report
// included all calls sent so far. If the agent has restarted since the previous
// report, the estimates of the endpoint's cache are dropped. If the report has
// cache contents (HeldTokens), they replace the estimates.
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

// recordCachedTokens sets the estimate of how many tokens of a program's history an
// endpoint has cached. It is called after each turn. The next load report with
// cache contents replaces the estimate.
func (t *endpointTracker) recordCachedTokens(id spool.EndpointID, program spool.ProgramID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id).cachedTokens[program] = tokens
}

// agentMark returns the mark of the endpoint's agent from the last load report;
// the zero mark if there is no report yet.
func (t *endpointTracker) agentMark(id spool.EndpointID) spool.AgentMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getOrCreate(id).status.Mark
}

// capacityShare returns the share, from 0 to 1, of a failure domain's capacity
// that may be used. It is 0 while the domain drains. After the drain it grows
// linearly to 1 over rampFor, but is at least minCapacityShare; if rampFor is 0, it
// is 1 at once. The caller must hold t.mu.
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

// minCapacityShare is the capacity share of a failure domain at the end of its
// drain. It is above 0, so that the domain gets calls at once.
const minCapacityShare = 0.05

// views returns the router policy's views of the endpoints in vms that may get
// new work, sorted by identifier. It leaves out an endpoint that is leaving or
// that drains, itself or with its failure domain. The CachedTokens of the views
// are those of the given program.
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

// selectForPoll returns at most count endpoints of vms: those whose last contact,
// the later of last report and last poll, is oldest. A poll is a contact even
// without an answer, so an unresponsive endpoint is not selected again before the
// others. selectForPoll may reorder vms.
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

// retain deletes the state of each endpoint that is not listed, unless calls were
// sent to the endpoint since its last report and may still be running.
func (t *endpointTracker) retain(listed map[spool.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.endpoints {
		if !listed[id] && state.sentSinceReport == 0 {
			delete(t.endpoints, id)
		}
	}
}

// pickEndpoint lets the router policy choose the endpoint for a call. choice
// explains to operators why the endpoint was chosen. If no endpoint can take the
// call, refusal is set and choice is nil.
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

// dispatchID returns the Correlation that the router policy gets for the next
// dispatch of the call. It contains the number of the latest attempt (0 before
// the first), so that it differs for each dispatch.
func (c *inflightCall) dispatchID() string {
	return fmt.Sprintf("%s/%s/%d", c.ticket.Program, c.ticket.Call, c.currentAttempt())
}

// estimateWait estimates the time until an endpoint can take a call, as the
// shortest estimate over the endpoints in views. start is true for the first call
// of a program: the estimate for an endpoint is then at least its StartWait,
// because endpoints serve first calls last. Without a usable load report
// estimateWait returns noEndpointRetryAfter.
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
