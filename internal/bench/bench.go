package bench

import (
	"runtime"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// DefaultLoads returns the loads of a full measurement, as multiples of capacity.
func DefaultLoads() []float64 { return []float64{0.6, 1, 2} }

// firstSeed is the first of the consecutive seeds of every measurement.
const firstSeed = 1

// Cell is the result of one deployment at one load, with or without faults.
type Cell struct {
	// Deployment is the name of the deployment, Load the offered calls as a multiple of
	// capacity.
	Deployment string  `json:"deployment"`
	Load       float64 `json:"load"`
	// Faults is set when a failure domain was drained and returned, and the last
	// engine restarted without notice.
	Faults bool `json:"faults"`
	// ShortMemory is set when the prefix caches are small and tools run longer.
	ShortMemory bool    `json:"short,omitempty"`
	Baseline    Figures `json:"baseline"`
	Policy      Figures `json:"policy"`
	// FloorP95 is the p95 latency in milliseconds on engines without capacity limits,
	// queues or recomputation.
	FloorP95 float64 `json:"floorP95Ms"`
	// Ratios are the ratios of policy to baseline.
	Ratios Ratios `json:"ratios"`
}

// Figures are the results of one variant in a cell.
type Figures struct {
	// P50, P95 and P99 are quantiles, in milliseconds, of the latency of whole
	// programs of the accounts that keep to their rate. AllP95 is the p95 over the
	// programs of all accounts. Alarms are left out.
	P50    float64 `json:"p50Ms"`
	P95    float64 `json:"p95Ms"`
	P99    float64 `json:"p99Ms"`
	AllP95 float64 `json:"allP95Ms"`
	// Recomputed is the share of prompt tokens that were computed although an
	// engine had computed them before.
	Recomputed float64 `json:"recomputed"`
	// WorstServed is the smallest ratio, over the accounts, of answered calls to the
	// calls that the account was entitled to (see entitledCalls), but at most 1.
	// WorstAccount is the account with that ratio, or empty if no ratio is below 1.
	WorstServed  float64 `json:"worstServed"`
	WorstAccount string  `json:"worstAccount"`
	// RefusedWithin and RefusedByRequest are shares of the requests that one central
	// token bucket for each account would have admitted. RefusedWithin compares numbers
	// of requests: for each account, the number that the bucket would have admitted minus
	// the number that was admitted, if positive, summed over the accounts.
	// RefusedByRequest compares single requests: it is the share that was refused.
	RefusedWithin    float64 `json:"refusedWithinRate"`
	RefusedByRequest float64 `json:"refusedByRequest"`
	// OverAdmission is the number of requests admitted beyond rate and burst.
	// Overloads counts the crashes of engines from too many calls in cold start.
	OverAdmission float64 `json:"overAdmission"`
	Overloads     int     `json:"coldOverloads"`
	// AlarmP95 is the p95 latency of alarms in milliseconds, or 0 without alarms.
	AlarmP95 float64 `json:"alarmP95Ms"`
	// Service is the share of calls answered without an error among those issued in
	// the service phase (see inServicePhase). Calls refused by the rate limit are left
	// out.
	Service float64 `json:"service"`
	// ServiceWithin is like Service, but treats as errors the requests that the rate
	// limit refused although one central token bucket would have admitted them.
	ServiceWithin float64 `json:"serviceWithin"`
	// Refusals lists the failed calls that reduce Service, grouped by reason and
	// account.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Calls counts answered calls. Unfinished counts programs that gave up on a call
	// or were still running at the end of the run. Refused counts programs whose first
	// call was refused, which were dropped.
	Calls      int `json:"calls"`
	Unfinished int `json:"unfinishedPrograms"`
	Refused    int `json:"refusedPrograms"`
}

// Ratios holds the figures of the policies divided by those of the baseline. Values
// below 1 favour the policies. A ratio is 0 when the baseline figure is 0.
type Ratios struct {
	P50        float64 `json:"p50"`
	P95        float64 `json:"p95"`
	P99        float64 `json:"p99"`
	Recomputed float64 `json:"recomputed"`
}

// Result is the result of a whole measurement.
type Result struct {
	Seeds   []uint64 `json:"seeds"`
	Cells   []Cell   `json:"cells"`
	Targets []Target `json:"targets"`
}

// job is one simulation run. result is set by runJobs.
type job struct {
	deployment Deployment
	variant    Variant
	load       float64
	faults     bool
	short      bool
	seed       uint64
	result     *counters
}

// Run simulates every cell of the given loads with the seeds from 1 up to the number
// seeds. policy selects the policies that are compared with the baseline. Run fails
// with spool.ErrUnknownPolicy if one of these policies is not registered.
func Run(seeds int, policy Variant, loads ...float64) (result Result, err error) {
	if err := policy.validate(); err != nil {
		return Result{}, errors.Wrap(err, "measure policies")
	}
	for i := range seeds {
		result.Seeds = append(result.Seeds, uint64(firstSeed+i))
	}
	var jobs []*job
	for _, d := range Deployments() {
		for _, load := range loads {
			jobs = append(jobs, cellJobs(job{deployment: d, load: load}, policy, result.Seeds)...)
			jobs = append(jobs, cellJobs(job{deployment: d, load: load, faults: true}, policy, result.Seeds)...)
			if load == 1 {
				jobs = append(jobs, cellJobs(job{deployment: d, load: load, short: true}, policy, result.Seeds)...)
			}
		}
	}
	runJobs(jobs)
	for len(jobs) > 0 {
		result.Cells = append(result.Cells, newCell(jobs[:3*seeds], seeds))
		jobs = jobs[3*seeds:]
	}
	result.Targets = evaluateTargets(result.Cells)
	return result, nil
}

// cellJobs returns the runs of one cell: baseline, policies and reference, each with
// every seed.
func cellJobs(template job, policy Variant, seeds []uint64) (jobs []*job) {
	for _, v := range []Variant{BaselineVariant(), policy, referenceVariant()} {
		for _, seed := range seeds {
			j := template
			j.variant, j.seed = v, seed
			jobs = append(jobs, &j)
		}
	}
	return jobs
}

// validate builds each policy once and returns the first error.
func (v Variant) validate() error {
	_, router := spool.Routers.New(v.Router, 0, nil)
	_, queue := spool.Queues.New(v.Queue, 0, nil)
	_, gate := spool.Gates.New(v.Gate, 0, nil)
	_, retry := spool.Retries.New(v.Retry, 0, nil)
	_, pause := spool.Pauses.New(v.Pause, 0, nil)
	for _, err := range []error{router, queue, gate, retry, pause} {
		if err != nil {
			return err
		}
	}
	return nil
}

// runJobs simulates the jobs on half of the cores and stores the result in each job.
// Each run is deterministic, so the order of the jobs does not matter.
func runJobs(jobs []*job) {
	queue := make(chan *job)
	var workers sync.WaitGroup
	for range max(1, runtime.NumCPU()/2) {
		workers.Go(func() {
			for j := range queue {
				j.result = simulate(j)
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	workers.Wait()
}

// newCell merges the results of the jobs of one cell, which are ordered as in cellJobs.
func newCell(jobs []*job, seeds int) Cell {
	sums := make([]*counters, 3)
	for i, j := range jobs {
		variant := i / seeds
		if sums[variant] == nil {
			sums[variant] = j.result
			continue
		}
		sums[variant].merge(j.result)
	}
	entitled := entitledCalls(jobs[0], sums[2], seeds)
	result := Cell{
		Deployment: jobs[0].deployment.Name, Load: jobs[0].load, Faults: jobs[0].faults, ShortMemory: jobs[0].short,
		Baseline: figures(sums[0], entitled), Policy: figures(sums[1], entitled),
		FloorP95: quantile(sums[2], 95),
	}
	result.Ratios = Ratios{
		P50:        ratio(result.Policy.P50, result.Baseline.P50),
		P95:        ratio(result.Policy.P95, result.Baseline.P95),
		P99:        ratio(result.Policy.P99, result.Baseline.P99),
		Recomputed: ratio(result.Policy.Recomputed, result.Baseline.Recomputed),
	}
	return result
}

// entitledCalls returns the number of calls that each account is entitled to: the
// calls that the reference run answered, scaled down where they exceed the capacity
// of the engines. Engines of a drained failure domain add no capacity.
func entitledCalls(j *job, ideal *counters, seeds int) map[string]float64 {
	d := j.deployment
	capacity := capacityPerEndpoint() * float64(d.Endpoints) * float64(windowLength) / float64(clock.Second) * float64(seeds)
	if j.faults {
		drained := 0
		for i := range d.Endpoints {
			if i%len(d.Domains) == 0 {
				drained++
			}
		}
		capacity *= 1 - float64(drained)/float64(d.Endpoints)*float64(returnAt-drainAt)/float64(windowLength)
	}
	total := 0.0
	for _, calls := range ideal.calls {
		total += float64(calls)
	}
	entitled := map[string]float64{}
	for account, calls := range ideal.calls {
		entitled[account] = float64(calls) * min(1, capacity/total)
	}
	return entitled
}

// figures derives the figures of a variant from its merged counters. entitled is the
// result of entitledCalls.
func figures(n *counters, entitled map[string]float64) Figures {
	f := Figures{
		P50: quantile(n, 50), P95: quantile(n, 95), P99: quantile(n, 99),
		AllP95:           float64(n.allLatency.ValueAtQuantile(95)),
		Recomputed:       ratio(float64(n.recomputedTokens), float64(n.promptTokens)),
		WorstServed:      1,
		RefusedWithin:    ratio(float64(n.admissionShortfall), float64(n.withinRate)),
		RefusedByRequest: ratio(float64(n.withinRateRefused), float64(n.withinRate)),
		OverAdmission:    n.overAdmission, Overloads: n.overloads,
		AlarmP95:      float64(n.alarmLatency.ValueAtQuantile(95)),
		Service:       1 - ratio(float64(n.serviceErrors), float64(n.serviceCalls)),
		ServiceWithin: 1 - ratio(float64(n.serviceErrors+n.serviceWithinRateRefused), float64(n.serviceCalls+n.serviceWithinRateRefused)),
		Refusals:      sortRefusals(n.refusals),
		Unfinished:    n.unfinished, Refused: n.refusedPrograms,
	}
	for account, calls := range entitled {
		f.Calls += n.calls[account]
		if share := ratio(float64(n.calls[account]), calls); share < f.WorstServed {
			f.WorstServed, f.WorstAccount = share, account
		}
	}
	return f
}

// quantile returns the given percentile of the program latency in milliseconds.
func quantile(n *counters, q float64) float64 { return float64(n.latency.ValueAtQuantile(q)) }

// ratio returns a/b, or 0 when b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
