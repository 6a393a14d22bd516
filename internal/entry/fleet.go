package entry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// noEndpointRetryAfter is the wait suggested when no endpoint can take a call
// and nothing is known about the queues.
const noEndpointRetryAfter = clock.Second

// fleet is what this process knows about the endpoints.
type endpointTracker struct {
	clock clock.Clock

	mu        sync.Mutex
	endpoints map[spool.EndpointID]*endpointState
	// drained holds the failure domains that are out, returned those that came
	// back and when.
	drainedDomains map[spool.FailureDomain]bool
	returnedAt     map[spool.FailureDomain]clock.Millis
}

type endpointState struct {
	status     wire.EndpointStatus
	reportedAt clock.Millis
	// askedAt is when a report was asked for.
	polledAt clock.Millis
	// report counts the reports; sent counts the calls sent since the latest
	// one that have not ended.
	reports         int
	sentSinceReport int
	// cached is how many tokens of a program the endpoint is believed to hold.
	cachedTokens map[spool.ProgramID]int
}

func newEndpointTracker(source clock.Clock) *endpointTracker {
	return &endpointTracker{
		clock: source, endpoints: map[spool.EndpointID]*endpointState{},
		drainedDomains: map[spool.FailureDomain]bool{}, returnedAt: map[spool.FailureDomain]clock.Millis{},
	}
}

func (t *endpointTracker) getOrCreate(id spool.EndpointID) *endpointState {
	known := t.endpoints[id]
	if known == nil {
		known = &endpointState{cachedTokens: map[spool.ProgramID]int{}}
		t.endpoints[id] = known
	}
	return known
}

// sent counts a call and returns the function that ends it.
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

// reported takes a load report in. It includes the calls sent before it.
func (t *endpointTracker) recordReport(id spool.EndpointID, status wire.EndpointStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.getOrCreate(id)
	if state.status.Mark.Boot != status.Mark.Boot {
		state.cachedTokens = map[spool.ProgramID]int{}
	}
	if status.Held != nil {
		state.cachedTokens = status.Held
		status.Held = nil
	}
	state.status, state.reportedAt, state.sentSinceReport = status, t.clock.Now(), 0
	state.reports++
}

// holds notes that an endpoint has a program's prefix since its latest turn,
// which the next load report confirms.
func (t *endpointTracker) recordCachedTokens(id spool.EndpointID, program spool.ProgramID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id).cachedTokens[program] = tokens
}

// mark returns the agent's mark of the latest report.
func (t *endpointTracker) agentMark(id spool.EndpointID) spool.AgentMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getOrCreate(id).status.Mark
}

// share is the part of a returning failure domain's capacity that is used.
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

// minShare lets the first calls reach a failure domain that has just returned.
const minCapacityShare = 0.05

// views lists the endpoints that may get new work, sorted by identifier.
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
			QueuedStarts: state.status.QueuedStarts, StartWait: state.status.StartWait,
			SentSince: state.sentSinceReport, CachedTokens: state.cachedTokens[program],
			MillisPerCall: state.status.MillisPerCall, Share: share,
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].ID < views[j].ID })
	return views
}

// oldest returns the endpoints with the oldest reports, at most count. One that
// does not answer goes to the end of the line.
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

// retain forgets endpoints that are no longer listed.
func (t *endpointTracker) retain(listed map[spool.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.endpoints {
		if !listed[id] && known.sentSinceReport == 0 {
			delete(t.endpoints, id)
		}
	}
}

// pick chooses the endpoint of a call.
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
	view.Correlation = call.routingKey()
	now := e.clock.Now()
	id, ok := router.Pick(now, view, views)
	for _, vm := range vms {
		if ok && spool.EndpointID(vm.ID) == id {
			return vm, newChoice(now, id, views), nil
		}
	}
	return target, nil, spool.Refuse(spool.CodeOverloaded, "no endpoint of service %q has capacity", call.spec.service).
		WithRetryAfter(estimateWait(views, view.Start()))
}

func (c *inflightCall) routingKey() string {
	return fmt.Sprintf("%s/%s/%d", c.ticket.Program, c.ticket.Call, c.currentAttempt())
}

// drainTime estimates when the first endpoint has room again. For the first call
// of a program it is when the first calls that wait now will have been served.
func estimateWait(views []spool.EndpointView, start bool) clock.Millis {
	shortest := clock.Millis(0)
	for _, view := range views {
		if view.MillisPerCall <= 0 || view.Window == 0 {
			continue
		}
		wait := clock.Millis(view.MillisPerCall*float64(view.Queued+view.SentSince+1)/float64(view.Window)) + 1
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
