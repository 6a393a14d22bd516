package capacity

import (
	"context"
	"fmt"

	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/internal/demo"
	_ "github.com/baobabspool/baobabspool/pkg/policy" // Registers the policies.
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// firstToken measures the median time to the first token, directly and through
// the system, and the processor time per token.
func firstToken(ctx context.Context) (direct, through, perToken Series, err error) {
	direct = Series{Name: "first-token-direct", What: "median time to the first token, calling the engine directly", XUnit: "callers at a time", YUnit: "ms"}
	through = Series{Name: "first-token-through", What: "the same through entry and agent, in the same run", XUnit: "callers at a time", YUnit: "ms"}
	perToken = Series{Name: "token-cpu", What: "processor time per token of entries, agents, engines and callers together", XUnit: "tokens/s", YUnit: "µs of a core"}
	const calls, tokens = 12, 64
	for _, callers := range []int{2, 4, 8, 16} {
		result, err := demo.MeasureOverhead(ctx, callers, calls, tokens)
		if err != nil {
			return direct, through, perToken, err
		}
		x := float64(callers)
		direct.Points = append(direct.Points, Point{x, result.Direct})
		through.Points = append(through.Points, Point{x, result.Through})
		perToken.Points = append(perToken.Points, Point{result.TokensPerSecond, result.CoreMicrosPerToken})
	}
	return direct, through, perToken, nil
}

// routing measures one choice of the router.
func routing() (Series, error) {
	router, err := spool.Routers.New("affinity", 1, spool.Options{})
	if err != nil {
		return Series{}, err
	}
	return series("routing-cpu", "one choice of the router affinity", "endpoints known", "µs", []int{16, 64, 256, 1024}, func(count int) float64 {
		endpoints := make([]spool.EndpointView, count)
		for i := range endpoints {
			endpoints[i] = spool.EndpointView{
				ID: spool.EndpointID(fmt.Sprintf("m%05d", i)), FailureDomain: spool.FailureDomain(fmt.Sprint(i % 14)),
				Window: 8, Running: i % 9, ReportedAt: 1000, MillisPerCall: 800, PrefillTokensPerMilli: 20, Share: 1,
			}
		}
		const choices = 2000
		start := cputime.Used()
		for i := range choices {
			call := spool.CallView{Correlation: fmt.Sprint(i), Program: spool.ProgramID(fmt.Sprint(i)), PromptTokens: 4000, MaxTokens: 200}
			router.Pick(1100, call, endpoints)
		}
		return float64((cputime.Used() - start).Microseconds()) / choices
	}), nil
}
