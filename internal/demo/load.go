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

// LoadOptions describe callers that work in a closed loop.
type LoadOptions struct {
	// Entry is the command line that starts an entry, without its flags. The
	// entries run in this process when it is empty.
	Entry []string
	// Callers run at a time, each for For.
	Callers int
	For     time.Duration
	// Tokens is the length of an answer, TokenMs the time that an engine takes
	// for each token.
	Tokens  int
	TokenMs float64
	// Forwarded makes every call arrive at an entry that does not own its
	// program. Otherwise it arrives at the owner.
	Forwarded bool
	// Direct makes callers alternate between the system and the engine itself.
	Direct bool
}

// LoadQuantiles are those of a set of times, in milliseconds.
type LoadQuantiles struct {
	P50, P95 float64
}

// Path is what callers saw of one way to the engine.
type Path struct {
	// First is the time to the first token, Gap that between two tokens.
	First, Gap LoadQuantiles
	// Calls counts the answers.
	Calls int
}

// Load is what a measurement of callers found.
type Load struct {
	Direct, Through Path
	// RequestsPerSecond and TokensPerSecond are the rates through the system.
	RequestsPerSecond, TokensPerSecond float64
	// EntryCores is the processor time per second of the entry that the callers
	// are connected to, OtherCores that of the other: the owner of forwarded calls
	// and the holder of the records of others. Both are 0 when the entries share
	// this process.
	EntryCores, OtherCores float64
}

// entryPair is the number of entries under load: an owner and one that forwards.
const loadEntryCount = 2

// MeasureLoad runs callers through the system and directly, side by side.
func MeasureLoad(ctx context.Context, options LoadOptions) (result Load, err error) {
	defer func() { err = errors.Wrap(err, "measure load") }()
	callerAccount := &account{id: "measured", limits: caller.Limits{Rate: 100000, Burst: 100000}}
	// The gates are open from the start, so that no call waits in a queue.
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
	// The first calls warm the engines and the connections.
	const warmUp = time.Second
	if err := m.run(ctx, min(options.Callers, 8), warmUp); err != nil {
		return result, err
	}
	m.direct, m.through = samples{}, samples{}
	start, used := time.Now(), system.entryProcessTimes()
	if err := m.run(ctx, options.Callers, options.For); err != nil {
		return result, err
	}
	elapsed := time.Since(start).Seconds()
	calls := float64(len(m.through.firstTokens))
	after := system.entryProcessTimes()
	cores := func(entry int) float64 {
		if entry >= len(used) {
			return 0
		}
		return (after[entry] - used[entry]).Seconds() / elapsed
	}
	return Load{
		Direct: m.direct.summary(), Through: m.through.summary(),
		RequestsPerSecond: calls / elapsed, TokensPerSecond: calls * float64(options.Tokens) / elapsed,
		EntryCores: cores(0), OtherCores: cores(1),
	}, nil
}

// samples are the times of the answers on one way.
type samples struct {
	firstTokens, gaps []time.Duration
}

func (s *samples) summary() Path {
	return Path{First: quantiles(s.firstTokens), Gap: quantiles(s.gaps), Calls: len(s.firstTokens)}
}

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

// measurement collects the times of all callers.
type loadMeasurement struct {
	system  *cluster
	key     string
	options LoadOptions

	mu              sync.Mutex
	direct, through samples
}

// run starts callers and returns the error of one of them.
func (m *loadMeasurement) run(ctx context.Context, callers int, length time.Duration) (err error) {
	var running sync.WaitGroup
	until := time.Now().Add(length)
	for i := range callers {
		running.Go(func() {
			// Callers that began together would stay together and arrive in bursts.
			answer := time.Duration(m.options.TokenMs * float64(m.options.Tokens) * float64(time.Millisecond))
			time.Sleep(min(answer, length/2) * time.Duration(i) / time.Duration(callers))
			if failed := m.runCaller(ctx, i, until); failed != nil {
				m.mu.Lock()
				defer m.mu.Unlock()
				err = failed
			}
		})
	}
	running.Wait()
	return err
}

// caller calls in turn through the system and directly. All callers are
// connected to the first entry. Each call has a program of
// its own on either way, so that no engine has its prompt cached; the start of
// the program is not timed.
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

func (m *loadMeasurement) client(entry int) *caller.Client {
	address := m.system.addresses[entry]
	return caller.NewClient(func() []string { return []string{address} }, m.key)
}

var prompt = []spool.Message{{Role: "user", Content: "how many knots in a square decimetre?"}}

func (m *loadMeasurement) callDirect(ctx context.Context, i, call int) error {
	engine := adapters.NewEngine(m.system.engineAddresses[i%len(m.system.engineAddresses)])
	arrivals := caller.NewArrivals()
	_, err := engine.Generate(ctx, spool.EngineCall{
		Correlation: fmt.Sprint(i, "-", call), Program: spool.ProgramID(fmt.Sprint("direct-", i, "-", call)),
		MaxTokens: m.options.Tokens, Messages: prompt,
	}, func(spool.Chunk) error {
		arrivals.Add()
		return nil
	})
	m.record(&m.direct, arrivals, err)
	return err
}

func (m *loadMeasurement) callThroughEntry(ctx context.Context, startClient, callClient *caller.Client) error {
	program := caller.NewProgram(startClient, caller.NewLedger(), caller.Spec{Account: "measured", Name: "measured", Model: modelName})
	if err := program.Start(ctx); err != nil {
		return err
	}
	arrivals, err := program.TimedTurn(ctx, callClient, "call-1", prompt, m.options.Tokens)
	m.record(&m.through, arrivals, err)
	return err
}

func (m *loadMeasurement) record(into *samples, arrivals *caller.Arrivals, err error) {
	if err != nil || arrivals.First() == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	into.firstTokens = append(into.firstTokens, arrivals.First())
	into.gaps = append(into.gaps, arrivals.Gaps()...)
}
