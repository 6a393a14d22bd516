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

// Options configure a demonstration.
type Options struct {
	// Programs is the number of programs that callers run, at least 4.
	Programs int
	// Seed seeds the random programs and faults.
	Seed uint64
	// Out receives progress messages.
	Out io.Writer
}

// DefaultOptions returns options for a demonstration of about half a minute.
func DefaultOptions() Options { return Options{Programs: 36, Seed: 1, Out: io.Discard} }

// maxRunTime bounds a demonstration. Programs that are still running then fail.
const maxRunTime = 42 * time.Second

// Run runs the demonstration and returns its report. Violated invariants are in the
// report and are not errors; see Report.Failed.
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
	d := &demonstration{options: options, system: system, ledger: caller.NewLedger(), startedAt: time.Now()}
	d.run(ctx)
	return d.report(), nil
}

// demonstration is the state of one run.
type demonstration struct {
	options   Options
	system    *cluster
	ledger    *caller.Ledger
	startedAt time.Time
	// mu guards checks, the results of the fault script.
	mu     sync.Mutex
	checks []Check
}

// Check is the result of one test of an invariant by the fault script. Detail describes
// the observation.
type Check struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// logf writes a progress message with the time since the start and the numbers of
// completed and started programs.
func (d *demonstration) logf(format string, args ...any) {
	started, completed := d.ledger.Progress()
	_, _ = fmt.Fprintf(d.options.Out, "%5.1fs  %2d/%d programs  %s\n",
		time.Since(d.startedAt).Seconds(), completed, started, fmt.Sprintf(format, args...))
}

// recordCheck records the result of a check and logs it if the check failed.
func (d *demonstration) recordCheck(name string, ok bool, format string, args ...any) {
	d.mu.Lock()
	d.checks = append(d.checks, Check{Name: name, OK: ok, Detail: fmt.Sprintf(format, args...)})
	d.mu.Unlock()
	if !ok {
		d.logf("CHECK FAILED: %s: "+format, append([]any{name}, args...)...)
	}
}

// run starts the fault script and the programs, one every 250 ms, waits until all have
// ended, and then checks the memory of the engines.
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
		// The third account sends several times its rate. The last one gets no
		// programs, because its key is withdrawn.
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
				d.ledger.RecordProblem(err.Error())
				d.logf("failed: %v", err)
			}
		}()
		_ = caller.Pause(ctx, 250*time.Millisecond)
	}
	running.Wait()
	d.logf("all programs have ended")
	d.checkMemory(ctx)
}

// injectFaults runs the fault script: one fault after the other, each after a pause of
// 1.5 s.
func (d *demonstration) injectFaults(ctx context.Context) {
	steps := []func(context.Context){d.withdrawKey, d.restartEngine, d.drainDomain, d.loseLogAnswers}
	for _, step := range steps {
		if caller.Pause(ctx, 1500*time.Millisecond) != nil {
			return
		}
		step(ctx)
	}
}

// withdrawKey withdraws the key of an account and checks that every entry refuses the key
// within the bound. Consecutive requests go to the entries in turn, so two refusals per
// entry in a row show that every entry refuses the key.
func (d *demonstration) withdrawKey(ctx context.Context) {
	const bound = 3 * time.Second
	holder := d.system.accounts[3]
	client := caller.NewClient(func() []string { return d.system.addresses }, holder.key)
	program := caller.NewProgram(client, d.ledger, caller.Spec{Account: holder.id, Name: "withdrawn", Model: modelName})
	if err := program.Start(ctx); err != nil {
		d.recordCheck("key works before it is withdrawn", false, "%v", err)
		return
	}
	if err := d.system.publishWithdrawal(ctx, holder); err != nil {
		d.recordCheck("key is withdrawn", false, "%v", err)
		return
	}
	since := time.Now()
	refusals := 0
	for refusals < 2*len(d.system.addresses) && time.Since(since) < bound {
		err := client.Send(ctx, fasthttp.MethodGet, "/v1/programs/"+string(program.ID()), nil, &struct{}{})
		failure := &caller.Failure{}
		if errors.As(err, &failure) && (failure.Code == spool.CodeKeyWithdrawn || failure.Code == spool.CodeUnauthorized) {
			refusals++
			continue
		}
		refusals = 0
		_ = caller.Pause(ctx, 10*time.Millisecond)
	}
	ok := refusals == 2*len(d.system.addresses)
	d.recordCheck("withdrawn key stops working everywhere within 3 s", ok, "after %s", time.Since(since).Round(time.Millisecond))
	d.logf("the key of %s was withdrawn; every entry refused it after %s", holder.id, time.Since(since).Round(time.Millisecond))
}

// restartEngine restarts an engine without notice. Its agent must then limit it to the
// few calls that a cold engine tolerates.
func (d *demonstration) restartEngine(context.Context) {
	d.system.engines[0].Restart()
	d.logf("engine m1 was restarted without notice: its cache is empty and it accepts 2 calls at a time")
}

// drainDomain drains a failure domain, checks that its engines get no new calls between
// 3 s and 6 s later, and ends the drain.
func (d *demonstration) drainDomain(ctx context.Context) {
	const settleTime = 3 * time.Second
	domain := domains[1]
	if err := d.system.setDrained(ctx, domain, true); err != nil {
		d.recordCheck("failure domain is taken out", false, "%v", err)
		return
	}
	d.logf("failure domain %s is being drained", domain)
	_ = caller.Pause(ctx, settleTime)
	before := d.engineCalls(1)
	_ = caller.Pause(ctx, settleTime)
	newCalls := d.engineCalls(1) - before
	d.recordCheck("failure domain taken out gets no new work after 3 s", newCalls == 0, "%d calls came later", newCalls)
	if err := d.system.setDrained(ctx, domain, false); err != nil {
		d.recordCheck("failure domain is brought back", false, "%v", err)
		return
	}
	d.logf("failure domain %s is back in service", domain)
}

// loseLogAnswers makes the log drop, for 3 s, a fifth of the responses to appends that
// took effect.
func (d *demonstration) loseLogAnswers(ctx context.Context) {
	faults := d.system.log.Faults()
	faults.ResponseLossRate = 0.2
	d.system.log.SetFaults(faults)
	d.logf("the log drops a fifth of its responses for 3 s")
	_ = caller.Pause(ctx, 3*time.Second)
	faults.ResponseLossRate = 0
	d.system.log.SetFaults(faults)
}

// engineCalls returns the number of calls that the engines of a failure domain, given by
// its index in domains, have received.
func (d *demonstration) engineCalls(domain int) int {
	calls := 0
	for i, engine := range d.system.engines {
		if i%len(domains) == domain {
			calls += engine.Stats().Calls
		}
	}
	return calls
}

// checkMemory checks that the engines free the cached prefixes of ended programs. It runs
// when all programs have ended, so that no engine may have a cached prefix.
func (d *demonstration) checkMemory(ctx context.Context) {
	// bound is the memory lease of 5 s plus the longest interval between two checks of
	// the lease.
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
