package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Options are the choices of a demonstration.
type Options struct {
	// Programs is the number of programs.
	Programs int
	// Seed feeds the programs and the faults.
	Seed uint64
	// Out receives the progress.
	Out io.Writer
}

// DefaultOptions returns a demonstration of about half a minute.
func DefaultOptions() Options { return Options{Programs: 36, Seed: 1, Out: io.Discard} }

// longest bounds a demonstration.
const maxRunTime = 42 * time.Second

// Run runs the demonstration and returns what was counted.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	defer func() { err = errors.Wrap(err, "demonstration") }()
	if options.Programs < 4 {
		return nil, errors.New("programs must be at least 4")
	}
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	accounts := []*account{
		{id: "thies-weavers", limits: caller.Limits{Rate: 60, Burst: 60}},
		{id: "kaolack-dealers", limits: caller.Limits{Rate: 60, Burst: 60}},
		{id: "river-towns", limits: caller.Limits{Rate: 12, Burst: 24}},
		{id: "auction-house", limits: caller.Limits{Rate: 30, Burst: 30}},
	}
	_, _ = fmt.Fprintln(options.Out, "starting 4 entries in 2 failure domains, 4 engines, 2 agents of a plain service")
	system, err := newCluster(ctx, options.Seed, accounts)
	if err != nil {
		return nil, err
	}
	defer system.close()
	run := &demonstration{options: options, system: system, ledger: caller.NewLedger(), startedAt: time.Now()}
	run.run(ctx)
	return run.report(), nil
}

// demonstration is one run.
type demonstration struct {
	options   Options
	system    *cluster
	ledger    *caller.Ledger
	startedAt time.Time
	// checks are invariants that the script tests directly.
	mu     sync.Mutex
	checks []Check
}

// Check is one invariant that the script tested directly.
type Check struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

func (d *demonstration) logf(format string, args ...any) {
	started, completed := d.ledger.Progress()
	_, _ = fmt.Fprintf(d.options.Out, "%5.1fs  %2d/%d programs  %s\n",
		time.Since(d.startedAt).Seconds(), completed, started, fmt.Sprintf(format, args...))
}

func (d *demonstration) recordCheck(name string, ok bool, format string, args ...any) {
	d.mu.Lock()
	d.checks = append(d.checks, Check{Name: name, OK: ok, Detail: fmt.Sprintf(format, args...)})
	d.mu.Unlock()
	if !ok {
		d.logf("CHECK FAILED: %s: "+format, append([]any{name}, args...)...)
	}
}

func (d *demonstration) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		d.injectFaults(ctx)
	}()
	random := rand.New(rand.NewPCG(d.options.Seed, 7))
	entries := func() []string { return d.system.addresses }
	for i := range d.options.Programs {
		// The third account sends several times its rate; the last one's key is
		// withdrawn and gets no programs.
		holder := d.system.accounts[[]int{0, 1, 2, 2}[i%4]]
		program := caller.NewProgram(caller.NewClient(entries, holder.key), d.ledger, caller.Spec{
			Account: holder.id, Name: fmt.Sprintf("program-%d", i+1), Seed: d.options.Seed + uint64(i),
			Model: modelName, Service: plainService, Alarm: i%9 == 8,
		})
		plan := caller.Plan{
			Turns: 5 + random.IntN(4), Pause: time.Duration(100+random.IntN(900)) * time.Millisecond,
			SubAgent: i%6 == 1, Payout: i%3 == 0,
		}
		running.Add(1)
		go func() {
			defer running.Done()
			if err := program.Run(ctx, plan); err != nil {
				d.ledger.Problem(err.Error())
				d.logf("failed: %v", err)
			}
		}()
		_ = caller.Pause(ctx, 250*time.Millisecond)
	}
	running.Wait()
	d.logf("all programs have ended")
	d.checkMemory(ctx)
}

// faults is the script of what goes wrong.
func (d *demonstration) injectFaults(ctx context.Context) {
	steps := []func(context.Context){d.withdrawKey, d.restartEngine, d.drainDomain, d.loseLogAnswers}
	for _, step := range steps {
		if caller.Pause(ctx, 1500*time.Millisecond) != nil {
			return
		}
		step(ctx)
	}
}

// withdrawKey withdraws a key while its holder sends requests.
func (d *demonstration) withdrawKey(ctx context.Context) {
	const bound = 3 * time.Second
	holder := d.system.accounts[3]
	client := caller.NewClient(func() []string { return d.system.addresses }, holder.key)
	owned := caller.NewProgram(client, d.ledger, caller.Spec{Account: holder.id, Name: "withdrawn", Model: modelName})
	if err := owned.Start(ctx); err != nil {
		d.recordCheck("key works before it is withdrawn", false, "%v", err)
		return
	}
	if err := d.system.publishWithdrawal(ctx, holder); err != nil {
		d.recordCheck("key is withdrawn", false, "%v", err)
		return
	}
	since := time.Now()
	refused := 0
	for refused < 2*len(d.system.addresses) && time.Since(since) < bound {
		err := client.Send(ctx, fasthttp.MethodGet, "/v1/programs/"+string(owned.ID()), nil, &struct{}{})
		failed := &caller.Failure{}
		if errors.As(err, &failed) && (failed.Code == spool.CodeKeyWithdrawn || failed.Code == spool.CodeUnauthorized) {
			refused++
			continue
		}
		refused = 0
		_ = caller.Pause(ctx, 10*time.Millisecond)
	}
	ok := refused == 2*len(d.system.addresses)
	d.recordCheck("withdrawn key stops working everywhere within 3 s", ok, "after %s", time.Since(since).Round(time.Millisecond))
	d.logf("the key of %s was withdrawn; every entry refused it after %s", holder.id, time.Since(since).Round(time.Millisecond))
}

// restartEngine makes an engine turn cold without notice.
func (d *demonstration) restartEngine(context.Context) {
	d.system.engines[0].Restart()
	d.logf("engine m1 restarted without notice: its cache is empty and it bears 2 calls")
}

// drainDomain takes a failure domain out and brings it back.
func (d *demonstration) drainDomain(ctx context.Context) {
	const settle = 3 * time.Second
	domain := domains[1]
	if err := d.system.setDrained(ctx, domain, true); err != nil {
		d.recordCheck("failure domain is taken out", false, "%v", err)
		return
	}
	d.logf("failure domain %s is taken out", domain)
	_ = caller.Pause(ctx, settle)
	before := d.engineCalls(1)
	_ = caller.Pause(ctx, settle)
	newCalls := d.engineCalls(1) - before
	d.recordCheck("failure domain taken out gets no new work after 3 s", newCalls == 0, "%d calls came later", newCalls)
	if err := d.system.setDrained(ctx, domain, false); err != nil {
		d.recordCheck("failure domain is brought back", false, "%v", err)
		return
	}
	d.logf("failure domain %s comes back", domain)
}

// loseAnswers makes the log lose answers of appends that took effect.
func (d *demonstration) loseLogAnswers(ctx context.Context) {
	faults := d.system.log.Faults()
	faults.LoseAnswers = 0.2
	d.system.log.SetFaults(faults)
	d.logf("the log loses a fifth of its answers for 3 s")
	_ = caller.Pause(ctx, 3*time.Second)
	faults.LoseAnswers = 0
	d.system.log.SetFaults(faults)
}

// callsIn counts the calls that the engines of a failure domain have got.
func (d *demonstration) engineCalls(domain int) int {
	calls := 0
	for i, engine := range d.system.engines {
		if i%len(domains) == domain {
			calls += engine.Stats().Calls
		}
	}
	return calls
}

// checkMemory waits until no engine holds memory of a program that has ended.
func (d *demonstration) checkMemory(ctx context.Context) {
	// The lease of 5 s and the longest interval between two checks of it.
	const bound = 8 * time.Second
	since := time.Now()
	cachedPrograms := 0
	for time.Since(since) < bound {
		cachedPrograms = 0
		for _, engine := range d.system.engines {
			cachedPrograms += len(engine.Sessions())
		}
		if cachedPrograms == 0 || caller.Pause(ctx, 50*time.Millisecond) != nil {
			break
		}
	}
	d.recordCheck("no engine memory is held by ended programs", cachedPrograms == 0, "%d programs hold memory", cachedPrograms)
}
