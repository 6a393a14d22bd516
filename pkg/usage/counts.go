// Package usage counts what each client account received: answered and refused
// requests, tokens, and the latencies of its programs and alarm calls. The counts grow
// from the start of a process and are never reset. A report subtracts an earlier
// sample of every process from a later one, so that the operator chooses the window
// and a process keeps no history.
package usage

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxLatency is the longest time that a histogram can record. Longer times are
	// recorded as maxLatency.
	maxLatency = 8 * clock.Hour
	// latencyDigits is the precision of the histograms in significant decimal digits.
	// With one digit a histogram takes about 2.7 KB.
	latencyDigits = 1
)

// Counts holds the counts of one account since the start of a process, or within a
// window. The fields are exported because Counts is sent between processes as JSON.
type Counts struct {
	// Answered counts the answered requests that were charged to the account's rate
	// limit.
	Answered int64 `json:"answered"`
	// Refused counts the refused requests by refusal code.
	Refused map[spool.Code]int64 `json:"refused,omitempty"`
	// PromptTokens, CachedTokens and GeneratedTokens are the sums of the token counts
	// that the engines reported for the account's model calls. CachedTokens are the
	// prompt tokens that an engine took from its prefix cache.
	PromptTokens    int64 `json:"promptTokens"`
	CachedTokens    int64 `json:"cachedTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// RecomputedTokens counts the prompt tokens that an engine had already computed in
	// an earlier turn of the program and computed again because they were not cached.
	RecomputedTokens int64 `json:"recomputedTokens"`
	// Programs holds the times from start to end of the root programs that their callers
	// ended.
	Programs Latencies `json:"programs"`
	// Alarms holds the times from arrival to response of the alarm calls.
	Alarms Latencies `json:"alarms"`
}

// Latencies is a histogram of times in milliseconds.
type Latencies struct {
	// Buckets are the counts of the histogram buckets. Trailing zeros are left out.
	Buckets []int64 `json:"buckets,omitempty"`
}

// newHistogram returns an empty histogram of times from 1 ms to maxLatency.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), latencyDigits)
}

// latenciesOf returns the serializable form of a histogram.
func latenciesOf(h *hdrhistogram.Histogram) Latencies {
	buckets := h.Export().Counts
	for len(buckets) > 0 && buckets[len(buckets)-1] == 0 {
		buckets = buckets[:len(buckets)-1]
	}
	return Latencies{Buckets: buckets}
}

// histogram returns the histogram with the counts in l.Buckets.
func (l Latencies) histogram() *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	copy(snapshot.Counts, l.Buckets)
	return hdrhistogram.Import(snapshot)
}

// Count returns the number of recorded times.
func (l Latencies) Count() (count int64) {
	for _, bucket := range l.Buckets {
		count += bucket
	}
	return count
}

// Quantile returns the percentile of the recorded times for percent, from 0 to 100, in
// milliseconds. It returns 0 if no time was recorded.
func (l Latencies) Quantile(percent float64) clock.Millis {
	return clock.Millis(l.histogram().ValueAtQuantile(percent))
}

// addScaled returns l + sign*other for each bucket. sign is 1 or -1.
func (l Latencies) addScaled(other Latencies, sign int64) Latencies {
	buckets := make([]int64, max(len(l.Buckets), len(other.Buckets)))
	copy(buckets, l.Buckets)
	for i, count := range other.Buckets {
		buckets[i] += sign * count
	}
	return Latencies{Buckets: buckets}
}

// addScaled returns c + sign*other for each count. sign is 1 or -1. It changes neither
// c nor other.
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
