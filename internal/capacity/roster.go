package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/internal/roster"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	state "github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// The measured part of a failure domain has one entry that reads the VM list (the
	// reader), seven other entries, and 33 agents per entry, as at the target size. The
	// other rows of the list have no process.
	rosterEntries        = 8
	rosterAgentsPerEntry = 33
	rosterDomains        = 14
	// rosterIdleTime is the duration of the measurement at rest, rosterSettleTimeout the
	// bound for a change to reach all nodes, and rosterUnusedAfter the time after which a
	// node closes an unused connection.
	rosterIdleTime      = 2 * time.Second
	rosterSettleTimeout = 8 * time.Second
	rosterUnusedAfter   = 1 * clock.Second
)

// rosterSizes are the measured numbers of rows of the VM list.
var rosterSizes = []int{1000, 3000, 6000, 11330}

// rosterList simulates the real client of the platform's VM list. Like that client, it
// hashes each response and decodes it only when it differs from the previous response.
type rosterList struct {
	mu      sync.Mutex
	vms     []spool.VM
	body    []byte
	digest  uint64
	decoded []spool.VM
}

// VMs returns the decoded list.
func (l *rosterList) VMs(context.Context) ([]spool.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest := xxhash.Sum64(l.body); l.decoded == nil || digest != l.digest {
		l.decoded, l.digest = nil, digest
		if err := json.Unmarshal(l.body, &l.decoded); err != nil {
			return nil, err
		}
	}
	return l.decoded, nil
}

// update edits the rows and encodes them as the next response. In production, the
// platform does this work, so it is not part of the cost of reading the list.
func (l *rosterList) update(edit func(vms []spool.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit(l.vms)
	l.body, _ = json.Marshal(l.vms)
}

// newRosterVM returns row i of the VM list, in a failure domain without processes.
func newRosterVM(i int) spool.VM {
	domain := 1 + i%(rosterDomains-1)
	vm := spool.VM{
		ID: spool.NodeID(fmt.Sprintf("rosterbench-vm-%06d", i)), Role: spool.RoleEndpoint, State: spool.VMLive,
		FailureDomain: spool.FailureDomain(fmt.Sprintf("region-%d-zone-%02d", domain%7, domain)),
		Region:        spool.Region(fmt.Sprintf("region-%d", domain%7)), Service: "appraiser-models",
		Address: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
	}
	if i%(1+rosterAgentsPerEntry) == 0 {
		vm.Role, vm.Service = spool.RoleEntry, ""
	}
	return vm
}

// rosterFleet runs the nodes of the measured part of a failure domain in this process.
// They exchange messages over loopback connections. nodes holds the entries first.
type rosterFleet struct {
	list  *rosterList
	nodes []*roster.Runtime
	// started is closed once all nodes have been started.
	started  chan struct{}
	cleanups []func()
}

// startRoster starts a fleet for a VM list with the given number of rows. The result is
// not nil and must be stopped even when there is an error.
func startRoster(rows int) (f *rosterFleet, err error) {
	f = &rosterFleet{list: &rosterList{}, started: make(chan struct{})}
	vms := make([]spool.VM, rows)
	for i := range vms {
		vms[i] = newRosterVM(i)
	}
	const processes = rosterEntries * (1 + rosterAgentsPerEntry)
	for i := range processes {
		vms[i].FailureDomain, vms[i].Role, vms[i].Service = "region-0-zone-00", spool.RoleEndpoint, "appraiser-models"
		if i >= rosterEntries {
			continue
		}
		vms[i].Role, vms[i].Service = spool.RoleEntry, ""
		if vms[i].Address, err = f.listen(i); err != nil {
			return f, err
		}
	}
	f.list.update(func([]spool.VM) { f.list.vms = vms })
	for _, vm := range vms[:processes] {
		// Connections that are used only during the start are closed after
		// rosterUnusedAfter, so that they do not add to the cost at rest.
		options := []wire.ClientOption{wire.WithClientIdleTimeout(rosterUnusedAfter)}
		if vm.Role != spool.RoleEntry {
			options = append(options, wire.WithHeartbeat(2*clock.Second, 1*clock.Second))
		}
		clients := wire.NewClients(vm.ID, options...)
		node, err := roster.New(state.Config{
			Node: vm.ID, Role: vm.Role, FailureDomain: vm.FailureDomain, ReadersPerDomain: 1, InitialReadSpread: clock.Second,
		}, f.list, clients)
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, node)
		f.cleanups = append(f.cleanups, clients.Close, node.Close)
	}
	close(f.started)
	return f, nil
}

// listen starts the server of entry i and returns its address. Requests wait until all
// nodes have been started.
func (f *rosterFleet) listen(i int) (address string, err error) {
	server, err := wire.Listen("127.0.0.1:0", wire.Mux{
		wire.MethodRosterPull: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
			<-f.started
			return f.nodes[i].Handlers()[wire.MethodRosterPull](ctx, params, send)
		},
	}, nil)
	if err != nil {
		return "", err
	}
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	return server.Address(), nil
}

// stop closes all nodes, clients and servers, the last started first.
func (f *rosterFleet) stop() {
	for _, stop := range slices.Backward(f.cleanups) {
		stop()
	}
}

// waitForLeaving waits until the VM list of every entry contains the given number of VMs
// in the state leaving, and that of every agent the entries among these VMs: agents get
// only the rows of entries. It returns the time that this took.
func (f *rosterFleet) waitForLeaving(leaving int) (time.Duration, error) {
	start := time.Now()
	count := func(rows []spool.VM, role spool.Role) (count int) {
		for _, vm := range rows {
			if vm.State == spool.VMLeaving && (role == "" || vm.Role == role) {
				count++
			}
		}
		return count
	}
	entries := count(f.list.vms, spool.RoleEntry)
	for {
		outdated := 0
		for i, node := range f.nodes {
			rows, _ := node.Latest()
			want := entries
			if i < rosterEntries {
				want = leaving
			}
			if len(rows) == 0 || count(rows, "") != want {
				outdated++
			}
		}
		if outdated == 0 {
			return time.Since(start), nil
		}
		if time.Since(start) > rosterSettleTimeout {
			return 0, errors.Errorf("%d nodes do not have the current VM list after %v", outdated, rosterSettleTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// rosterCost is the cost of the VM list relay in one rosterFleet.
type rosterCost struct {
	// idleBytes is the number of bytes per second that one entry sends and receives
	// at rest. idleCPU is the processor time per second of one node.
	idleBytes, idleCPU float64
	// The other fields are the cost, above that at rest, of a change of all VMs of a
	// failure domain at once. domainBytes is the number of bytes that one entry sends and
	// receives, domainCPU the processor time of one node in ms, and domainTime the time in
	// ms until all nodes know the change.
	domainBytes, domainCPU, domainTime float64
}

// measureRoster starts a fleet for a VM list with the given number of rows and measures
// the cost of the relay at rest and after a change.
func measureRoster(rows int) (cost rosterCost, err error) {
	f, err := startRoster(rows)
	defer f.stop()
	if err != nil {
		return cost, err
	}
	if _, err := f.waitForLeaving(0); err != nil {
		return cost, err
	}
	time.Sleep((rosterUnusedAfter + 2*clock.Second).Duration())
	nodes := float64(len(f.nodes))
	bytes, cpu, since := cputime.BytesWritten(), cputime.SelfTime(), time.Now()
	time.Sleep(rosterIdleTime)
	idleRate := (cputime.BytesWritten() - bytes) / time.Since(since).Seconds()
	cost.idleBytes = idleRate / rosterEntries
	cost.idleCPU = (cputime.SelfTime() - cpu).Seconds() / time.Since(since).Seconds() / nodes

	bytes, cpu, since = cputime.BytesWritten(), cputime.SelfTime(), time.Now()
	leaving := 0
	f.list.update(func(vms []spool.VM) {
		for i := range vms {
			if vms[i].FailureDomain == newRosterVM(1).FailureDomain {
				vms[i].State = spool.VMLeaving
			}
			if vms[i].State == spool.VMLeaving {
				leaving++
			}
		}
	})
	elapsed, err := f.waitForLeaving(leaving)
	cost.domainBytes = max(0, cputime.BytesWritten()-bytes-idleRate*time.Since(since).Seconds()) / rosterEntries
	cost.domainTime = float64(elapsed.Milliseconds())
	cost.domainCPU = max(0, (cputime.SelfTime()-cpu).Seconds()-cost.idleCPU*nodes*time.Since(since).Seconds()) * 1000 / nodes
	return cost, err
}

// relayCost measures the relay of the VM list between nodes and, as the baseline,
// direct reads of the list by every node.
func relayCost() (all []Series, err error) {
	idleBytes := Series{Name: "roster-rest-bytes", What: "relay of the VM list at rest, sent and received by an entry with 33 agents", XUnit: "rows", YUnit: "bytes/s"}
	idleCPU := Series{Name: "roster-rest-cpu", What: "processor time of the relay at rest, per node", XUnit: "rows", YUnit: "share of a core"}
	domainBytes := Series{Name: "roster-domain-bytes", What: "sent and received by an entry with 33 agents when a failure domain, one of 14, changes at once", XUnit: "rows", YUnit: "bytes"}
	domainCPU := Series{Name: "roster-domain-cpu", What: "processor time for that, mean of the reader, 7 entries and 264 agents", XUnit: "rows", YUnit: "ms"}
	domainTime := Series{Name: "roster-domain-lag", What: "time until all nodes know that, with a read a second", XUnit: "rows", YUnit: "ms"}
	for _, rows := range rosterSizes {
		cost, err := measureRoster(rows)
		if err != nil {
			return nil, err
		}
		x := float64(rows)
		idleBytes.Points = append(idleBytes.Points, Point{x, cost.idleBytes})
		idleCPU.Points = append(idleCPU.Points, Point{x, cost.idleCPU})
		domainBytes.Points = append(domainBytes.Points, Point{x, cost.domainBytes})
		domainCPU.Points = append(domainCPU.Points, Point{x, cost.domainCPU})
		domainTime.Points = append(domainTime.Points, Point{x, cost.domainTime})
	}
	change, err := changeSize()
	if err != nil {
		return nil, err
	}
	return append([]Series{idleBytes, idleCPU, change, domainBytes, domainCPU, domainTime}, directListCost()...), nil
}

// changeSize measures the total size of the messages by which a child, an entry that
// gets the VM list from another entry (its parent), learns of one changed VM.
func changeSize() (result Series, err error) {
	result = measureSeries("roster-change-bytes", "messages between a child entry and its parent for one VM that changes", "rows", "bytes", rosterSizes, func(rows int) float64 {
		size, exchangeErr := exchangeSize(rows)
		err = errors.Wrap(exchangeErr, "change of a VM")
		return size
	})
	return result, err
}

// exchangeSize returns the total size in bytes of the messages between a child and its
// parent until the child knows the change of one VM, for a list of the given length.
func exchangeSize(rows int) (size float64, err error) {
	vms := make([]spool.VM, rows)
	for i := range vms {
		vms[i] = newRosterVM(i)
	}
	var parent, child *state.Node
	for _, vm := range vms {
		if vm.Role != spool.RoleEntry || vm.FailureDomain != vms[0].FailureDomain {
			continue
		}
		node := state.New(state.Config{Node: vm.ID, Role: vm.Role, FailureDomain: vm.FailureDomain, ReadersPerDomain: 1}, 0, 1)
		if _, err := node.ApplyList(0, 0, vms); err != nil {
			return 0, err
		}
		if node.IsReader() {
			parent = node
		} else {
			child = node
		}
	}
	vms = slices.Clone(vms)
	vms[rows-1].State = spool.VMLeaving
	if _, err := parent.ApplyList(clock.Second, clock.Second, vms); err != nil {
		return 0, err
	}
	for now := clock.Second; ; now++ {
		pull, ok := child.Next(now).(state.Pull)
		if !ok {
			return 0, errors.New("child has no parent")
		}
		reply, _, err := parent.Answer(now, pull.Request)
		if err != nil {
			return 0, err
		}
		request, _ := json.Marshal(pull.Request)
		answer, _ := json.Marshal(reply)
		size += float64(len(request) + len(answer))
		if changed, err := child.ApplyReply(now, now, pull.Parent, reply); changed || err != nil {
			return size, err
		}
	}
}

// directListCost measures the bytes and the processor time of a node that reads and
// decodes the whole list twice a second, as every node did before the relay existed. It
// also measures the memory of the list in an entry with the relay.
func directListCost() []Series {
	encoded := func(rows int) []byte {
		vms := make([]spool.VM, rows)
		for i := range vms {
			vms[i] = newRosterVM(i)
		}
		body, _ := json.Marshal(vms)
		return body
	}
	const readsPerSecond = 2
	bytes := measureSeries("vms-direct-bytes", "baseline: a node that reads the VM list twice a second, an entry did so three times", "rows", "bytes/s",
		rosterSizes, func(rows int) float64 { return readsPerSecond * float64(len(encoded(rows))) })
	cpu := measureSeries("vms-direct-cpu", "baseline: decoding of that list", "rows", "share of a core", rosterSizes, func(rows int) float64 {
		body, times := encoded(rows), 4
		start := cputime.SelfTime()
		for range times {
			var vms []spool.VM
			_ = json.Unmarshal(body, &vms)
		}
		return (cputime.SelfTime() - start).Seconds() / float64(times) * readsPerSecond
	})
	memory := measureSeries("roster-memory", "state of the VM list in an entry, with the caches for its children", "rows", "bytes", rosterSizes, func(rows int) float64 {
		return retainedHeap(func() any {
			node := state.New(state.Config{Node: "e", Role: spool.RoleEntry, ReadersPerDomain: 1}, 0, 1)
			var vms []spool.VM
			_ = json.Unmarshal(encoded(rows), &vms)
			_, _ = node.ApplyList(1, 1, vms)
			_, _, _ = node.Answer(1, state.PullRequest{Digests: &state.Digests{}})
			node.Rows()
			return node
		})
	})
	return []Series{bytes, cpu, memory}
}
