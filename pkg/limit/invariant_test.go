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

const entryCount = 4

// maxTokenDelay is the longest delay of the tokens that half of the requests accept.
const maxTokenDelay = 400 * clock.Millis(1)

var timing = modelTiming()

func modelTiming() limit.Timing {
	t := limit.DefaultTiming()
	t.MaxTokenDelay = maxTokenDelay
	return t
}

// entry is the state of one entry of the model. Its clock differs from model.now by
// clockOffset.
type entry struct {
	id             spool.NodeID
	clockOffset    clock.Millis
	paused         bool
	epoch          spool.Epoch
	appliedChanges int
	owner          *limit.Owner
	share          *limit.Share
}

// change is one record of the control stream: a new membership view, or new limits
// if config is not nil.
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

// model consists of entries, a network that loses, reorders and repeats messages,
// and the log, which decides who owns the pool.
type model struct {
	// random draws all values except its own seed. The generators of rapid prefer
	// small values, with which the pool is hardly ever used.
	random        *rand.Rand
	now           clock.Millis
	nodes         []*entry
	controlLog    []change
	epoch         spool.Epoch
	ownerIndex    int
	inFlight      []message
	configChanges []change
	// There is a meter for each period between two changes of the limits that the
	// meters check. It checks the intervals that begin in that period.
	meters    []*limit.Meter
	rate      float64
	underLoad bool
	// partitioned marks the entries that do not receive the control stream during
	// an outage of the log. An owner among them keeps its authority, because the
	// leases of replicas renew it.
	partitioned [entryCount]bool
	burst       float64
	admitted    int
}

func (m *model) randomConfig() limit.Config {
	return limit.Config{
		Rate:        []float64{0.5, 10, 80, 400}[m.random.IntN(4)],
		Burst:       []float64{1, 8, 40, 130}[m.random.IntN(4)],
		StaticShare: []float64{0, 0.1, 0.5, 1}[m.random.IntN(4)],
	}
}

// oneIn returns true with probability 1/n.
func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

func newModel(t *rapid.T) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{now: 1_000_000, ownerIndex: -1, random: rand.New(rand.NewPCG(seed, seed))}
	first := m.randomConfig()
	m.configChanges = []change{{at: m.now, config: &first}}
	m.controlLog = []change{{at: m.now, view: entryIDs(entryCount)}}
	for i := range entryCount {
		n := &entry{id: entryIDs(entryCount)[i], clockOffset: clock.Millis(m.random.IntN(100_000))}
		n.owner = limit.NewOwner(timing, first)
		n.share = limit.NewShare(m.now+n.clockOffset, "acme", n.id, timing, first)
		m.nodes = append(m.nodes, n)
	}
	m.updateMeters()
	return m
}

func entryIDs(n int) (ids []spool.NodeID) {
	for i := range n {
		ids = append(ids, spool.NodeID(fmt.Sprintf("entry-%d", i)))
	}
	return ids
}

// updateMeters sets the meters to the largest limits that an entry may still apply.
// An old configuration is ignored once View + Lease + Slack have passed since the
// change: every entry has then learned of it or lost its allocation, and earlier
// grants have expired.
func (m *model) updateMeters() {
	settleTime := timing.View + timing.Lease + maxTokenDelay + timing.Slack
	rate, burst := 0.0, 0.0
	for i, c := range m.configChanges {
		if i == len(m.configChanges)-1 || m.configChanges[i+1].at+settleTime > m.now {
			rate, burst = max(rate, c.config.Rate), max(burst, c.config.Burst)
		}
	}
	if rate == m.rate && burst == m.burst && len(m.meters) > 0 {
		return
	}
	m.rate, m.burst = rate, burst
	for _, meter := range m.meters {
		meter.SetRate(m.now, rate)
		meter.RaiseBurst(burst)
	}
	m.meters = append(m.meters, limit.NewMeter(m.now, limit.Config{Rate: rate, Burst: burst}))
}

func (m *model) randomEntry() *entry { return m.nodes[m.random.IntN(entryCount)] }

func (m *model) localTime(n *entry) clock.Millis { return m.now + n.clockOffset }

// sendRequest sends a request to the owner, or in about a quarter of the cases to
// another entry, because entries may learn of a new owner late.
func (m *model) sendRequest(from int, request *limit.Request) {
	if request == nil || m.ownerIndex < 0 {
		return
	}
	if m.oneIn(2) {
		request.MaxDelay = maxTokenDelay
	}
	to := m.ownerIndex
	if m.oneIn(3) {
		to = m.random.IntN(entryCount)
	}
	m.inFlight = append(m.inFlight, message{to: to, from: from, request: request})
}

func (m *model) indexOf(n *entry) int {
	for i, other := range m.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// advance lets a random time pass in steps. After each step, messages are delivered
// and, under load, requests are sent.
func (m *model) advance(t *rapid.T) {
	for range 1 + m.random.IntN(30) {
		m.advanceClock()
		m.deliverMessages(t)
		if m.underLoad {
			m.admitRequests(t)
		}
	}
}

// toggleLoad switches between idle periods, in which every bucket fills, and load,
// under which every entry takes all tokens that it can get.
func (m *model) toggleLoad(*rapid.T) { m.underLoad = !m.underLoad }

func (m *model) advanceClock() {
	for range 1 + m.random.IntN([]int{4, 40, 400}[m.random.IntN(3)]) {
		m.now++
		m.updateMeters()
	}
	for i, n := range m.nodes {
		if n.paused {
			continue
		}
		m.sendRequest(i, n.share.Tick(m.localTime(n)))
		n.owner.Tick(m.localTime(n))
		if !m.oneIn(4) {
			if !m.partitioned[i] {
				m.applyControlLog(n)
			}
			m.renewAuthority(n)
		}
	}
}

func (m *model) applyControlLog(n *entry) {
	now := m.localTime(n)
	for ; n.appliedChanges < len(m.controlLog); n.appliedChanges++ {
		c := m.controlLog[n.appliedChanges]
		if c.config != nil {
			n.share.Configure(now, *c.config)
			n.owner.Configure(now, *c.config)
			continue
		}
		n.share.SetView(now, c.view)
	}
	n.share.SetFreshUntil(now, now+timing.View)
	n.owner.SetFreshUntil(now, now+timing.View)
}

func (m *model) renewAuthority(n *entry) {
	if n.epoch == m.epoch && n.epoch > 0 {
		n.owner.SetAuthorityUntil(m.localTime(n), m.localTime(n)+timing.Authority)
	}
}

func (m *model) admitRequests(*rapid.T) {
	for i, n := range m.nodes {
		if n.paused || m.oneIn(4) {
			continue
		}
		for range 200 {
			decision := n.share.Admit(m.localTime(n), 1, false)
			m.sendRequest(i, decision.Request)
			if decision.Admitted {
				m.countAdmission()
			}
		}
	}
}

func (m *model) countAdmission() {
	m.admitted++
	for _, meter := range m.meters {
		meter.Admitted(m.now, 1)
	}
}

func (m *model) deliverMessages(*rapid.T) {
	for range 1 + m.random.IntN(12) {
		if len(m.inFlight) == 0 {
			return
		}
		i := m.random.IntN(len(m.inFlight))
		msg := m.inFlight[i]
		n := m.nodes[msg.to]
		if n.paused {
			continue
		}
		if !m.oneIn(10) {
			m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
		}
		if m.oneIn(10) {
			continue
		}
		if msg.request != nil {
			grant := n.owner.Lease(m.localTime(n), *msg.request)
			m.inFlight = append(m.inFlight, message{to: msg.from, from: msg.to, grant: &grant})
			continue
		}
		n.share.HandleGrant(m.localTime(n), *msg.grant)
	}
}

func (m *model) changeOwner(*rapid.T) {
	n := m.randomEntry()
	if n.paused || !m.oneIn(3) {
		return
	}
	// In half of the cases, try a second change at once, before the authority of
	// the first owner has ended.
	if m.oneIn(2) {
		defer m.changeOwner(nil)
	}
	m.epoch++
	released, level := false, 0.0
	if m.ownerIndex >= 0 && !m.nodes[m.ownerIndex].paused && m.oneIn(2) {
		old := m.nodes[m.ownerIndex]
		level, released = old.owner.Release(m.localTime(old))
	}
	m.ownerIndex, n.epoch = m.indexOf(n), m.epoch
	if released {
		n.owner.TakeOverReleased(m.localTime(n), m.epoch, level)
	} else {
		n.owner.TakeOver(m.localTime(n), m.epoch)
	}
	m.renewAuthority(n)
}

func (m *model) publishChange(*rapid.T) {
	if !m.oneIn(2) {
		return
	}
	if m.oneIn(2) {
		view := entryIDs(entryCount)
		m.random.Shuffle(entryCount, func(i, j int) { view[i], view[j] = view[j], view[i] })
		m.controlLog = append(m.controlLog, change{at: m.now, view: view[:m.random.IntN(entryCount+1)]})
		return
	}
	next := m.randomConfig()
	m.controlLog = append(m.controlLog, change{at: m.now, config: &next})
	m.configChanges = append(m.configChanges, change{at: m.now, config: &next})
	m.updateMeters()
}

// toggleOutage starts an outage of the control stream at random entries, or ends
// the current one. Changes that are published during the outage reach the entries
// at different times.
func (m *model) toggleOutage(t *rapid.T) {
	if m.partitioned != [entryCount]bool{} || !m.oneIn(4) {
		m.partitioned = [entryCount]bool{}
		return
	}
	for i := range m.partitioned {
		m.partitioned[i] = m.oneIn(2)
	}
	for range m.random.IntN(3) {
		m.publishChange(t)
		m.advance(t)
	}
}

// lowerLimitsAfterClaim divides the account's limits by four while a new owner may
// still wait for the end of its predecessor's authority.
func (m *model) lowerLimitsAfterClaim(t *rapid.T) {
	if !m.oneIn(4) {
		return
	}
	m.changeOwner(t)
	m.advance(t)
	next := *m.configChanges[len(m.configChanges)-1].config
	next.Rate, next.Burst = next.Rate/4, max(1, next.Burst/4)
	m.controlLog = append(m.controlLog, change{at: m.now, config: &next})
	m.configChanges = append(m.configChanges, change{at: m.now, config: &next})
	m.updateMeters()
}

func (m *model) togglePause(*rapid.T) {
	n := m.randomEntry()
	if n.paused || m.oneIn(4) {
		n.paused = !n.paused
	}
}

// stepClock steps the clock of an entry: forward by more than MaxGap, or backward
// directly after a call, so that the step is longer than the time since that call.
// Package limit cannot detect smaller steps.
func (m *model) stepClock(*rapid.T) {
	n := m.randomEntry()
	if n.paused || !m.oneIn(3) {
		return
	}
	n.share.Tick(m.localTime(n))
	n.owner.Tick(m.localTime(n))
	by := clock.Millis(1 + m.random.IntN(20_000))
	if m.oneIn(2) {
		n.clockOffset -= by
	} else {
		n.clockOffset += by + timing.MaxGap
	}
	n.share.Tick(m.localTime(n))
	n.owner.Tick(m.localTime(n))
}

func (m *model) checkInvariant(t *rapid.T) {
	for _, meter := range m.meters {
		if over := meter.Excess(); over > 0 {
			t.Fatalf("admissions exceed burst + rate*t by %.3f tokens", over)
		}
	}
}

// TestNoOverAdmission guards against admissions above burst + rate*t in any
// interval, under message loss, paused entries, clock steps and changes of owner,
// view and limits.
func TestNoOverAdmission(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.advance, "pass on": m.advance, "pass more": m.advance, "toggle": m.toggleLoad, "admit": m.admitRequests, "deliver": m.deliverMessages,
			"claim": m.changeOwner, "change": m.publishChange, "pause": m.togglePause, "step": m.stepClock,
			"outage": m.toggleOutage, "lower": m.lowerLimitsAfterClaim, "pass again": m.advance, "pass further": m.advance, "": m.checkInvariant,
		})
		total += m.admitted
	})
	t.Logf("%d admissions", total)
	if total < 50_000 {
		t.Fatalf("only %d admissions: the test does not exercise the pool", total)
	}
}
