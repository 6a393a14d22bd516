package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/internal/platform"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Overhead is what the system costs on the way of a call.
type Overhead struct {
	// Direct and Through are the median times to the first token of calls to the
	// engine itself and of calls through entry and agent, in milliseconds.
	Direct, Through float64
	// CoreMicrosPerToken is the processor time of all processes, callers and
	// engines included, per generated token.
	CoreMicrosPerToken float64
	// TokensPerSecond is the rate at which that was measured.
	TokensPerSecond float64
}

// MeasureOverhead runs callers side by side that alternate between calling an
// engine directly and through the system, calls times each.
func MeasureOverhead(ctx context.Context, callers, calls, tokens int) (result Overhead, err error) {
	defer func() { err = errors.Wrap(err, "measure overhead") }()
	holder := &account{id: "measured", limits: caller.Limits{Rate: 100000, Burst: 100000}}
	// The gates are open from the start, so that no call waits in a queue.
	system, err := newCluster(ctx, 1, []*account{holder},
		change(settings.LevelFleet, "", string(settings.GateColdConcurrency), "64"),
		change(settings.LevelFleet, "", string(settings.GateMaxConcurrency), "64"))
	if err != nil {
		return result, err
	}
	defer system.close()
	for _, engine := range system.engines {
		settings := engine.Settings()
		settings.Slots, settings.ColdSlots = 512, 512
		engine.SetSettings(settings)
	}
	m := &measurement{system: system, key: holder.key, tokens: tokens}
	// The first calls warm the engines and fill the account's pool.
	m.run(ctx, 4, 8)
	m.direct, m.through = nil, nil
	m.generated.Store(0)
	start, cpu := time.Now(), cputime.Used()
	m.run(ctx, callers, calls)
	spent, elapsed := cputime.Used()-cpu, time.Since(start)
	if len(m.through) == 0 || len(m.direct) == 0 {
		return result, errors.Errorf("no call succeeded: %v", m.failed)
	}
	count := float64(m.generated.Load())
	return Overhead{
		Direct: median(m.direct), Through: median(m.through),
		CoreMicrosPerToken: float64(spent.Microseconds()) / count, TokensPerSecond: count / elapsed.Seconds(),
	}, nil
}

// measurement collects the times to the first token.
type measurement struct {
	system    *cluster
	key       string
	tokens    int
	generated atomic.Int64

	mu              sync.Mutex
	direct, through []time.Duration
	failed          error
}

func (m *measurement) run(ctx context.Context, callers, calls int) {
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			client := caller.NewClient(func() []string { return m.system.addresses }, m.key)
			var err error
			for call := 0; call < calls && err == nil; call++ {
				if err = m.callDirect(ctx, i, call); err == nil {
					err = m.callThrough(ctx, client)
				}
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if err != nil {
				m.failed = err
			}
		})
	}
	running.Wait()
}

var question = []spool.Message{{Role: "user", Content: "how many knots in a square decimetre?"}}

func (m *measurement) callDirect(ctx context.Context, i, call int) error {
	engine := platform.NewEngine(m.system.engineAt[i%len(m.system.engineAt)])
	since, first := time.Now(), time.Duration(0)
	_, err := engine.Generate(ctx, spool.EngineCall{
		Correlation: fmt.Sprint(i, "-", call), Program: spool.ProgramID(fmt.Sprint("direct-", i)), MaxTokens: m.tokens,
		Messages: question,
	}, func(spool.Chunk) error {
		if first == 0 {
			first = time.Since(since)
		}
		return nil
	})
	m.note(&m.direct, first, err)
	return err
}

// callThrough starts a program for each call, so that the engine gets the same
// prompt as in a direct call. The start is not timed.
func (m *measurement) callThrough(ctx context.Context, client *caller.Client) error {
	one := caller.NewProgram(client, caller.NewLedger(), caller.Spec{Account: "measured", Name: "measured", Model: modelName})
	if err := one.Start(ctx); err != nil {
		return err
	}
	first, err := one.FirstToken(ctx, "call-1", question, m.tokens)
	m.note(&m.through, first, err)
	return err
}

func (m *measurement) note(times *[]time.Duration, first time.Duration, err error) {
	if err != nil {
		return
	}
	m.generated.Add(int64(m.tokens))
	m.mu.Lock()
	defer m.mu.Unlock()
	*times = append(*times, first)
}

func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2]) / float64(time.Millisecond)
}
