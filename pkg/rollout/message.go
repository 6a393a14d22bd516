package rollout

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// bucketRatio is the ratio of the bounds of two neighbouring buckets of a Histogram.
const bucketRatio = 1.2

// Histogram counts durations. Bucket 0 holds those below 1 ms, and bucket n those from
// bucketRatio^(n-1) ms on.
type Histogram map[int]int64

func bucketOf(duration clock.Millis) int {
	if duration < 1 {
		return 0
	}
	return 1 + int(math.Log(float64(duration))/math.Log(bucketRatio))
}

// quantile returns the bucket that contains a quantile; 0 if there are no durations.
func (h Histogram) quantile(q float64) int {
	rest := q * float64(h.total())
	highest := 0
	for bucket := range h {
		highest = max(highest, bucket)
	}
	for bucket := 0; bucket < highest; bucket++ {
		if rest -= float64(h[bucket]); rest <= 0 {
			return bucket
		}
	}
	return highest
}

func (h Histogram) total() (total int64) {
	for _, count := range h {
		total += count
	}
	return total
}

// above returns the number of durations in buckets above a bucket.
func (h Histogram) above(bucket int) (count int64) {
	for other, n := range h {
		if other > bucket {
			count += n
		}
	}
	return count
}

func (h Histogram) add(other Histogram) {
	for bucket, count := range other {
		h[bucket] += count
	}
}

// minus returns h without the durations of an earlier state of it.
func (h Histogram) minus(earlier Histogram) Histogram {
	rest := Histogram{}
	for bucket, count := range h {
		if n := count - earlier[bucket]; n > 0 {
			rest[bucket] = n
		}
	}
	return rest
}

// Counts describes the answers of a version on a route.
type Counts struct {
	Good   int64 `json:"good"`
	Failed int64 `json:"failed,omitempty"`
	// First holds the times to the first event or, without events, to the whole answer;
	// Pace those between two events; Cut the ages of requests whose caller left before.
	First Histogram `json:"first,omitempty"`
	Pace  Histogram `json:"pace,omitempty"`
	Cut   Histogram `json:"cut,omitempty"`
}

func newCounts() Counts { return Counts{First: Histogram{}, Pace: Histogram{}, Cut: Histogram{}} }

func (c Counts) ended() int64 { return c.Good + c.Failed }

func (c *Counts) add(other Counts) {
	c.Good += other.Good
	c.Failed += other.Failed
	c.First.add(other.First)
	c.Pace.add(other.Pace)
	c.Cut.add(other.Cut)
}

func (c Counts) minus(earlier Counts) Counts {
	return Counts{
		Good: max(0, c.Good-earlier.Good), Failed: max(0, c.Failed-earlier.Failed),
		First: c.First.minus(earlier.First), Pace: c.Pace.minus(earlier.Pace), Cut: c.Cut.minus(earlier.Cut),
	}
}

// clone returns a copy that shares nothing with c.
func (c Counts) clone() Counts {
	copied := newCounts()
	copied.add(c)
	return copied
}

// RouteCounts holds the answers on a route.
type RouteCounts struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Report is what a gateway tells the controller. All counts are sums since the gateway
// learnt of the order, so that lost and repeated reports do no harm.
type Report struct {
	Service spool.ServiceName `json:"service"`
	Order   int64             `json:"order"`
	Gateway spool.NodeID      `json:"gateway"`
	// Incarnation differs for each process of a gateway. Sequence increases with its
	// reports.
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	Phase       Phase  `json:"phase"`
	// Sent is the number of requests to the new version during the trial. Ceiling is the
	// number up to which the gateway may send at present, at least Sent.
	Sent    int64 `json:"sent"`
	Ceiling int64 `json:"ceiling"`
	// OldInFlight is the number of requests at old endpoints.
	OldInFlight int64 `json:"oldInFlight"`
	// Routes holds the answers by route.
	Routes map[string]RouteCounts `json:"routes,omitempty"`
}

// Reply is the controller's answer to a Report.
type Reply struct {
	Phase Phase `json:"phase"`
	// Ceiling is the value of Report.Sent up to which the gateway may send to the new
	// version within GrantLife.
	Ceiling int64 `json:"ceiling"`
	// Focus is the number of new endpoints to which the requests of the trial go.
	Focus int `json:"focus,omitempty"`
	// Prefer lists the routes on which the version needs more answers.
	Prefer []string `json:"prefer,omitempty"`
}

// answered returns the number of answers of both versions.
func (r Report) answered() (count int64) {
	for _, route := range r.Routes {
		count += route.Old.ended() + route.New.ended()
	}
	return count
}
