package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LoadOptions describe callers that send calls in a closed loop: each caller sends its
// next call when the previous one has been answered.
type LoadOptions struct {
	// Entry is the command line that starts an entry as a separate process, without the
	// flags of the entry. When it is empty, the entries run in this process.
	Entry []string
	// Callers is the number of concurrent callers; each runs for the duration For.
	Callers int
	For     time.Duration
	// Tokens is the length of each answer in tokens. TokenMs is the time that an engine
	// takes for each token, in milliseconds.
	Tokens  int
	TokenMs float64
	// Forwarded sends every call to an entry that does not own its program.
	// Otherwise calls go to the owner.
	Forwarded bool
	// Direct makes callers alternate between calls through the system and direct
	// calls to an engine.
	Direct bool
}

// LoadQuantiles holds quantiles of a set of durations, in milliseconds.
type LoadQuantiles struct {
	P50, P95 float64
}

// PathLatency holds the latencies of one path to the engines: direct or through
// the system.
type PathLatency struct {
	// First is the time to the first token, Gap the time between two tokens.
	First, Gap LoadQuantiles
	// Calls is the number of calls with an answer.
	Calls int
}

// LoadResult is the result of MeasureLoad.
type LoadResult struct {
	Direct, Through PathLatency
	// RequestsPerSecond and TokensPerSecond are the rates of answered calls and of their
	// tokens through the system.
	RequestsPerSecond, TokensPerSecond float64
	// EntryCores is the processor time per second, in cores, of the entry that receives
	// the calls. OtherCores is the same for the other entry, which owns the programs of
	// forwarded calls and stores copies of the records of the first entry. Both are 0
	// when the entries run in this process.
	EntryCores, OtherCores float64
}

// loadEntryCount is the number of entries under load: one that receives the calls
// and one that owns the programs of forwarded calls.
const loadEntryCount = 2

// MeasureLoad runs callers and measures their calls through the system and, if
// options.Direct is set, directly to the engines in the same run.
func MeasureLoad(ctx context.Context, options LoadOptions) (result LoadResult, err error) {
	defer func() { err = errors.Wrap(err, "measure load") }()
	callerAccount := &account{id: "measured", limits: caller.Limits{Rate: 100000, Burst: 100000}}
	// The gates allow full concurrency from the start, so that no call is queued.
	system, err := startCluster(ctx, &cluster{entryCommand: options.Entry, entryCount: loadEntryCount}, 1, []*account{callerAccount},
		newChange(settings.LevelFleet, "", string(settings.GateColdConcurrency), "1024"),
		newChange(settings.LevelFleet, "", string(settings.GateMaxConcurrency), "1024"))
	if err != nil {
		return result, err
	}
	defer system.close()
	for _, engine := range system.engines {
		settings := engine.Settings()
		settings.Slots, settings.ColdSlots, settings.TokenMs = 4096, 4096, options.TokenMs
		engine.SetSettings(settings)
	}
	m := &loadMeasurement{system: system, key: callerAccount.key, options: options}
	// The first calls open connections and end the cold start of the engines; they
	// are not counted.
	const warmUp = time.Second
	if err := m.run(ctx, min(options.Callers, 8), warmUp); err != nil {
		return result, err
	}
	m.direct, m.through = samples{}, samples{}
	start, usedBefore := time.Now(), system.entryProcessTimes()
	if err := m.run(ctx, options.Callers, options.For); err != nil {
		return result, err
	}
	elapsed := time.Since(start).Seconds()
	calls := float64(len(m.through.firstTokens))
	usedAfter := system.entryProcessTimes()
	cores := func(entry int) float64 {
		if entry >= len(usedBefore) {
			return 0
		}
		return (usedAfter[entry] - usedBefore[entry]).Seconds() / elapsed
	}
	return LoadResult{
		Direct: m.direct.summary(), Through: m.through.summary(),
		RequestsPerSecond: calls / elapsed, TokensPerSecond: calls * float64(options.Tokens) / elapsed,
		EntryCores: cores(0), OtherCores: cores(1),
	}, nil
}

// samples holds the latencies of the answers on one path.
type samples struct {
	firstTokens, gaps []time.Duration
}

func (s *samples) summary() PathLatency {
	return PathLatency{First: quantiles(s.firstTokens), Gap: quantiles(s.gaps), Calls: len(s.firstTokens)}
}

// quantiles returns the quantiles of times, which it sorts.
func quantiles(times []time.Duration) LoadQuantiles {
	if len(times) == 0 {
		return LoadQuantiles{}
	}
	slices.Sort(times)
	at := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))]) / float64(time.Millisecond)
	}
	return LoadQuantiles{P50: at(0.5), P95: at(0.95)}
}

// loadMeasurement collects the latencies of all callers.
type loadMeasurement struct {
	system  *cluster
	key     string
	options LoadOptions

	mu              sync.Mutex
	direct, through samples
}

// run runs callers for the given time and returns the last error of any of them.
func (m *loadMeasurement) run(ctx context.Context, callers int, length time.Duration) (err error) {
	var running sync.WaitGroup
	until := time.Now().Add(length)
	for i := range callers {
		running.Go(func() {
			// Callers that start together stay in step and send bursts, so starts are
			// spread over the time of one answer.
			answerTime := time.Duration(m.options.TokenMs * float64(m.options.Tokens) * float64(time.Millisecond))
			time.Sleep(min(answerTime, length/2) * time.Duration(i) / time.Duration(callers))
			if callErr := m.runCaller(ctx, i, until); callErr != nil {
				m.mu.Lock()
				defer m.mu.Unlock()
				err = callErr
			}
		})
	}
	running.Wait()
	return err
}

// runCaller sends calls through the system and, with options.Direct, one call directly to
// an engine before each of them. All calls through the system go to the first entry. On
// both paths, each call has a new program, so that no engine has its prompt cached. The
// start of the program is not part of the latency. With options.Forwarded, the second
// entry starts the programs and therefore owns them.
func (m *loadMeasurement) runCaller(ctx context.Context, i int, until time.Time) error {
	callClient := m.client(0)
	startClient := callClient
	if m.options.Forwarded {
		startClient = m.client(1)
	}
	for call := 0; time.Now().Before(until); call++ {
		if m.options.Direct {
			if err := m.callDirect(ctx, i, call); err != nil {
				return err
			}
		}
		if err := m.callThroughEntry(ctx, startClient, callClient); err != nil {
			return err
		}
	}
	return nil
}

// client returns a client that sends all requests to the entry with the given index.
func (m *loadMeasurement) client(entry int) *caller.Client {
	address := m.system.addresses[entry]
	return caller.NewClient(func() []string { return []string{address} }, m.key)
}

// prompt is the prompt of every call.
var prompt = []spool.Message{{Role: "user", Content: "how many knots in a square decimetre?"}}

// callDirect sends one call directly to an engine and records its latencies.
func (m *loadMeasurement) callDirect(ctx context.Context, i, call int) error {
	engine := adapters.NewEngine(m.system.engineAddresses[i%len(m.system.engineAddresses)])
	arrivals := caller.NewArrivals()
	_, err := engine.Generate(ctx, spool.EngineCall{
		Correlation: fmt.Sprint(i, "-", call), Program: spool.ProgramID(fmt.Sprint("direct-", i, "-", call)),
		MaxTokens: m.options.Tokens, Messages: prompt,
	}, func(spool.Chunk) error {
		arrivals.Record()
		return nil
	})
	m.record(&m.direct, arrivals, err)
	return err
}

// callThroughEntry starts a program with startClient, sends one call of it with callClient
// and records the latencies of the call.
func (m *loadMeasurement) callThroughEntry(ctx context.Context, startClient, callClient *caller.Client) error {
	program := caller.NewProgram(startClient, caller.NewLedger(), caller.Spec{Account: "measured", Name: "measured", Model: modelName})
	if err := program.Start(ctx); err != nil {
		return err
	}
	arrivals, err := program.TimedTurn(ctx, callClient, "call-1", prompt, m.options.Tokens)
	m.record(&m.through, arrivals, err)
	return err
}

// record adds the arrival times of one answer to the samples, unless the call failed.
func (m *loadMeasurement) record(into *samples, arrivals *caller.Arrivals, err error) {
	if err != nil || arrivals.First() == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	into.firstTokens = append(into.firstTokens, arrivals.First())
	into.gaps = append(into.gaps, arrivals.Gaps()...)
}
