package outlier

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
)

const (
	// goodWeight is what a good result subtracts from a score. An instance that fails less
	// than goodWeight/(1+goodWeight), one of 11 requests, does not accumulate a score. With
	// 0.2, 70 % of the endpoints that fail 0.43 of 10 requests a second were ejected after
	// 1.0 s of shared results, with 0.1 after 0.8 s.
	goodWeight = 0.1
	// maxScore is the score at which an instance is ejected. Two failures do not reach it; at
	// a failing share of 0.43 it takes 6 results in the median.
	maxScore = 2.4
	// scoreWindow is the time in which a score decreases to 1/e without results, so that rare
	// failures of an instance with few requests do not add up.
	scoreWindow = 15 * clock.Second
	// minNewFailures is the least increase of the failures in a view that counts. Smaller
	// ones arise if the view forgets more slowly than assumed, and one failure would
	// otherwise count several times.
	minNewFailures = 0.5
	// ownWindow is the time in which an own result counts 1/e.
	ownWindow = 2 * clock.Second
	// vetoResults is the number of own good results since the last own failure that outweigh
	// failures or lateness that only others have seen. At a failing share of 0.43, 4 good
	// results in a row have a probability of 0.1.
	vetoResults = 3.5
	// ownAverageWeight is the weight of a new result in the own moving averages.
	ownAverageWeight = 0.3
)

// score is the statistic of a sequential test for failures: each failure adds 1, each good
// result subtracts goodWeight, and it is at least 0. Good results before the first failure
// thus do not delay the ejection, and the rate of requests does not matter.
type score struct {
	value float64
	at    clock.Millis
}

func (s *score) add(now clock.Millis, good, failed float64) {
	s.value *= decay(now-s.at, scoreWindow)
	s.at = now
	s.value = max(0, s.value+failed-goodWeight*good)
}

// decay returns the weight of a result after a time, for a window in which it becomes 1/e.
func decay(age, window clock.Millis) float64 {
	return math.Exp(-float64(max(0, age)) / float64(window))
}

// ownResults is what the requests of this gateway have shown of an instance.
type ownResults struct {
	score score
	// good and failed are numbers of results, of which older ones count less; good starts
	// again with each failure. at is the time of the last result.
	good, failed float64
	at           clock.Millis
	// eventMillis and callMillis are moving averages; 0 if unknown.
	eventMillis, callMillis float64
	// answers is the number of good results in total.
	answers int
}

func (o *ownResults) record(now clock.Millis, sample load.Sample) {
	weight := decay(now-o.at, ownWindow)
	o.good, o.failed, o.at = o.good*weight, o.failed*weight, now
	if sample.Outcome == load.Failed {
		o.score.add(now, 0, 1)
		o.good = 0
		o.failed++
		return
	}
	o.score.add(now, 1, 0)
	o.good++
	o.answers++
	eventMillis, callMillis := timesOf(sample)
	o.eventMillis = average(o.eventMillis, eventMillis)
	o.callMillis = average(o.callMillis, callMillis)
}

// contradicts reports whether recent own results say that the instance does not fail.
func (o *ownResults) contradicts(now clock.Millis) bool {
	return o.good*decay(now-o.at, ownWindow) >= vetoResults
}

// timesOf returns the time between two events, or of an answer that is not streamed; 0 where
// the sample does not show it.
func timesOf(sample load.Sample) (eventMillis, callMillis float64) {
	switch {
	case sample.Events > 1:
		return float64(sample.LastEvent-sample.FirstEvent) / float64(sample.Events-1), 0
	case sample.Events == 0:
		return 0, float64(sample.Took)
	default:
		return 0, 0
	}
}

// average returns the moving average after a value; 0 is no value.
func average(old, value float64) float64 {
	switch {
	case value <= 0:
		return old
	case old == 0:
		return value
	default:
		return old + ownAverageWeight*(value-old)
	}
}

// sharedResults is what a view has shown of an instance.
type sharedResults struct {
	score score
	stats load.Stats
	// good and failed are the counters of the last statistics with results, observed at the
	// time at. Later ones are compared with them.
	good, failed float64
	at           clock.Millis
}

// observe compares the statistics of a view with the last ones and returns how many results
// are new. The counters decrease with the window of the view, which the comparison takes
// into account. Statistics without results change nothing: a view that was empty for a
// while would otherwise show old results as new ones.
func (r *sharedResults) observe(now clock.Millis, stats load.Stats, window clock.Millis) (good, failed float64) {
	r.stats = clamp(stats)
	if r.stats.Good == r.good && r.stats.Failed == r.failed || r.stats.Good+r.stats.Failed == 0 {
		return 0, 0
	}
	weight := decay(now-r.at, window)
	good = max(0, r.stats.Good-r.good*weight)
	failed = max(0, r.stats.Failed-r.failed*weight)
	if failed < minNewFailures {
		failed = 0
	}
	r.good, r.failed, r.at = r.stats.Good, r.stats.Failed, now
	r.score.add(now, good, failed)
	return good, failed
}

// clamp replaces values that no instance can have by 0.
func clamp(stats load.Stats) load.Stats {
	for _, value := range []*float64{&stats.EventMillis, &stats.FirstEventMillis, &stats.CallMillis, &stats.Good, &stats.Failed, &stats.Late} {
		if !(*value >= 0) || math.IsInf(*value, 0) {
			*value = 0
		}
	}
	stats.InFlight = max(0, stats.InFlight)
	return stats
}
