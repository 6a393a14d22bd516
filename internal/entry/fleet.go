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
type fleet struct {
	clock clock.Clock

	mu        sync.Mutex
	endpoints map[spool.EndpointID]*endpoint
	// drained holds the failure domains that are out, returned those that came
	// back and when.
	drained  map[spool.FailureDomain]bool
	returned map[spool.FailureDomain]clock.Millis
}

type endpoint struct {
	status     wire.EndpointStatus
	reportedAt clock.Millis
	// askedAt is when a report was asked for.
	askedAt clock.Millis
	// report counts the reports; sent counts the calls sent since the latest
	// one that have not ended.
	report int
	sent   int
	// cached is how many tokens of a program the endpoint is believed to hold.
	cached map[spool.ProgramID]int
}

func newFleet(source clock.Clock) *fleet {
	return &fleet{
		clock: source, endpoints: map[spool.EndpointID]*endpoint{},
		drained: map[spool.FailureDomain]bool{}, returned: map[spool.FailureDomain]clock.Millis{},
	}
}

func (f *fleet) get(id spool.EndpointID) *endpoint {
	known := f.endpoints[id]
	if known == nil {
		known = &endpoint{cached: map[spool.ProgramID]int{}}
		f.endpoints[id] = known
	}
	return known
}

// sent counts a call and returns the function that ends it.
func (f *fleet) sent(id spool.EndpointID) func(status wire.EndpointStatus, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.get(id)
	known.sent++
	report := known.report
	return func(status wire.EndpointStatus, ok bool) {
		if ok {
			f.reported(id, status)
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if known.report == report && known.sent > 0 {
			known.sent--
		}
	}
}

// reported takes a load report in. It includes the calls sent before it.
func (f *fleet) reported(id spool.EndpointID, status wire.EndpointStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.get(id)
	if known.status.Mark.Boot != status.Mark.Boot {
		known.cached = map[spool.ProgramID]int{}
	}
	if status.Held != nil {
		known.cached = status.Held
		status.Held = nil
	}
	known.status, known.reportedAt, known.sent = status, f.clock.Now(), 0
	known.report++
}

// holds notes that an endpoint has a program's prefix since its latest turn,
// which the next load report confirms.
func (f *fleet) holds(id spool.EndpointID, program spool.ProgramID, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.get(id).cached[program] = tokens
}

// mark returns the agent's mark of the latest report.
func (f *fleet) mark(id spool.EndpointID) spool.AgentMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.get(id).status.Mark
}

// share is the part of a returning failure domain's capacity that is used.
func (f *fleet) share(domain spool.FailureDomain, draining bool, rampFor clock.Millis) float64 {
	now := f.clock.Now()
	switch {
	case draining:
		f.drained[domain] = true
		return 0
	case f.drained[domain]:
		delete(f.drained, domain)
		f.returned[domain] = now
	}
	since, ramping := f.returned[domain]
	if !ramping || rampFor == 0 || now-since >= rampFor {
		return 1
	}
	return max(float64(now-since)/float64(rampFor), minShare)
}

// minShare lets the first calls reach a failure domain that has just returned.
const minShare = 0.05

// views lists the endpoints that may get new work, sorted by identifier.
func (f *fleet) views(vms []spool.VM, draining func(spool.FailureDomain, spool.EndpointID) bool, rampFor clock.Millis, program spool.ProgramID) []spool.EndpointView {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := make([]spool.EndpointView, 0, len(vms))
	for _, vm := range vms {
		id := spool.EndpointID(vm.ID)
		known := f.get(id)
		share := f.share(vm.FailureDomain, draining(vm.FailureDomain, ""), rampFor)
		if share == 0 || draining(vm.FailureDomain, id) || vm.State == spool.VMLeaving || known.status.Draining {
			continue
		}
		views = append(views, spool.EndpointView{
			ID: id, FailureDomain: vm.FailureDomain, Window: known.status.Window,
			Running: known.status.Running, Queued: known.status.Queued, ReportedAt: known.reportedAt,
			QueuedStarts: known.status.QueuedStarts, StartWait: known.status.StartWait,
			SentSince: known.sent, CachedTokens: known.cached[program],
			MillisPerCall: known.status.MillisPerCall, Share: share,
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].ID < views[j].ID })
	return views
}

// oldest returns the endpoints with the oldest reports, at most count. One that
// does not answer goes to the end of the line.
func (f *fleet) oldest(vms []spool.VM, count int) []spool.VM {
	if len(vms) <= count {
		return vms
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	age := func(i int) clock.Millis {
		known := f.get(spool.EndpointID(vms[i].ID))
		return max(known.reportedAt, known.askedAt)
	}
	sort.SliceStable(vms, func(i, j int) bool { return age(i) < age(j) })
	for _, vm := range vms[:count] {
		f.get(spool.EndpointID(vm.ID)).askedAt = f.clock.Now()
	}
	return vms[:count]
}

// retain forgets endpoints that are no longer listed.
func (f *fleet) retain(listed map[spool.EndpointID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, known := range f.endpoints {
		if !listed[id] && known.sent == 0 {
			delete(f.endpoints, id)
		}
	}
}

// pick chooses the endpoint of a call.
func (e *Entry) pick(flight *flight, view spool.CallView) (target spool.VM, choice *Choice, refusal *spool.Refusal) {
	vms := e.candidatesOf(flight.work.service).with(flight.ticket.Endpoint)
	views := e.fleet.views(vms, e.control.Draining, flight.work.settings.RampFor, view.Program)
	if len(views) == 0 {
		return target, nil, spool.Refuse(spool.CodeNoEndpoint, "service %q has no endpoint that takes work", flight.work.service).
			WithRetryAfter(noEndpointRetryAfter)
	}
	router, err := e.policies.router(flight.work.settings)
	if err != nil {
		return target, nil, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	view.Correlation = flight.correlation()
	now := e.clock.Now()
	id, ok := router.Pick(now, view, views)
	for _, vm := range vms {
		if ok && spool.EndpointID(vm.ID) == id {
			return vm, choiceOf(now, id, views), nil
		}
	}
	return target, nil, spool.Refuse(spool.CodeOverloaded, "no endpoint of service %q has capacity", flight.work.service).
		WithRetryAfter(drainTime(views, view.Start()))
}

func (f *flight) correlation() string {
	return fmt.Sprintf("%s/%s/%d", f.ticket.Program, f.ticket.Call, f.attempt())
}

// drainTime estimates when the first endpoint has room again. For the first call
// of a program it is when the first calls that wait now will have been served.
func drainTime(views []spool.EndpointView, start bool) clock.Millis {
	best := clock.Millis(0)
	for _, view := range views {
		if view.MillisPerCall <= 0 || view.Window == 0 {
			continue
		}
		wait := clock.Millis(view.MillisPerCall*float64(view.Queued+view.SentSince+1)/float64(view.Window)) + 1
		if start {
			wait = max(wait, view.StartWait)
		}
		if best == 0 || wait < best {
			best = wait
		}
	}
	if best == 0 {
		return noEndpointRetryAfter
	}
	return best
}
