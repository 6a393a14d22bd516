package admission_test

import (
	"math/rand/v2"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/admission"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The fleet of deployment 1 at 0.6 of its slots, in steps of time.
const (
	tick         = 5 * clock.Millis(1)
	gateways     = 33
	engines      = 49
	engineSlots  = 6
	engineRoom   = 24
	meanTurns    = 6.5
	meanTurn     = 230.0
	usualStarts  = 0.6 * engines * engineSlots / (meanTurns * meanTurn / 1000)
	reportEvery  = 250 * clock.Millis(1)
	reportDelay  = 200 * clock.Millis(1)
	rateWindow   = 500 * clock.Millis(1)
	maxRetryWait = clock.Second
)

// simProgram is a program; nextAt is when it continues if it waits for no engine.
type simProgram struct {
	account            spool.AccountID
	rank, turns, tries int
	offeredAt, nextAt  clock.Millis
	goal               clock.Millis
	begun              bool
	// left is the rest of the time of the present turn on an engine, level its urgency.
	left   float64
	level  int
	sentAt clock.Millis
	// done tells that the program has ended, and endedAt when it was completed; 0 if it
	// failed.
	done    bool
	endedAt clock.Millis
}

// simFleet runs programs on engines, with a Controller for each gateway. It has no network;
// a request goes to the less loaded of two random engines.
type simFleet struct {
	now         clock.Millis
	random      *rand.Rand
	controllers []*admission.Controller
	engines     [][]*simProgram
	// usable is the number of engines that run, and slowness the factor of turn times.
	usable   int
	slowness float64
	programs []*simProgram
	waiting  []*simProgram
	// counts holds the requests ended and rejected and those expected of the programs started
	// and offered in each tick, and reports what gateways know at a time.
	counts   [][4]float64
	reports  []load.ServiceStats
	viewLost bool
	rate     float64
	account  func() (spool.AccountID, int)
	shares   []float64
	loads    []float64
	refused  int
	rejected int
	// arrivals is the time in milliseconds until the next program arrives.
	arrivals float64
}

func newFleet(seed uint64, options ...admission.Option) *simFleet {
	f := &simFleet{now: 1000, random: rand.New(rand.NewPCG(seed, 1)), usable: engines, slowness: 1, rate: usualStarts, engines: make([][]*simProgram, engines)}
	f.account = func() (spool.AccountID, int) {
		i := f.random.IntN(10)
		return spool.AccountID(rune('a' + i)), i % 2
	}
	for range gateways {
		f.controllers = append(f.controllers, admission.New(f.now, f.view, append(options, admission.WithRandom(f.random.Float64))...))
	}
	return f
}

func (f *simFleet) view(now clock.Millis) load.ServiceStats {
	at := int((now-1000-reportDelay)/reportEvery) - 1
	if f.viewLost || at < 0 {
		return load.ServiceStats{}
	}
	return f.reports[at]
}

// runUntil advances the fleet to a time.
func (f *simFleet) runUntil(end clock.Millis) {
	for ; f.now < end; f.now += tick {
		f.counts = append(f.counts, [4]float64{})
		f.arrive()
		f.runEngines()
		f.waiting = slices.DeleteFunc(f.waiting, f.advance)
		f.report()
	}
}

func (f *simFleet) count(kind int) { f.countRequests(kind, 1) }

func (f *simFleet) countRequests(kind int, requests float64) {
	f.counts[len(f.counts)-1][kind] += requests
}

func (f *simFleet) arrive() {
	if f.rate == 0 {
		return
	}
	for f.arrivals -= float64(tick); f.arrivals < 0; f.arrivals += f.random.ExpFloat64() * 1000 / f.rate {
		turns := 4 + f.random.IntN(6)
		account, rank := f.account()
		p := &simProgram{account: account, rank: rank, turns: turns, offeredAt: f.now, nextAt: f.now, goal: clock.Millis(1.3*float64(turns)*(meanTurn+100)) + 300}
		f.programs, f.waiting = append(f.programs, p), append(f.waiting, p)
	}
}

// advance continues a program that waits; it returns true if it waits no more.
func (f *simFleet) advance(p *simProgram) bool {
	if f.now < p.nextAt {
		return false
	}
	timeLeft := p.offeredAt + 5*p.goal/2 - f.now
	if timeLeft <= 0 {
		p.done = true
		return true
	}
	c := f.controllers[f.random.IntN(gateways)]
	request := admission.Request{Priority: p.rank, Begun: p.begun, FinishIn: max(0, p.offeredAt+p.goal-f.now), Overdue: f.now >= p.offeredAt+p.goal, TimeLeft: timeLeft}
	if !p.begun {
		f.countRequests(3, meanTurns)
		if !c.Admit(f.now, admission.Offer{Rank: p.rank, Account: p.account, Requests: meanTurns}) {
			f.refused++
			p.tries++
			p.nextAt = f.now + min(maxRetryWait, c.RetryAfter(f.now))
			p.done = p.tries > 2
			return p.done
		}
		p.begun = true
		f.countRequests(2, meanTurns)
	}
	if p.left == 0 {
		p.left, p.sentAt = (0.5+f.random.Float64())*meanTurn, f.now
	}
	p.level = c.Urgency(f.now, request)
	offering := c.Offering(f.now, request)
	if offering.TimeShare == 0 {
		p.done = true
		return true
	}
	for range offering.Tries {
		a, b := f.random.IntN(f.usable), f.random.IntN(f.usable)
		if len(f.engines[b]) < len(f.engines[a]) {
			a = b
		}
		if len(f.engines[a]) < engineRoom {
			f.engines[a] = append(f.engines[a], p)
			return true
		}
		f.rejected++
		f.count(1)
		c.RecordRejected(f.now)
	}
	p.nextAt = f.now + offering.MaxPause
	p.done = f.now-p.sentAt > clock.Millis(offering.TimeShare*float64(timeLeft))
	return p.done
}

// runEngines advances the requests at the engines; the most urgent ones have the slots.
func (f *simFleet) runEngines() {
	for i, queue := range f.engines {
		if i >= f.usable {
			f.waiting = append(f.waiting, queue...)
			f.engines[i] = nil
			continue
		}
		running := min(engineSlots, len(queue))
		waiting := queue[running:]
		slices.SortStableFunc(waiting, func(a, b *simProgram) int { return a.level - b.level })
		for _, p := range queue[:running] {
			p.left = max(0, p.left-float64(tick)/f.slowness)
		}
		f.engines[i] = slices.DeleteFunc(queue, func(p *simProgram) bool {
			if p.left > 0 {
				return false
			}
			f.endTurn(p)
			return true
		})
	}
}

func (f *simFleet) endTurn(p *simProgram) {
	f.count(0)
	f.controllers[f.random.IntN(gateways)].RecordAnswered(f.now)
	if p.turns--; p.turns == 0 {
		p.done, p.endedAt = true, f.now
		return
	}
	p.nextAt = f.now + 50 + clock.Millis(f.random.IntN(100))
	f.waiting = append(f.waiting, p)
}

// report writes what the gateways will know, and records the mean share.
func (f *simFleet) report() {
	if (f.now-1000)%reportEvery != 0 {
		return
	}
	stats := load.ServiceStats{Slots: f.usable * engineSlots}
	for _, queue := range f.engines {
		stats.InFlight += len(queue)
	}
	window := f.counts[max(0, len(f.counts)-int(rateWindow/tick)):]
	for _, c := range window {
		stats.EndedPerSecond += c[0] / rateWindow.Duration().Seconds()
		stats.RejectedPerSecond += c[1] / rateWindow.Duration().Seconds()
		stats.StartsPerSecond += c[2] / rateWindow.Duration().Seconds()
		stats.OfferedPerSecond += c[3] / rateWindow.Duration().Seconds()
	}
	f.reports = append(f.reports, stats)
	sum := 0.0
	for _, c := range f.controllers {
		sum += c.Share(f.now)
	}
	f.shares = append(f.shares, sum/gateways)
	f.loads = append(f.loads, float64(stats.InFlight)/float64(stats.Slots))
}

// share returns the mean share at a time.
func (f *simFleet) share(at clock.Millis) float64 { return f.shares[(at-1000)/reportEvery] }

// finished returns the part of the programs first offered in a time that were completed
// within twice their goal, of those that match.
func (f *simFleet) finished(from, to clock.Millis, match func(p *simProgram) bool) float64 {
	return f.finishedWithin(2, from, to, match)
}

// finishedWithin does the same for a number of goals.
func (f *simFleet) finishedWithin(goals, from, to clock.Millis, match func(p *simProgram) bool) float64 {
	total, good := 0.0, 0.0
	for _, p := range f.programs {
		if p.offeredAt < from || p.offeredAt >= to || match != nil && !match(p) {
			continue
		}
		total++
		if p.endedAt > 0 && p.endedAt-p.offeredAt <= goals*p.goal {
			good++
		}
	}
	return good / max(1, total)
}

// signChanges counts how often the share changes its direction between two times by more
// than a threshold.
func (f *simFleet) signChanges(from, to clock.Millis, threshold float64) (changes int) {
	direction, extreme := 0, f.shares[(from-1000)/reportEvery]
	for _, share := range f.shares[(from-1000)/reportEvery : (to-1000)/reportEvery] {
		switch {
		case direction >= 0 && share > extreme || direction <= 0 && share < extreme && direction != 0:
			extreme = share
		case share > extreme+threshold && direction <= 0:
			if direction < 0 {
				changes++
			}
			direction, extreme = 1, share
		case share < extreme-threshold && direction >= 0:
			if direction > 0 {
				changes++
			}
			direction, extreme = -1, share
		}
	}
	return changes
}
