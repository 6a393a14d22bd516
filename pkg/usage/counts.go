// Package usage counts the service that each client account received: answered and
// refused calls, recomputed prompt tokens, and the latencies of its programs. The
// counts only grow. A report compares two samples of every process, so that the
// operator chooses the window and a process keeps no history.
package usage

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxLatency is the upper bound of the histograms. Longer times count as
	// maxLatency.
	maxLatency = 8 * clock.Hour
	// latencyDigits is the precision of the histograms in significant decimal digits.
	// With one digit a histogram takes about 2.7 KB.
	latencyDigits = 1
)

// Counts holds the counts of one account. They are sent between processes, so the
// fields are exported for the codec.
type Counts struct {
	// Answered counts the answered requests that were charged to the account's rate
	// limit.
	Answered int64 `json:"answered"`
	// Refused counts the refused requests by refusal code.
	Refused map[spool.Code]int64 `json:"refused,omitempty"`
	// PromptTokens, CachedTokens and GeneratedTokens are sums of the counts reported by
	// the engines.
	PromptTokens    int64 `json:"promptTokens"`
	CachedTokens    int64 `json:"cachedTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// RecomputedTokens counts the prompt tokens that were already computed for an
	// earlier turn of the program and were computed again.
	RecomputedTokens int64 `json:"recomputedTokens"`
	// Programs holds the times from start to end of the root programs that were ended
	// by their callers.
	Programs Latencies `json:"programs"`
	// Alarms holds the times of alarm calls from arrival to response.
	Alarms Latencies `json:"alarms"`
}

// Latencies is a histogram of times in milliseconds.
type Latencies struct {
	// Buckets are the counts of the histogram without trailing zeros.
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

// Count returns the number of recorded times.
func (l Latencies) Count() (count int64) {
	for _, bucket := range l.Buckets {
		count += bucket
	}
	return count
}

// Quantile returns the time that the given percentage of the recorded times, 0 to 100,
// does not exceed. It returns 0 if nothing was recorded.
func (l Latencies) Quantile(percent float64) clock.Millis {
	return clock.Millis(l.histogram().ValueAtQuantile(percent))
}

// addScaled returns the sum of l and other multiplied by sign, which is 1 or -1.
func (l Latencies) addScaled(other Latencies, sign int64) Latencies {
	buckets := make([]int64, max(len(l.Buckets), len(other.Buckets)))
	copy(buckets, l.Buckets)
	for i, count := range other.Buckets {
		buckets[i] += sign * count
	}
	return Latencies{Buckets: buckets}
}

// addScaled returns the sum of c and other multiplied by sign, which is 1 or -1.
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
