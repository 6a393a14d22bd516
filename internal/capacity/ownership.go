package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// ownershipDomains is the number of failure domains at the target.
	ownershipDomains = 14
	// ownershipTimeout bounds the wait until every stream has an owner.
	ownershipTimeout = 60 * clock.Second
	// listLag is the time for which the VM list shows an entry that has died. It is
	// longer than the detection by heartbeats, so that the measurement does not
	// depend on the list.
	listLag = 4 * clock.Second
	// ownershipPollInterval is the interval at which the streams with an owner are
	// counted, and so the resolution of the measured times.
	ownershipPollInterval = 5 * clock.Millis(1)
)

// ownershipSizes are the measured numbers of entries. There is one stream per entry.
var ownershipSizes = []int{14, 28, 56, 112}

// entryFleet runs the stream managers of several entries in this process. Requests
// between entries are encoded as JSON but passed on as function calls, without sockets.
// rows is the VM list; entries holds the entries by address.
type entryFleet struct {
	log     *standin.Log
	streams int
	rows    []spool.VM

	mu      sync.Mutex
	entries map[string]*fleetEntry
}

// fleetEntry is one entry of an entryFleet. manager is nil while the entry does not run.
type fleetEntry struct {
	vm       spool.VM
	manager  *streams.Manager
	handlers wire.Mux
	// crashedAt is the time of the entry's crash, or 0.
	crashedAt clock.Millis
}

// Latest returns the VM list of the entries and the current time. A crashed entry stays
// on the list for listLag.
func (f *entryFleet) Latest() (rows []spool.VM, readAt clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.System().Now()
	listed := func(vm spool.VM) bool {
		entry := f.entries[string(vm.ID)]
		return entry.crashedAt == 0 || now < entry.crashedAt+listLag
	}
	for _, vm := range f.rows {
		if !listed(vm) {
			f.rows = slices.DeleteFunc(slices.Clone(f.rows), func(vm spool.VM) bool { return !listed(vm) })
			break
		}
	}
	return f.rows, now
}

// Call sends a request to the entry at address and decodes the reply into result. It
// returns spool.ErrNotSent when that entry is not running.
func (f *entryFleet) Call(ctx context.Context, address, method string, request, result any, _ func(json.RawMessage) error) error {
	f.mu.Lock()
	to := f.entries[address]
	f.mu.Unlock()
	if to == nil || to.manager == nil {
		return spool.ErrNotSent
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := to.handlers[method](ctx, params, nil)
	if err != nil {
		return err
	}
	body, err := json.Marshal(reply)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(body, result)
}

// newEntryFleet returns a fleet of entries that are not started, with as many streams as
// entries.
func newEntryFleet(size int) *entryFleet {
	f := &entryFleet{log: standin.NewLog(1), streams: size, entries: map[string]*fleetEntry{}}
	for i := range size {
		name := fmt.Sprintf("entry-%03d", i)
		vm := spool.VM{
			ID: spool.NodeID(name), Role: spool.RoleEntry, State: spool.VMLive, Address: name,
			FailureDomain: spool.FailureDomain(fmt.Sprintf("domain-%d", i%ownershipDomains)), Region: "region",
		}
		f.rows = append(f.rows, vm)
		f.entries[name] = &fleetEntry{vm: vm}
	}
	return f
}

// start starts every entry.
func (f *entryFleet) start() error {
	for name, entry := range f.entries {
		manager, err := streams.New(streams.Config{
			Node: entry.vm.ID, Address: name, FailureDomain: entry.vm.FailureDomain, Region: entry.vm.Region, StreamCount: f.streams,
		}, streams.WithLog(f.log), streams.WithVMLists(f), streams.WithCaller(f))
		if err != nil {
			return err
		}
		f.mu.Lock()
		entry.manager, entry.handlers = manager, manager.Handlers()
		f.mu.Unlock()
	}
	return nil
}

// crash stops the entries that crashes selects, without notice to the other entries.
func (f *entryFleet) crash(crashes func(vm spool.VM) bool) {
	var managers []*streams.Manager
	f.mu.Lock()
	for _, entry := range f.entries {
		if entry.manager != nil && crashes(entry.vm) {
			managers = append(managers, entry.manager)
			entry.manager, entry.crashedAt = nil, clock.System().Now()
		}
	}
	f.mu.Unlock()
	for _, manager := range managers {
		manager.Close()
	}
}

// servedStreams returns the number of streams that have an owner.
func (f *entryFleet) servedStreams() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, entry := range f.entries {
		if entry.manager != nil {
			count += entry.manager.Stats().Owned
		}
	}
	return count
}

// waitUntilServed waits until every stream has an owner and returns the seconds since
// start.
func (f *entryFleet) waitUntilServed(ctx context.Context, start time.Time) (seconds float64, err error) {
	for time.Since(start) < ownershipTimeout.Duration() {
		if f.servedStreams() == f.streams {
			return time.Since(start).Seconds(), nil
		}
		select {
		case <-time.After(ownershipPollInterval.Duration()):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return 0, errors.Errorf("%d of %d streams are served after %v", f.servedStreams(), f.streams, ownershipTimeout.Duration())
}

// measureOwnership measures the times, in seconds, until every stream has an owner: after
// the cold start of all entries, after the crash of the entry with the most streams, and
// after the crash of the failure domain of such an entry. appends is the number of appends
// to the log during the cold start.
func measureOwnership(ctx context.Context, size int) (times [3]float64, appends int64, err error) {
	f := newEntryFleet(size)
	defer f.crash(func(spool.VM) bool { return true })
	start := time.Now()
	if err := f.start(); err != nil {
		return times, 0, err
	}
	if times[0], err = f.waitUntilServed(ctx, start); err != nil {
		return times, 0, errors.Wrapf(err, "cold start of %d entries", size)
	}
	appends = f.log.Stats().Appends
	for i, crashes := range []func(vm, busiest spool.VM) bool{
		func(vm, busiest spool.VM) bool { return vm.ID == busiest.ID },
		func(vm, busiest spool.VM) bool { return vm.FailureDomain == busiest.FailureDomain },
	} {
		if err := f.waitForHandovers(ctx); err != nil {
			return times, appends, err
		}
		busiest := f.busiest()
		start = time.Now()
		f.crash(func(vm spool.VM) bool { return crashes(vm, busiest) })
		if times[i+1], err = f.waitUntilServed(ctx, start); err != nil {
			return times, appends, errors.Wrapf(err, "recovery of %d entries", size)
		}
	}
	return times, appends, nil
}

// busiest returns the entry that owns the most streams.
func (f *entryFleet) busiest() (vm spool.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := 0
	for _, entry := range f.entries {
		if entry.manager == nil {
			continue
		}
		if owned := entry.manager.Stats().Owned; owned > highest {
			highest, vm = owned, entry.vm
		}
	}
	return vm
}

// waitForHandovers waits for 6 s, in which the streams move to their highest-ranked
// entries, so that these handovers do not disturb the next measurement.
func (f *entryFleet) waitForHandovers(ctx context.Context) error {
	const quiet = 6 * clock.Second
	clock.Pause(ctx, quiet)
	return ctx.Err()
}

// ownershipTimes measures, by the number of entries, how long streams are without an
// owner after a cold start and after crashes.
func ownershipTimes(ctx context.Context) (all []Series, err error) {
	all = []Series{
		{Name: "cold-start", What: "time until every stream is served when all entries start at once on an empty log", XUnit: "entries", YUnit: "s"},
		{Name: "entry-recovery", What: "time until every stream is served after the entry with the most streams has died, still on the list of VMs", XUnit: "entries", YUnit: "s"},
		{Name: "domain-recovery", What: "the same after its failure domain, one of 14, has died", XUnit: "entries", YUnit: "s"},
		{Name: "cold-start-appends", What: "appends of that cold start", XUnit: "entries", YUnit: "appends"},
	}
	for _, size := range ownershipSizes {
		times, appends, err := measureOwnership(ctx, size)
		if err != nil {
			return nil, err
		}
		for i, value := range append(times[:], float64(appends)) {
			all[i].Points = append(all[i].Points, Point{X: float64(size), Y: value})
		}
	}
	return all, nil
}
