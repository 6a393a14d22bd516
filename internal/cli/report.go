package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// maxWatchDuration is the longest time between the two samples of a report.
const maxWatchDuration = time.Hour

// NewReport returns the command that shows for each account how many requests were
// answered and refused, compared with its rate limit.
func NewReport(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	command := &cobra.Command{
		Use:   "report",
		Short: "Show what every client account was given, and who was served worst",
		Long: `Ask every entry for its counts, twice with --for and the time between, and show for
each client account the calls answered and refused, the served share of what its
rate allows, the refusals that its rate did not call for, the share of prompt
tokens that engines computed again, and how long programs and alarm calls took.

Without --for the counts are those since each entry was started.`,
		Example: "  baobabspool report --for 30s --vms-address 10.0.0.6:9000",
		Args:    cobra.NoArgs,
	}
	command.Flags().DurationVar(&o.watchDuration, "for", 0, "time to watch; 0 for the time since each entry was started")
	return o.nodeCommand(command, func(q *nodeQuery, _ []string) error { return q.report() })
}

func (q *nodeQuery) report() error {
	var before []usage.Sample
	if q.watchDuration > 0 {
		before, _ = q.collectSamples()
		select {
		case <-time.After(q.watchDuration):
		case <-q.ctx.Done():
			return errors.Wrap(context.Cause(q.ctx), "report")
		}
	}
	after, queried := q.collectSamples()
	report := usage.Compare(before, after)
	if err := q.printTo(q.out, report, func(w io.Writer) { printReport(w, report) }); err != nil {
		return err
	}
	if len(after) < queried || queried == 0 {
		return errors.Wrapf(errUnreachable, "%d of %d entries did not answer", queried-len(after), queried)
	}
	return nil
}

// collectSamples queries every entry for its counts. It returns the samples of the entries
// that answered, in any order, and the number of entries queried.
func (q *nodeQuery) collectSamples() (samples []usage.Sample, queried int) {
	var mu sync.Mutex
	workers := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for _, vm := range q.vms {
		if vm.Role != spool.RoleEntry {
			continue
		}
		queried++
		workers.Go(func() {
			sample := usage.Sample{}
			if q.call(vm.Address, entry.MethodUsage, struct{}{}, &sample) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, sample)
		})
	}
	workers.Wait()
	return samples, queried
}

func printReport(w io.Writer, report usage.Report) {
	printLine := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	printLine("window %s\tentries %d\treplaced %d\tmissing %v", report.Window, report.Nodes, report.Replaced, report.Missing)
	printLine("account\tanswered\tserved\trefused within rate\trecomputed\tprograms p50\tp95\talarms p95\trefused")
	for _, row := range append(slices.Clone(report.Accounts), report.Total) {
		name := string(row.Account)
		if name == "" {
			name = "(all)"
		}
		printLine("%s\t%d\t%.3f\t%.0f\t%.3f\t%s\t%s\t%s\t%s", name, row.Answered, row.ServedShare, row.RefusedWithinRate, row.RecomputedShare,
			row.Programs.Quantile(50), row.Programs.Quantile(95), row.Alarms.Quantile(95), refusedText(row.Refused))
	}
	if report.LowestServed != "" {
		printLine("served worst: %s", report.LowestServed)
	}
}

// refusedText lists the refusals by code, for example "overloaded 3, rateLimited 1".
func refusedText(refused map[spool.Code]int64) string {
	var parts []string
	for code, count := range refused {
		if count != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", code, count))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
