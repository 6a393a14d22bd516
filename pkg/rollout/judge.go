package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// alarmLevel is the log likelihood ratio at which a version counts as bad. With a
	// share of bad answers that is not higher than the old version's, it is reached once in
	// some e^7, that is 1,100, runs of answers.
	alarmLevel = 7.0
	// slowAlarmLevel is that for slow answers, which come in groups: an endpoint that is slow
	// for 600 ms has several. With alarmLevel, a good version was rolled back in 6 of 40 runs
	// with such endpoints at 400 requests a second.
	slowAlarmLevel = 12.0
	// acceptLevel is the log likelihood ratio for a version to be accepted: a bad one is
	// with a probability of at most e^-3.9, that is 0.02. routeLevel is that of one route.
	acceptLevel = 3.9
	routeLevel  = 1.1
	// routeAnswers is the number of answers of the new version that each route needs, and
	// routeMatters that of all answers from which on a route is judged.
	routeAnswers = 12
	rareAnswers  = 9
	routeMatters = 5
	// recentAnswers is the number of answers that are needed after loadFrom.
	recentAnswers = 12
	// failGap and slowGap are the differences between the share of bad answers of a good
	// and of a bad version. failFloor and slowFloor are added to the old version's share.
	// Endpoints differ in speed, so the share of slow answers varies more.
	failGap, failFloor = 0.10, 0.01
	slowGap, slowFloor = 0.20, 0.05
	// With many answers, smaller differences show: the gap for the acceptance is acceptGaps
	// times the least gap that clean answers of that number exclude, but at least
	// leastFailGap and leastSlowGap. With the full gaps, versions that fail 0.05 of their
	// answers were completed in 6 of 40 runs, and with 0.1 of slow ones in 30.
	acceptGaps                 = 2
	leastFailGap, leastSlowGap = 0.03, 0.08
	// routeGap is that difference for the acceptance of one route, which has few answers.
	routeGap = 0.30
	// baselineFactor multiplies the old version's share of bad answers.
	baselineFactor = 1.5
	// slowMedian and slowTail times the old version's median and 90th percentile is the
	// duration from which an answer is slow.
	slowMedian, slowTail = 2.0, 1.25
	// baselineSpan is the number of seconds over which the old version's answers are
	// compared, and baselineAnswers the least number; all answers so far are used if there
	// are fewer. settleFor is the time after which an answer of the new version is compared,
	// so that the old answers of the same time are known: with 0, a sudden slowness of the
	// whole service counted against the new version.
	baselineSpan    = 4
	baselineAnswers = 20
	settleFor       = 750 * clock.Millis(1)
	// A version is not accepted if it has more bad answers than aboveAnswers and the old
	// version's share times baselineFactor plus aboveFloor.
	aboveAnswers = 2.0
	aboveFloor   = 0.03
	// badLimit is the number of bad answers from which on a share of twice the old
	// version's suffices. It is below the 50 from which on the time to a rollback counts.
	badLimit = 30
	// badMargin is added to that share. With 0.06, a version that is four times slower for
	// 0.15 of its answers was completed in 18 of 40 runs with endpoints of unequal speed;
	// with 0.02, good versions were rolled back in 4 of 40.
	badMargin = 0.025
)

// allRoutes is the key of the evidence over all routes.
const allRoutes = "*"

// trialCount counts the results of one kind of test.
type trialCount struct{ bad, total int64 }

// test compares the share of bad answers of the new version with a share that is derived
// from the old version's.
type test struct {
	name string
	// gap is the difference between the shares of a good and a bad version for the alarm,
	// and leastGap that for the acceptance with many answers; level is that of the alarm.
	gap, leastGap, floor, level float64
	// alarm is the sum of the log likelihood ratios since it was last 0, which it never
	// goes below. It shows a version that becomes bad later.
	alarm float64
	// counted holds all answers of the new version, recent those after loadFrom, and
	// expected the sum over counted of the share of bad answers of the old version.
	counted, recent trialCount
	expected        float64
}

// ratios returns the log likelihood ratios of a bad and of another answer.
func (t *test) ratios(baseline, gap float64) (bad, good float64) {
	p0 := min(0.6, t.floor+baselineFactor*baseline)
	p1 := min(0.95, p0+gap)
	return math.Log(p1 / p0), math.Log((1 - p1) / (1 - p0))
}

func (t *test) update(bad, total int64, baseline float64, isLoaded bool) {
	t.expected += baseline * float64(total)
	forBad, forGood := t.ratios(baseline, t.gap)
	t.alarm = max(0, t.alarm+float64(bad)*forBad+float64(total-bad)*forGood)
	t.counted.bad += bad
	t.counted.total += total
	if isLoaded {
		t.recent.bad += bad
		t.recent.total += total
	}
}

// baseline returns the share of bad answers of the old version at the times of the answers
// of the new one.
func (t *test) baseline() float64 { return t.expected / float64(max(1, t.counted.total)) }

// isBad reports whether the evidence says that the version is bad.
func (t *test) isBad() bool {
	isMany := t.counted.bad >= badLimit && float64(t.counted.bad) > (2*t.baseline()+badMargin)*float64(t.counted.total)
	return t.alarm >= t.level || isMany
}

// score returns the log likelihood ratio of all answers in favour of a good version.
func (t *test) score(gap float64) float64 {
	forBad, forGood := t.ratios(t.baseline(), gap)
	return -float64(t.counted.bad)*forBad - float64(t.counted.total-t.counted.bad)*forGood
}

// isAboveOld reports whether the share of bad answers is clearly above the old version's.
func (t *test) isAboveOld() bool {
	return float64(t.counted.bad) > aboveAnswers+(baselineFactor*t.baseline()+min(t.floor, aboveFloor))*float64(t.counted.total)
}

// acceptGap returns the gap for the acceptance. It is at least three standard deviations of
// the share of bad answers that the old version leads to expect.
func (t *test) acceptGap() float64 {
	n, expected := float64(max(1, t.counted.total)), baselineFactor*t.baseline()
	deviation := math.Sqrt(expected * max(0, 1-expected) / n)
	return min(t.gap, max(t.leastGap, acceptGaps*acceptLevel/n, 3*deviation))
}

func (t *test) String() string {
	return fmt.Sprintf("%s %d of %d, old share %.3f, alarm %.1f", t.name, t.counted.bad, t.counted.total, t.baseline(), t.alarm)
}

// evidence holds the answers on one route, or on all.
type evidence struct {
	old, new Counts
	// seconds holds the old version's answers of the last baselineSpan seconds, by second.
	seconds            map[int64]*Counts
	failed, late, slow test
}

func newEvidence() *evidence {
	return &evidence{
		old: newCounts(), new: newCounts(), seconds: map[int64]*Counts{},
		failed: test{name: "failed", gap: failGap, leastGap: leastFailGap, floor: failFloor, level: alarmLevel},
		late:   test{name: "late", gap: slowGap, leastGap: leastSlowGap, floor: slowFloor, level: slowAlarmLevel},
		slow:   test{name: "slow events", gap: slowGap, leastGap: leastSlowGap, floor: slowFloor, level: slowAlarmLevel},
	}
}

func (e *evidence) tests() []*test { return []*test{&e.failed, &e.late, &e.slow} }

// addOld adds answers of the old version.
func (e *evidence) addOld(now clock.Millis, counts Counts) {
	second := int64(now / clock.Second)
	if e.seconds[second] == nil {
		fresh := newCounts()
		e.seconds[second] = &fresh
	}
	e.seconds[second].add(counts)
	maps.DeleteFunc(e.seconds, func(at int64, _ *Counts) bool { return at <= second-baselineSpan })
	e.old.add(counts)
}

// addNew judges answers of the new version. all, unless nil, is the evidence over all
// routes, to which it adds the results for the durations: those of different routes cannot
// be compared.
func (e *evidence) addNew(counts Counts, isLoaded bool, all *evidence) {
	e.new.add(counts)
	baseline := e.baseline()
	share := 0.0
	if ended := baseline.ended(); ended > 0 {
		share = float64(baseline.Failed) / float64(ended)
	}
	e.failed.update(counts.Failed, counts.ended(), share, isLoaded)
	if all == nil {
		return
	}
	bad, total, share := durations(baseline.First, counts.First, counts.Cut)
	e.late.update(bad, total, share, isLoaded)
	all.late.update(bad, total, share, isLoaded)
	bad, total, share = durations(baseline.Pace, counts.Pace, nil)
	e.slow.update(bad, total, share, isLoaded)
	all.slow.update(bad, total, share, isLoaded)
}

// baseline returns the answers of the old version that new ones are compared with.
func (e *evidence) baseline() Counts {
	recent := newCounts()
	for _, counts := range e.seconds {
		recent.add(*counts)
	}
	if recent.ended() < baselineAnswers {
		return e.old
	}
	return recent
}

// durations returns the number of durations that are long for the old version, that of all
// and the share of long ones of the old version. Requests whose caller left count only if
// they had lasted that long already. Without an old answer nothing is known.
func durations(old, added, cut Histogram) (bad, total int64, baseline float64) {
	known := old.total()
	if known == 0 {
		return 0, 0, 0
	}
	limit := max(old.quantile(0.5)+bucketsOf(slowMedian), old.quantile(0.9)+bucketsOf(slowTail))
	long := cut.above(limit)
	return added.above(limit) + long, added.total() + long, float64(old.above(limit)) / float64(known)
}

// bucketsOf returns the number of buckets that a factor spans.
func bucketsOf(factor float64) int { return int(math.Round(math.Log(factor) / math.Log(bucketRatio))) }

// judge collects the evidence of all gateways.
type judge struct {
	routes map[string]*evidence
	// unsettled holds answers of the new version that are younger than settleFor, oldest
	// first.
	unsettled []unsettled
}

type unsettled struct {
	at       clock.Millis
	routes   map[string]RouteCounts
	isLoaded bool
}

func newJudge() *judge { return &judge{routes: map[string]*evidence{allRoutes: newEvidence()}} }

// add adds the answers of one report since the previous one. Those of the old version count
// at once.
func (j *judge) add(now clock.Millis, routes map[string]RouteCounts, isLoaded bool) {
	sum := newCounts()
	for route, counts := range routes {
		if j.routes[route] == nil {
			j.routes[route] = newEvidence()
		}
		j.routes[route].addOld(now, counts.Old)
		sum.add(Counts{Good: counts.Old.Good, Failed: counts.Old.Failed})
	}
	j.routes[allRoutes].addOld(now, sum)
	j.unsettled = append(j.unsettled, unsettled{at: now, routes: routes, isLoaded: isLoaded})
}

// settle judges the answers of the new version that were reported up to a time.
func (j *judge) settle(until clock.Millis) {
	for len(j.unsettled) > 0 && j.unsettled[0].at <= until {
		next := j.unsettled[0]
		j.unsettled = j.unsettled[1:]
		all, sum := j.routes[allRoutes], newCounts()
		for _, route := range slices.Sorted(maps.Keys(next.routes)) {
			counts := next.routes[route].New
			j.routes[route].addNew(counts, next.isLoaded, all)
			sum.add(Counts{Good: counts.Good, Failed: counts.Failed})
		}
		all.addNew(sum, next.isLoaded, nil)
	}
}

// verdict returns why the version is bad; empty if nothing says so.
func (j *judge) verdict() string {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		for _, t := range j.routes[route].tests() {
			if t.isBad() {
				return fmt.Sprintf("route %q: %s", route, t)
			}
		}
	}
	return ""
}

// isJudged reports whether a route needs answers of the new version.
func (e *evidence) isJudged() bool { return e.old.ended()+e.new.ended() >= routeMatters }

// needed returns the number of answers of the new version that a route needs. With fewer
// than rareAnswers, a version that fails a third of the requests of a rare route was
// completed in a tenth of the runs.
func (e *evidence) needed() int64 {
	return max(rareAnswers, min(routeAnswers, (e.old.ended()+e.new.ended())/2))
}

// missing returns what the version needs to be accepted; empty if nothing is missing.
func (j *judge) missing() string {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		e := j.routes[route]
		if route == allRoutes || !e.isJudged() {
			continue
		}
		if e.new.ended() < e.needed() || e.late.counted.total < min(e.needed(), e.new.Good) {
			return fmt.Sprintf("route %q has %d of %d answers", route, e.new.ended(), e.needed())
		}
		for _, t := range e.tests() {
			if t.counted.total > 0 && t.score(max(t.gap, routeGap)) < routeLevel || t.alarm >= t.level/2 {
				return fmt.Sprintf("route %q is not clear: %s", route, t)
			}
		}
	}
	all := j.routes[allRoutes]
	if all.failed.recent.total < recentAnswers {
		return fmt.Sprintf("%d of %d answers under load", all.failed.recent.total, recentAnswers)
	}
	for _, t := range all.tests() {
		isNeeded := t != &all.slow || t.counted.total > 0
		if isNeeded && (t.score(t.acceptGap()) < acceptLevel || t.alarm >= t.level/2 || t.isAboveOld()) {
			return fmt.Sprintf("all routes are not clear: %s", t)
		}
	}
	return ""
}

// wanted lists the routes on which answers are missing. The target is higher than needed,
// so that late badness is noticed too.
func (j *judge) wanted() (routes []string) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		if route != allRoutes && j.routes[route].new.ended() < routeAnswers+routeAnswers/4 {
			routes = append(routes, route)
		}
	}
	return routes
}

// summary describes the evidence for the log.
func (j *judge) summary() (text string) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		for _, t := range j.routes[route].tests() {
			if t.counted.total > 0 {
				text += fmt.Sprintf("[%q %s] ", route, t)
			}
		}
	}
	return text
}
