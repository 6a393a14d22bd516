package demo

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The comparison repeats a cell with faults of package bench, with real entries and
// agents and about sixty times as fast: answers have 40 tokens of 4 ms each instead of
// 250 tokens of 25 to 37 ms. Time limits that package bench sets in seconds are divided
// by about 60 as well. comparePrefillSpeed is in tokens per millisecond.
// compareDrainAt, compareReturnAt and compareServiceEnd are times since the end of the
// warm-up. compareMaxRetryTime bounds the time for which a request is repeated.
const (
	compareSlots           = 4
	compareGeneratedTokens = 40
	compareTokenMs         = 4.0
	comparePrefillSpeed    = 470.0
	compareCacheTokens     = 100_000
	compareMeanPause       = 55 * time.Millisecond
	compareWarmUp          = 5 * time.Second
	compareWindow          = 28 * time.Second
	compareDrainAt         = 6 * time.Second
	compareReturnAt        = 12 * time.Second
	compareServiceEnd      = 16 * time.Second
	compareMaxRetryTime    = 2 * time.Second
	compareWarmAfterCalls  = 8
	// compareCallsPerProgram is the mean number of calls of a program. The start
	// of a program also counts as a request for the account's rate limit.
	compareCallsPerProgram = 9.0
)

// compareAccounts are the client accounts with their parts of the capacity. The last one
// sends four times its rate.
var compareAccounts = []struct {
	id   spool.AccountID
	part float64
}{{"large", 0.45}, {"middle", 0.3}, {"small", 0.15}, {"greedy", 0.1}}

// ComparisonResult holds the results of one side of the comparison, which Name names:
// the baseline or the default policies.
type ComparisonResult struct {
	Name string
	// P50, P95 and P99 are quantiles, in milliseconds, of the latency of whole programs
	// of the accounts that keep to their rate.
	P50, P95, P99 float64
	// Recomputed is the share of prompt tokens that were computed although an
	// engine had computed them before.
	Recomputed float64
	// WorstServed is the smallest ratio, over the accounts, of answered requests
	// to requests that one central token bucket would have admitted.
	// WorstAccount is the account with that ratio.
	WorstServed  float64
	WorstAccount spool.AccountID
	// RefusedWithin is, for each account, the number of requests that one central token
	// bucket would have admitted minus the number that was admitted, if positive; summed
	// over the accounts and divided by the sum of the former, as in package bench.
	RefusedWithin float64
	// Service is the share of answered requests among those first sent between
	// compareDrainAt and compareServiceEnd, while a failure domain is drained and
	// returns. Requests refused by the rate limit are left out.
	Service float64
	// Calls counts answered requests, Unfinished the programs that gave up after their
	// first answer, Overloads the crashes of cold engines from too many calls.
	Calls, Unfinished int
	Overloads         int
	// Errors counts the unanswered requests that reduce Service by error code.
	Errors map[string]int
}

// Compare runs the system with the baseline policies and then with the default ones,
// under the same load. It takes about 80 s.
func Compare(ctx context.Context, load float64, seed uint64) (sides []ComparisonResult, err error) {
	defer func() { err = errors.Wrap(err, "compare policies") }()
	baseline := []any{
		newChange(settings.LevelFleet, "", string(settings.PolicyRouter), `"roundRobin"`),
		newChange(settings.LevelFleet, "", string(settings.PolicyQueue), `"fcfs"`),
		newChange(settings.LevelFleet, "", string(settings.PolicyGate), `"fixed"`),
		newChange(settings.LevelFleet, "", string(settings.PolicyRetry), `"always"`),
		newChange(settings.LevelFleet, "", string(settings.PolicyPause), `"keep"`),
		newChange(settings.LevelFleet, "", string(settings.LimitStaticShare), "1"),
	}
	for _, side := range []struct {
		name  string
		extra []any
	}{{"baseline", baseline}, {"policies", nil}} {
		figures, err := compareSide(ctx, load, seed, side.extra)
		if err != nil {
			return nil, errors.Wrap(err, side.name)
		}
		figures.Name = side.name
		sides = append(sides, figures)
	}
	return sides, nil
}

// scaledSettings returns the settings of both sides, with time limits and speeds scaled
// to the shorter calls.
func scaledSettings() []any {
	list := []any{}
	for name, value := range map[settings.Duration]int{
		settings.QueueMaxWaitMs: 500, settings.CallTimeoutMs: 2000, settings.QueueStartMaxWaitMs: 1860,
		settings.RoutingStartWaitMs: 500, settings.RoutingLossStartWaitMs: 1860, settings.OrderStartPatienceMs: 1780,
		settings.DrainRampMs: 500,
	} {
		list = append(list, newChange(settings.LevelFleet, "", string(name), fmt.Sprint(value)))
	}
	return append(list,
		newChange(settings.LevelFleet, "", string(settings.GateMaxConcurrency), fmt.Sprint(compareSlots)),
		newChange(settings.LevelFleet, "", string(settings.PausePrefillSpeed), fmt.Sprint(comparePrefillSpeed)),
		newChange(settings.LevelFleet, "", string(settings.PauseTransferSpeed), fmt.Sprint(10*comparePrefillSpeed)))
}

// compareSide starts a new system, runs one side of the comparison and returns its
// results. extra holds the settings of the side.
func compareSide(ctx context.Context, load float64, seed uint64, extra []any) (figures ComparisonResult, err error) {
	prefillMs := 600 / comparePrefillSpeed
	capacity := 4 * compareSlots / (compareGeneratedTokens*compareTokenMs + prefillMs) * 1000
	c := &comparison{
		startedAt: time.Now(), seed: seed, latency: hdrhistogram.New(1, int64(clock.Hour), 3),
		centralBuckets: map[spool.AccountID]*limit.Central{}, withinRate: map[spool.AccountID]int{}, answered: map[spool.AccountID]int{},
		admitted: map[spool.AccountID]int{}, errors: map[string]int{},
	}
	var holders []*account
	for _, a := range compareAccounts {
		rate := a.part * capacity * (compareCallsPerProgram + 1) / compareCallsPerProgram
		holders = append(holders, &account{id: a.id, limits: caller.Limits{Rate: rate, Burst: max(10, rate)}})
		c.centralBuckets[a.id] = limit.NewCentral(0, limit.Config{Rate: rate, Burst: max(10, rate)})
	}
	c.system, err = newCluster(ctx, seed, holders, append(scaledSettings(), extra...)...)
	if err != nil {
		return figures, err
	}
	defer c.system.close()
	for _, engine := range c.system.engines {
		s := engine.Settings()
		s.Slots, s.ColdSlots, s.TokenMs, s.PrefillTokensPerMs, s.CacheTokens = compareSlots, 2, compareTokenMs, comparePrefillSpeed, compareCacheTokens
		// Engines are warm until the failure domain returns, as in the bench.
		s.TransferTokensPerMs, s.WarmAfter = 10*comparePrefillSpeed, 0
		engine.SetSettings(s)
	}
	c.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, compareWarmUp+compareWindow)
	defer cancel()
	greedy := compareAccounts[len(compareAccounts)-1].part
	for i, a := range compareAccounts {
		offered := (load - 4*greedy) / (1 - greedy) * a.part
		if a.part == greedy {
			offered = 4 * greedy
		}
		c.callers.Go(func() { c.startPrograms(ctx, holders[i], offered*capacity/compareCallsPerProgram, uint64(i)) })
	}
	c.callers.Go(func() { c.injectFault(ctx) })
	c.callers.Wait()
	return c.figures(), c.faultErr
}

// comparison is the state of one side while it runs.
type comparison struct {
	system    *cluster
	startedAt time.Time
	seed      uint64
	callers   sync.WaitGroup

	mu                             sync.Mutex
	latency                        *hdrhistogram.Histogram
	centralBuckets                 map[spool.AccountID]*limit.Central
	withinRate, admitted           map[spool.AccountID]int
	answered                       map[spool.AccountID]int
	promptTokens, recomputedTokens int
	errors                         map[string]int
	serviceRequests, serviceErrors int
	calls, unfinished              int
	faultErr                       error
}

// sinceWarmUp returns the time since the end of the warm-up; it is negative before.
func (c *comparison) sinceWarmUp() time.Duration { return time.Since(c.startedAt) - compareWarmUp }

// injectFault drains the first failure domain at compareDrainAt, restarts its engines at
// compareReturnAt and then ends the drain. It sets faultErr if this fails.
func (c *comparison) injectFault(ctx context.Context) {
	_ = caller.Pause(ctx, compareWarmUp+compareDrainAt)
	err := c.system.setDrained(ctx, domains[0], true)
	_ = caller.Pause(ctx, compareReturnAt-compareDrainAt)
	for i, engine := range c.system.engines {
		if i%len(domains) == 0 {
			s := engine.Settings()
			s.WarmAfter = compareWarmAfterCalls
			engine.SetSettings(s)
			engine.Restart()
		}
	}
	if undrainErr := c.system.setDrained(ctx, domains[0], false); err == nil {
		err = undrainErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultErr = err
}

// startPrograms starts programs of an account as a Poisson process until ctx ends.
// stream makes the random numbers of each account different.
func (c *comparison) startPrograms(ctx context.Context, holder *account, perSecond float64, stream uint64) {
	random := rand.New(rand.NewPCG(c.seed, stream))
	client := caller.NewClient(func() []string { return c.system.addresses }, holder.key)
	for caller.Pause(ctx, time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))) == nil {
		seed := random.Uint64()
		c.callers.Go(func() { c.runProgram(ctx, client, holder.id, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// runProgram runs one program. A program that is refused before its first answer is
// dropped, as in package bench, and not recorded.
func (c *comparison) runProgram(ctx context.Context, client *caller.Client, holder spool.AccountID, random *rand.Rand) {
	start, startedAt := time.Now(), c.sinceWarmUp()
	var started struct {
		Program string `json:"programId"`
	}
	body := map[string]any{"model": modelName}
	if !c.send(ctx, client, holder, "/v1/programs", body, &started, true) {
		return
	}
	turns := min(60, max(2, int(math.Exp(2+0.7*random.NormFloat64())+0.5)))
	addedWords, previousPrompt := 1000+random.IntN(3000), 0
	for turn := range turns {
		answer := struct {
			Prompt int `json:"promptTokens"`
			Cached int `json:"cachedTokens"`
		}{}
		body := map[string]any{
			"callId": fmt.Sprint(turn), "maxTokens": 8 + int(random.ExpFloat64()*(compareGeneratedTokens-8)),
			"messages": []spool.Message{{Role: "user", Content: strings.Repeat("fog ", addedWords)}},
		}
		if !c.send(ctx, client, holder, "/v1/programs/"+started.Program+"/calls", body, &answer, turn == 0) {
			if turn > 0 {
				c.recordProgram(holder, startedAt, start, false)
			}
			return
		}
		c.countInWindow(func() {
			c.promptTokens += answer.Prompt
			c.recomputedTokens += max(0, min(previousPrompt, answer.Prompt)-answer.Cached)
		})
		previousPrompt = answer.Prompt
		addedWords = 100 + int(random.ExpFloat64()*500)
		_ = caller.Pause(ctx, 5*time.Millisecond+time.Duration(random.ExpFloat64()*float64(compareMeanPause)))
	}
	c.recordProgram(holder, startedAt, start, true)
	var none any
	_ = client.Send(ctx, fasthttp.MethodDelete, "/v1/programs/"+started.Program, nil, &none)
}

// countInWindow calls count with c.mu locked, unless the current time is outside the
// measured window, which begins after the warm-up and lasts compareWindow.
func (c *comparison) countInWindow(count func()) {
	if at := c.sinceWarmUp(); at < 0 || at >= compareWindow {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	count()
}

// recordProgram records the latency of a program that started after the warm-up, unless
// its account exceeds its rate, and counts it if it did not complete.
func (c *comparison) recordProgram(holder spool.AccountID, startedAt time.Duration, start time.Time, completed bool) {
	if startedAt < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !completed {
		c.unfinished++
	}
	if holder != "greedy" {
		_ = c.latency.RecordValue(max(1, time.Since(start).Milliseconds()))
	}
}

// send sends a request and repeats it until it is answered or compareMaxRetryTime is
// over. With beforeFirstAnswer, it sends the request only once. It counts every attempt
// and reports whether the request was answered.
func (c *comparison) send(ctx context.Context, client *caller.Client, holder spool.AccountID, path string, body, answer any, beforeFirstAnswer bool) bool {
	for issued := c.sinceWarmUp(); ctx.Err() == nil; {
		c.countInWindow(func() {
			if c.centralBuckets[holder].Admit(clock.FromDuration(c.sinceWarmUp()), 1) {
				c.withinRate[holder]++
			}
		})
		err := client.Send(ctx, fasthttp.MethodPost, path, body, answer)
		if ctx.Err() != nil {
			return false
		}
		failure := &caller.Failure{}
		limited := errors.As(err, &failure) && failure.Code == spool.CodeRateLimited
		c.countInWindow(func() { c.countResult(holder, issued, err, limited) })
		if err == nil {
			return true
		}
		if beforeFirstAnswer || c.sinceWarmUp()-issued >= compareMaxRetryTime {
			return false
		}
		wait := max(10*time.Millisecond, failure.RetryAfter.Duration())
		_ = caller.Pause(ctx, wait+time.Duration(rand.Float64()*float64(wait)))
	}
	return false
}

// countResult counts one attempt of a request. issued is the time of the first attempt
// since the end of the warm-up, limited that the rate limit refused this attempt.
func (c *comparison) countResult(holder spool.AccountID, issued time.Duration, err error, limited bool) {
	if err == nil {
		c.calls++
		c.answered[holder]++
	}
	if !limited {
		c.admitted[holder]++
	}
	if issued >= compareDrainAt && issued < compareServiceEnd && !limited {
		c.serviceRequests++
		if err != nil {
			c.serviceErrors++
			c.errors[failureCode(err)]++
		}
	}
}

// failureCode returns the error code of an error response, or "noAnswer" for other
// errors.
func failureCode(err error) string {
	failure := &caller.Failure{}
	if errors.As(err, &failure) {
		return string(failure.Code)
	}
	return "noAnswer"
}

// figures derives the results of the side from its counts.
func (c *comparison) figures() ComparisonResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
	f := ComparisonResult{
		P50: float64(c.latency.ValueAtQuantile(50)), P95: float64(c.latency.ValueAtQuantile(95)), P99: float64(c.latency.ValueAtQuantile(99)),
		Recomputed: share(c.recomputedTokens, c.promptTokens), WorstServed: math.Inf(1), Service: 1 - share(c.serviceErrors, c.serviceRequests),
		Calls: c.calls, Unfinished: c.unfinished, Errors: c.errors,
	}
	withinRate, shortfall := 0, 0
	for account, allowed := range c.withinRate {
		withinRate += allowed
		shortfall += max(0, allowed-c.admitted[account])
		if served := share(c.answered[account], allowed); served < f.WorstServed {
			f.WorstServed, f.WorstAccount = served, account
		}
	}
	f.RefusedWithin = share(shortfall, withinRate)
	for _, engine := range c.system.engines {
		f.Overloads += engine.Stats().Overloads
	}
	return f
}

// WriteComparison writes the results of both sides as text.
func WriteComparison(w io.Writer, load float64, sides []ComparisonResult) error {
	fmt.Fprintf(w, "real entries and agents, load %.1f with a failure domain out; latencies in ms\n", load)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tp50\tp95\tp99\trecomputed\tworst served\trefused within\tservice\tcalls\tunfinished\tcold overload\t")
	for _, f := range sides {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f %s\t%.4f\t%.4f\t%d\t%d\t%d\t\n", f.Name, f.P50, f.P95, f.P99,
			f.Recomputed, f.WorstServed, f.WorstAccount, f.RefusedWithin, f.Service, f.Calls, f.Unfinished, f.Overloads)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write figures")
	}
	for _, f := range sides {
		fmt.Fprintf(w, "%s, requests not answered while the failure domain left and returned: %v\n", f.Name, f.Errors)
	}
	return nil
}
