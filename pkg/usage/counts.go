// Package usage counts what each client account was given: calls answered and
// refused, prompt tokens computed again, and how long its programs took. The
// counts only grow; a report compares two samples of every process, so that the
// operator chooses the window and a process keeps no history.
package usage

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// longestLatency bounds the histograms; longer times count as this one.
	maxLatency = 8 * clock.Hour
	// latencyDigits is the precision of the histograms, about 2.7 KB each.
	latencyDigits = 1
)

// Counts are those of one account. They are sent between processes, so the
// fields are exported for the codec.
type Counts struct {
	// Answered counts requests that took part of the account's rate and were
	// answered.
	Answered int64 `json:"answered"`
	// Refused counts refused requests by code.
	Refused map[spool.Code]int64 `json:"refused,omitempty"`
	// PromptTokens, CachedTokens and GeneratedTokens are the engines' counts.
	PromptTokens    int64 `json:"promptTokens"`
	CachedTokens    int64 `json:"cachedTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// RecomputedTokens are prompt tokens that an engine had computed for an
	// earlier turn of the program and computed again.
	RecomputedTokens int64 `json:"recomputedTokens"`
	// Programs holds the times of root programs from start to end, in
	// milliseconds, of those that their callers have ended.
	Programs Latencies `json:"programs"`
	// Alarms holds the times of alarm calls from arrival to answer.
	Alarms Latencies `json:"alarms"`
}

// Latencies is a histogram of times in milliseconds.
type Latencies struct {
	// Buckets are the counts of the histogram without the zeros at its end.
	Buckets []int64 `json:"buckets,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), latencyDigits)
}

func latenciesOf(h *hdrhistogram.Histogram) Latencies {
	buckets := h.Export().Counts
	for len(buckets) > 0 && buckets[len(buckets)-1] == 0 {
		buckets = buckets[:len(buckets)-1]
	}
	return Latencies{Buckets: buckets}
}

func (l Latencies) histogram() *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	copy(snapshot.Counts, l.Buckets)
	return hdrhistogram.Import(snapshot)
}

// Count returns how many times were recorded.
func (l Latencies) Count() (count int64) {
	for _, bucket := range l.Buckets {
		count += bucket
	}
	return count
}

// Quantile returns the time that the given share, 0 to 100, did not exceed; 0
// when nothing was recorded.
func (l Latencies) Quantile(percent float64) clock.Millis {
	return clock.Millis(l.histogram().ValueAtQuantile(percent))
}

func (l Latencies) addScaled(other Latencies, sign int64) Latencies {
	buckets := make([]int64, max(len(l.Buckets), len(other.Buckets)))
	copy(buckets, l.Buckets)
	for i, count := range other.Buckets {
		buckets[i] += sign * count
	}
	return Latencies{Buckets: buckets}
}

// combine adds other, or takes it away with sign -1.
func (c Counts) addScaled(other Counts, sign int64) Counts {
	c.Answered += sign * other.Answered
	c.PromptTokens += sign * other.PromptTokens
	c.CachedTokens += sign * other.CachedTokens
	c.GeneratedTokens += sign * other.GeneratedTokens
	c.RecomputedTokens += sign * other.RecomputedTokens
	refused := maps.Clone(c.Refused)
	for code, count := range other.Refused {
		if refused == nil {
			refused = map[spool.Code]int64{}
		}
		refused[code] += sign * count
	}
	c.Refused = refused
	c.Programs = c.Programs.addScaled(other.Programs, sign)
	c.Alarms = c.Alarms.addScaled(other.Alarms, sign)
	return c
}
