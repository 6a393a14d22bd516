package roster_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	platformDelay clock.Millis = 20
	hopDelay      clock.Millis = 1
	// replyGrace is the time beyond the long poll for which a process waits for a reply.
	replyGrace clock.Millis = 500
)

type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates nodes and a platform in virtual time. The Region field of the row of
// entry e0 holds the version of the platform's list.
type fleet struct {
	now     clock.Millis
	queue   events
	seq     int
	random  *rand.Rand
	vms     []spool.VM
	version int
	// platformDown makes reads fail. reads holds the times of all reads. fallbacks is
	// the number of reads by processes that are not readers.
	platformDown bool
	reads        []clock.Millis
	fallbacks    int
	// pulls is the number of requests to parents, refused the number of those to dead
	// processes.
	pulls, refused int
	// maxExtraDelay bounds the random delay of a message in addition to hopDelay.
	maxExtraDelay clock.Millis
	nodes         map[spool.NodeID]*process
	processes     []*process
	// regression describes the latest change of a process to an older list; empty when
	// there was none.
	regression string
}

type process struct {
	*roster.Node
	vm spool.VM
	// clockOffset is the difference between this process's clock and the virtual time.
	// Clocks of different processes are not comparable.
	clockOffset clock.Millis
	// dead stops the process for good. paused suspends it; its events are collected in
	// backlog until it is resumed. platformUnreachable makes its reads fail.
	// heldRequests holds the long polls that it has not answered yet. lastVersion is
	// the latest version of the list that it has had.
	dead, paused, platformUnreachable bool
	backlog                           []func()
	heldRequests                      map[int]func()
	lastVersion                       int
}

func newFleet(seed uint64, entries, agents, domains int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), nodes: map[spool.NodeID]*process{}}
	for i := range entries + agents {
		vm := spool.VM{
			ID: spool.NodeID(fmt.Sprintf("a%d", i-entries)), Role: spool.RoleEndpoint, State: spool.VMLive, Service: "model",
			FailureDomain: spool.FailureDomain(fmt.Sprintf("d%d", i%domains)), Address: fmt.Sprintf("10.0.0.%d:1", i),
		}
		if i < entries {
			vm.ID, vm.Role, vm.Service = spool.NodeID(fmt.Sprintf("e%d", i)), spool.RoleEntry, ""
		}
		f.vms = append(f.vms, vm)
	}
	f.changeList(func([]spool.VM) {})
	return f
}

// start starts the process of a row.
func (f *fleet) start(vm spool.VM, readers int) *process {
	p := &process{vm: vm, clockOffset: clock.Millis(f.random.IntN(1e6)), heldRequests: map[int]func(){}}
	p.Node = roster.New(roster.Config{Node: vm.ID, Role: vm.Role, FailureDomain: vm.FailureDomain, ReadersPerDomain: readers},
		p.localTime(f), f.random.Uint64())
	f.nodes[vm.ID] = p
	f.processes = append(f.processes, p)
	f.step(p)
	return p
}

func (f *fleet) startAll(readers int) {
	for _, vm := range slices.Clone(f.vms) {
		f.start(vm, readers)
	}
}

func (p *process) localTime(f *fleet) clock.Millis { return f.now + p.clockOffset }

// changeList creates a new version of the platform's list.
func (f *fleet) changeList(edit func(vms []spool.VM)) {
	f.vms = slices.Clone(f.vms)
	edit(f.vms)
	f.version++
	f.vms[0].Region = spool.Region(strconv.Itoa(f.version))
}

// schedule runs a function after a delay.
func (f *fleet) schedule(delay clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + delay, f.seq, run})
}

// advance runs the simulation for a duration of virtual time.
func (f *fleet) advance(length clock.Millis) {
	until := f.now + length
	for len(f.queue) > 0 && f.queue[0].at <= until {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// runIn runs a function in a process after a delay. While the process is paused, the
// function waits until it is resumed.
func (f *fleet) runIn(p *process, delay clock.Millis, run func()) {
	f.schedule(delay, func() {
		switch {
		case p.dead:
		case p.paused:
			p.backlog = append(p.backlog, run)
		default:
			run()
		}
	})
}

func (f *fleet) resume(p *process) {
	backlog := p.backlog
	p.paused, p.backlog = false, nil
	for _, run := range backlog {
		f.runIn(p, 0, run)
	}
}

// hopTime returns the delay of one message.
func (f *fleet) hopTime() clock.Millis {
	if f.maxExtraDelay > 0 {
		return hopDelay + clock.Millis(f.random.Int64N(int64(f.maxExtraDelay)))
	}
	return hopDelay
}

// step runs the next action of a process.
func (f *fleet) step(p *process) {
	switch step := p.Next(p.localTime(f)).(type) {
	case roster.Wait:
		f.runIn(p, max(1, step.Until-p.localTime(f)), func() { f.step(p) })
	case roster.Read:
		if step.Fallback {
			f.fallbacks++
		}
		f.read(p)
	case roster.Pull:
		f.pull(p, step)
	}
}

func (f *fleet) read(p *process) {
	sent := p.localTime(f)
	f.reads = append(f.reads, f.now)
	var vms []spool.VM
	failed := false
	f.schedule(f.hopTime(), func() { vms, failed = f.vms, f.platformDown || p.platformUnreachable })
	f.runIn(p, 2*hopDelay+f.maxExtraDelay+platformDelay, func() {
		if failed {
			p.ReadFailed(p.localTime(f))
		} else if changed, err := p.ApplyList(sent, p.localTime(f), vms); err == nil {
			f.listUpdated(p, changed)
		}
		f.step(p)
	})
}

func (f *fleet) pull(p *process, step roster.Pull) {
	f.pulls++
	sent, done := p.localTime(f), false
	finish := func(run func()) func() {
		return func() {
			if !done {
				done = true
				run()
				f.step(p)
			}
		}
	}
	fail := finish(func() { p.PullFailed(p.localTime(f), step.Parent) })
	f.runIn(p, step.Request.MaxWait+replyGrace, fail)
	parent := f.nodes[step.Parent.ID]
	if parent == nil || parent.dead {
		f.refused++
		f.runIn(p, 2*hopDelay, fail)
		return
	}
	f.runIn(parent, f.hopTime(), func() {
		f.serve(parent, step.Request, func(reply roster.PullReply) {
			f.runIn(p, f.hopTime(), finish(func() {
				if changed, err := p.ApplyReply(sent, p.localTime(f), step.Parent, reply); err == nil {
					f.listUpdated(p, changed)
				}
			}))
		})
	})
}

// serve answers a request at its parent, with a long poll while the lists are equal.
func (f *fleet) serve(parent *process, request roster.PullRequest, send func(roster.PullReply)) {
	f.seq++
	arrived, key := parent.localTime(f), f.seq
	answer := func(expired bool) {
		reply, ready, err := parent.Answer(parent.localTime(f), request)
		if err != nil {
			panic(err)
		}
		reply.HoldTime = parent.localTime(f) - arrived
		if ready || expired {
			delete(parent.heldRequests, key)
			send(reply)
		}
	}
	parent.heldRequests[key] = func() { answer(false) }
	answer(false)
	f.runIn(parent, request.MaxWait, func() {
		if parent.heldRequests[key] != nil {
			answer(true)
		}
	})
}

// listUpdated checks that the list of a process did not change to an older version, and
// re-evaluates the requests that the process holds.
func (f *fleet) listUpdated(p *process, changed bool) {
	if version := p.listVersion(); version < p.lastVersion {
		f.regression = fmt.Sprintf("%s changed from version %d to the older version %d at %v", p.vm.ID, p.lastVersion, version, f.now)
	} else {
		p.lastVersion = version
	}
	if changed {
		for _, key := range sortedKeys(p.heldRequests) {
			p.heldRequests[key]()
		}
	}
}

func sortedKeys(held map[int]func()) (keys []int) {
	for key := range held {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// listVersion returns the version of the list of a process; 0 while it has none.
func (p *process) listVersion() int {
	for _, vm := range p.Entries() {
		if vm.ID == "e0" {
			version, _ := strconv.Atoi(string(vm.Region))
			return version
		}
	}
	return 0
}

// lagging returns the running processes whose rows differ from the platform's list, as
// far as their role needs it.
func (f *fleet) lagging() (nodes []spool.NodeID) {
	for _, p := range f.processes {
		want := []spool.VM{}
		own := spool.VM{}
		for _, vm := range f.vms {
			if vm.Role == spool.RoleEntry || p.vm.Role == spool.RoleEntry {
				want = append(want, vm)
			}
			if vm.ID == p.vm.ID {
				own = vm
			}
		}
		slices.SortFunc(want, func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) })
		if row, _ := p.Own(); !p.dead && !p.paused && (!slices.Equal(p.Rows(), want) || row != own) {
			nodes = append(nodes, p.vm.ID)
		}
	}
	return nodes
}
