package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, map[string]string{"rapid.seed": "20260512", "rapid.checks": "200", "rapid.steps": "300"})
}

const entries = 4

var timing = limit.DefaultTiming()

// entry is one entry with a clock of its own.
type entry struct {
	id      spool.NodeID
	offset  clock.Millis
	paused  bool
	epoch   spool.Epoch
	applied int
	owner   *limit.Owner
	share   *limit.Share
}

// change is one record of the control stream.
type change struct {
	at     clock.Millis
	view   []spool.NodeID
	config *limit.Config
}

type message struct {
	to      int
	request *limit.Request
	grant   *limit.Grant
	from    int
}

// fleet is the model: entries, a lossy network that reorders and repeats, and
// the log, which alone decides who owns the pool.
type fleet struct {
	// random draws the numbers; rapid's own generators prefer small ones, with
	// which the pool is hardly ever in use.
	random  *rand.Rand
	now     clock.Millis
	nodes   []*entry
	control []change
	epoch   spool.Epoch
	claimer int
	network []message
	configs []change
	// meters check intervals that begin in the same stretch of settings.
	meters []*limit.Meter
	rate   float64
	busy   bool
	// cut says which entries do not hear from the control stream in an outage of
	// the log. Owners keep their authority by promises.
	cut      [entries]bool
	burst    float64
	admitted int
}

func (f *fleet) config() limit.Config {
	return limit.Config{
		Rate:        []float64{0.5, 10, 80, 400}[f.random.IntN(4)],
		Burst:       []float64{1, 8, 40, 130}[f.random.IntN(4)],
		StaticShare: []float64{0, 0.1, 0.5, 1}[f.random.IntN(4)],
	}
}

// oneIn is true once in n times.
func (f *fleet) oneIn(n int) bool { return f.random.IntN(n) == 0 }

func newFleet(t *rapid.T) *fleet {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &fleet{now: 1_000_000, claimer: -1, random: rand.New(rand.NewPCG(seed, seed))}
	first := f.config()
	f.configs = []change{{at: f.now, config: &first}}
	f.control = []change{{at: f.now, view: names(entries)}}
	for i := range entries {
		n := &entry{id: names(entries)[i], offset: clock.Millis(f.random.IntN(100_000))}
		n.owner = limit.NewOwner(timing, first)
		n.share = limit.NewShare(f.now+n.offset, "acme", n.id, timing, first)
		f.nodes = append(f.nodes, n)
	}
	f.bound()
	return f
}

func names(n int) (ids []spool.NodeID) {
	for i := range n {
		ids = append(ids, spool.NodeID(fmt.Sprintf("entry-%d", i)))
	}
	return ids
}

// bound follows the limits that are in force. A change of settings reaches every
// entry, and the grants made before have lapsed, after View + Lease.
func (f *fleet) bound() {
	settled := timing.View + timing.Lease + timing.Slack
	rate, burst := 0.0, 0.0
	for i, c := range f.configs {
		if i == len(f.configs)-1 || f.configs[i+1].at+settled > f.now {
			rate, burst = max(rate, c.config.Rate), max(burst, c.config.Burst)
		}
	}
	if rate == f.rate && burst == f.burst && len(f.meters) > 0 {
		return
	}
	f.rate, f.burst = rate, burst
	for _, m := range f.meters {
		m.SetRate(f.now, rate)
		m.RaiseBurst(burst)
	}
	f.meters = append(f.meters, limit.NewMeter(f.now, limit.Config{Rate: rate, Burst: burst}))
}

func (f *fleet) node() *entry { return f.nodes[f.random.IntN(entries)] }

func (f *fleet) local(n *entry) clock.Millis { return f.now + n.offset }

// send passes a request to the owner, and often to an entry that may have been
// the owner before: entries learn of a new owner late.
func (f *fleet) send(from int, request *limit.Request) {
	if request == nil || f.claimer < 0 {
		return
	}
	to := f.claimer
	if f.oneIn(3) {
		to = f.random.IntN(entries)
	}
	f.network = append(f.network, message{to: to, from: from, request: request})
}

func (f *fleet) index(n *entry) int {
	for i, other := range f.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// pass lets time pass. Entries that are not paused hear from the control stream
// and renew their authority most of the time.
func (f *fleet) pass(t *rapid.T) {
	for range 1 + f.random.IntN(30) {
		f.wait()
		f.deliver(t)
		if f.busy {
			f.admit(t)
		}
	}
}

// toggle switches between quiet times, in which every bucket fills, and times
// in which every entry takes all that it gets.
func (f *fleet) toggle(*rapid.T) { f.busy = !f.busy }

func (f *fleet) wait() {
	for range 1 + f.random.IntN([]int{4, 40, 400}[f.random.IntN(3)]) {
		f.now++
		f.bound()
	}
	for i, n := range f.nodes {
		if n.paused {
			continue
		}
		f.send(i, n.share.Tick(f.local(n)))
		n.owner.Tick(f.local(n))
		if !f.oneIn(4) {
			if !f.cut[i] {
				f.pull(n)
			}
			f.renew(n)
		}
	}
}

func (f *fleet) pull(n *entry) {
	now := f.local(n)
	for ; n.applied < len(f.control); n.applied++ {
		c := f.control[n.applied]
		if c.config != nil {
			n.share.Configure(now, *c.config)
			n.owner.Configure(now, *c.config)
			continue
		}
		n.share.View(now, c.view)
	}
	n.share.Fresh(now, now+timing.View)
	n.owner.Fresh(now, now+timing.View)
}

func (f *fleet) renew(n *entry) {
	if n.epoch == f.epoch && n.epoch > 0 {
		n.owner.Authority(f.local(n), f.local(n)+timing.Authority)
	}
}

func (f *fleet) admit(*rapid.T) {
	for i, n := range f.nodes {
		if n.paused || f.oneIn(4) {
			continue
		}
		for range 200 {
			decision := n.share.Admit(f.local(n), 1, false)
			f.send(i, decision.Ask)
			if decision.Admitted {
				f.count()
			}
		}
	}
}

func (f *fleet) count() {
	f.admitted++
	for _, m := range f.meters {
		m.Admitted(f.now, 1)
	}
}

func (f *fleet) deliver(*rapid.T) {
	for range 1 + f.random.IntN(12) {
		if len(f.network) == 0 {
			return
		}
		i := f.random.IntN(len(f.network))
		m := f.network[i]
		n := f.nodes[m.to]
		if n.paused {
			continue
		}
		if !f.oneIn(10) {
			f.network = append(f.network[:i:i], f.network[i+1:]...)
		}
		if f.oneIn(10) {
			continue
		}
		if m.request != nil {
			grant := n.owner.Lease(f.local(n), *m.request)
			f.network = append(f.network, message{to: m.from, from: m.to, grant: &grant})
			continue
		}
		n.share.Granted(f.local(n), *m.grant)
	}
}

func (f *fleet) claim(*rapid.T) {
	n := f.node()
	if n.paused || !f.oneIn(3) {
		return
	}
	// Two changes of owner in a row, the second before the first owner's
	// authority has ended, are as likely as single ones.
	if f.oneIn(2) {
		defer f.claim(nil)
	}
	f.epoch++
	released, level := false, 0.0
	if f.claimer >= 0 && !f.nodes[f.claimer].paused && f.oneIn(2) {
		old := f.nodes[f.claimer]
		level, released = old.owner.Release(f.local(old))
	}
	f.claimer, n.epoch = f.index(n), f.epoch
	if released {
		n.owner.TakeReleased(f.local(n), f.epoch, level)
	} else {
		n.owner.Take(f.local(n), f.epoch)
	}
	f.renew(n)
}

func (f *fleet) change(*rapid.T) {
	if !f.oneIn(2) {
		return
	}
	if f.oneIn(2) {
		view := names(entries)
		f.random.Shuffle(entries, func(i, j int) { view[i], view[j] = view[j], view[i] })
		f.control = append(f.control, change{at: f.now, view: view[:f.random.IntN(entries+1)]})
		return
	}
	next := f.config()
	f.control = append(f.control, change{at: f.now, config: &next})
	f.configs = append(f.configs, change{at: f.now, config: &next})
	f.bound()
}

// outage cuts some entries off the control stream or ends the outage. Changes of
// the view that are published meanwhile reach the entries at different times.
func (f *fleet) outage(t *rapid.T) {
	if f.cut != [entries]bool{} || !f.oneIn(4) {
		f.cut = [entries]bool{}
		return
	}
	for i := range f.cut {
		f.cut[i] = f.oneIn(2)
	}
	for range f.random.IntN(3) {
		f.change(t)
		f.pass(t)
	}
}

// lower divides the account's limits while a new owner waits for the end of the
// previous one's authority.
func (f *fleet) lower(t *rapid.T) {
	if !f.oneIn(4) {
		return
	}
	f.claim(t)
	f.pass(t)
	next := *f.configs[len(f.configs)-1].config
	next.Rate, next.Burst = next.Rate/4, max(1, next.Burst/4)
	f.control = append(f.control, change{at: f.now, config: &next})
	f.configs = append(f.configs, change{at: f.now, config: &next})
	f.bound()
}

func (f *fleet) pause(*rapid.T) {
	n := f.node()
	if n.paused || f.oneIn(4) {
		n.paused = !n.paused
	}
}

// step moves the clock of an entry, by more than the time since its last input
// when it goes back and by more than MaxGap when it goes forward.
func (f *fleet) step(*rapid.T) {
	n := f.node()
	if n.paused || !f.oneIn(3) {
		return
	}
	n.share.Tick(f.local(n))
	n.owner.Tick(f.local(n))
	by := clock.Millis(1 + f.random.IntN(20_000))
	if f.oneIn(2) {
		n.offset -= by
	} else {
		n.offset += by + timing.MaxGap
	}
	n.share.Tick(f.local(n))
	n.owner.Tick(f.local(n))
}

func (f *fleet) check(t *rapid.T) {
	for _, m := range f.meters {
		if over := m.Over(); over > 0 {
			t.Fatalf("%.3f tokens over burst + rate*t", over)
		}
	}
}

// TestNoOverAdmission guards against admitting more than burst + rate*t in any
// interval, whatever happens to entries, messages, ownership, views and settings.
func TestNoOverAdmission(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": f.pass, "pass on": f.pass, "pass more": f.pass, "toggle": f.toggle, "admit": f.admit, "deliver": f.deliver,
			"claim": f.claim, "change": f.change, "pause": f.pause, "step": f.step,
			"outage": f.outage, "lower": f.lower, "pass again": f.pass, "pass further": f.pass, "": f.check,
		})
		total += f.admitted
	})
	t.Logf("%d admissions", total)
	if total < 50_000 {
		t.Fatalf("only %d admissions: the test does not reach the pool", total)
	}
}
