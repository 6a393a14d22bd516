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
	// replyGrace is the time for which a process waits for a reply after the end of the
	// long poll.
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

// fleet simulates nodes and a platform in virtual time. Each change of the platform's
// list increases its version, which is stored in the Region field of the row of entry
// e0.
type fleet struct {
	now     clock.Millis
	queue   events
	seq     int
	random  *rand.Rand
	vms     []spool.VM
	version int
	// platformDown makes all reads of the platform's list fail. reads holds the times of
	// all reads, including failed ones. fallbacks is the number of reads with
	// roster.Read.Fallback.
	platformDown bool
	reads        []clock.Millis
	fallbacks    int
	// pulls is the number of requests to parents. refused is the number of these requests
	// whose parent was dead or unknown when they were sent.
	pulls, refused int
	// maxExtraDelay bounds the random delay of a message that is added to hopDelay; 0
	// means no random delay.
	maxExtraDelay clock.Millis
	nodes         map[spool.NodeID]*process
	processes     []*process
	// regression describes the latest case in which a process replaced its list by an
	// older one; empty when there was none. Every such case is a fault.
	regression string
}

type process struct {
	*roster.Node
	vm spool.VM
	// clockOffset is the difference between this process's clock and the virtual time. It
	// is random, so that a node that compares times of two processes fails the tests.
	clockOffset clock.Millis
	// dead stops the process for good. paused suspends it: its events are collected in
	// backlog until resume is called. platformUnreachable makes the reads of this process
	// fail. heldRequests holds, by sequence number, the long polls that the process has
	// not answered yet. lastVersion is the highest list version that it has had.
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

// start starts the process of a row with the given number of readers per failure
// domain.
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

// changeList replaces the platform's list by an edited copy with the next version.
func (f *fleet) changeList(edit func(vms []spool.VM)) {
	f.vms = slices.Clone(f.vms)
	edit(f.vms)
	f.version++
	f.vms[0].Region = spool.Region(strconv.Itoa(f.version))
}

// schedule arranges that advance runs a function after a delay of virtual time.
func (f *fleet) schedule(delay clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + delay, f.seq, run})
}

// advance runs all events of the next length milliseconds of virtual time.
func (f *fleet) advance(length clock.Millis) {
	until := f.now + length
	for len(f.queue) > 0 && f.queue[0].at <= until {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// runIn schedules a function of a process after a delay. If the process is paused then,
// the function runs when the process is resumed. If the process is dead, the function
// does not run.
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

// hopTime draws the delay of one message in one direction.
func (f *fleet) hopTime() clock.Millis {
	if f.maxExtraDelay > 0 {
		return hopDelay + clock.Millis(f.random.Int64N(int64(f.maxExtraDelay)))
	}
	return hopDelay
}

// step starts the next action of a process. The end of the action calls step again.
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

// serve handles a request at the parent. It calls send with the reply, at the latest at
// the end of the long poll.
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

// listUpdated handles an accepted list of a process. It sets regression if the list is
// older than the previous one. If the rows changed, it answers the long polls whose
// reply is ready.
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

// lagging returns the running processes whose rows differ from the platform's list. The
// rows of an agent are compared with those of the entries and with its own row only.
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
