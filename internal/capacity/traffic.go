package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/internal/demo"
	_ "github.com/baobabspool/baobabspool/pkg/policy" // Registers the policies.
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// loadTime is the duration of one measurement. It is longer than every answer.
	loadTime = 3 * time.Second
	// answerTokens is the length of the answers under heavy load, in tokens.
	answerTokens = 64
)

// entryPaths are the two paths that a call can take through the system.
var entryPaths = []struct {
	name, what string
	forwarded  bool
}{
	{"owner", "through the entry that owns the program", false},
	{"forwarded", "through an entry that forwards to the owner", true},
}

// The traffic measurements compare the latency of calls through the system with
// that of direct calls to the engines, and measure the processor time of the
// entries. Each entry is a separate process with one core, started by the command
// line entry. Agents, engines and callers share this process.

// lightLoadFirstToken measures the median time to the first token with 2 to 16 callers.
func lightLoadFirstToken(ctx context.Context, entry []string) (all []Series, err error) {
	for _, path := range entryPaths {
		newSeries := func(name, what string) Series {
			return Series{Name: name + "-" + path.name, What: what, XUnit: "callers at a time", YUnit: "ms"}
		}
		direct := newSeries("first-token-direct", "median time to the first token, calling the engine directly, in the run of the next row")
		through := newSeries("first-token", "median time to the first token "+path.what)
		for _, callers := range []int{2, 4, 8, 16} {
			load, err := demo.MeasureLoad(ctx, demo.LoadOptions{
				Entry: entry, Callers: callers, For: loadTime, Tokens: 16, TokenMs: 1, Forwarded: path.forwarded, Direct: true,
			})
			if err != nil {
				return nil, err
			}
			direct.add(float64(callers), load.Direct.First.P50)
			through.add(float64(callers), load.Through.First.P50)
		}
		all = append(all, direct, through)
	}
	return all, nil
}

// heavyLoad measures p95 latencies and the processor time of the entries with 80 to 640
// callers, each of which has one streamed answer at a time.
func heavyLoad(ctx context.Context, entry []string) (all []Series, err error) {
	for _, path := range entryPaths {
		newSeries := func(name, what, unit string) Series {
			return Series{Name: name + "-" + path.name, What: what, XUnit: "tokens/s through the system", YUnit: unit}
		}
		direct := newSeries("loaded-first-direct", "p95 of the first token directly, in the run of the next row", "ms")
		through := newSeries("loaded-first", "p95 of the first token "+path.what, "ms")
		directGap := newSeries("token-gap-direct", "p95 between two tokens directly, in the run of the next row", "ms")
		gap := newSeries("token-gap", "p95 between two tokens "+path.what, "ms")
		cores := newSeries("entry-token-cpu", "cores of one entry with answers of 64 tokens, each of a new program, "+path.what, "cores")
		other := newSeries("other-token-cpu", "cores of the other entry in that run, which holds the records and owns forwarded programs", "cores")
		for _, callers := range []int{80, 160, 320, 640} {
			load, err := demo.MeasureLoad(ctx, demo.LoadOptions{
				Entry: entry, Callers: callers, For: loadTime, Tokens: answerTokens, TokenMs: 20, Forwarded: path.forwarded, Direct: true,
			})
			if err != nil {
				return nil, err
			}
			x := load.TokensPerSecond
			direct.add(x, load.Direct.First.P95)
			through.add(x, load.Through.First.P95)
			directGap.add(x, load.Direct.Gap.P95)
			gap.add(x, load.Through.Gap.P95)
			cores.add(x, load.EntryCores)
			other.add(x, load.OtherCores)
		}
		all = append(all, direct, through, directGap, gap, cores, other)
	}
	return all, nil
}

// requestCost measures the processor time of an entry by the rate of requests with
// answers of one token.
func requestCost(ctx context.Context, entry []string) (all []Series, err error) {
	for _, path := range entryPaths {
		cores := Series{
			Name: "entry-request-cpu-" + path.name, What: "cores of one entry with answers of one token, each of a new program, " + path.what,
			XUnit: "requests/s", YUnit: "cores",
		}
		for _, callers := range []int{1, 2, 4, 8} {
			load, err := demo.MeasureLoad(ctx, demo.LoadOptions{
				Entry: entry, Callers: callers, For: loadTime, Tokens: 1, TokenMs: 10, Forwarded: path.forwarded,
			})
			if err != nil {
				return nil, err
			}
			cores.add(load.RequestsPerSecond, load.EntryCores)
		}
		all = append(all, cores)
	}
	return all, nil
}

func (s *Series) add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// routingCost measures the processor time in which the router "affinity" picks an
// endpoint for one call, by the number of endpoints that it knows.
func routingCost() (Series, error) {
	router, err := spool.Routers.New("affinity", 1, spool.Options{})
	if err != nil {
		return Series{}, err
	}
	return measureSeries("routing-cpu", "one choice of the router affinity", "endpoints known", "µs", []int{16, 64, 256, 1024}, func(count int) float64 {
		endpoints := make([]spool.EndpointView, count)
		for i := range endpoints {
			endpoints[i] = spool.EndpointView{
				ID: spool.EndpointID(fmt.Sprintf("m%05d", i)), FailureDomain: spool.FailureDomain(fmt.Sprint(i % 14)),
				Window: 8, Running: i % 9, ReportedAt: 1000, MillisPerCall: 800, PrefillTokensPerMilli: 20, Share: 1,
			}
		}
		const choices = 2000
		start := cputime.SelfTime()
		for i := range choices {
			call := spool.CallView{Correlation: fmt.Sprint(i), Program: spool.ProgramID(fmt.Sprint(i)), PromptTokens: 4000, MaxTokens: 200}
			router.Pick(1100, call, endpoints)
		}
		return float64((cputime.SelfTime() - start).Microseconds()) / choices
	}), nil
}
