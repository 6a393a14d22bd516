package bench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Refusal describes a group of calls that were issued in the service phase (see
// inServicePhase) and ended with an error.
type Refusal struct {
	// Failure is the failure of the last attempt.
	Failure spool.Failure `json:"failure"`
	// Account is the client account.
	Account string `json:"account"`
	// IsProgramStart is true for the first calls of root programs.
	IsProgramStart bool `json:"start"`
	// AfterReturn is true for calls that ended after the failure domain had
	// returned.
	AfterReturn bool `json:"back"`
	// Calls is the number of calls in the group.
	Calls int `json:"calls"`
}

// sortRefusals returns the groups with their number of calls, the largest group first.
func sortRefusals(counts map[Refusal]int) []Refusal {
	list := make([]Refusal, 0, len(counts))
	for refusal, calls := range counts {
		refusal.Calls = calls
		list = append(list, refusal)
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Account, b.Account), cmp.Compare(a.name(), b.name()))
	})
	return list
}

// name describes the failure, the kind of call and the phase, without the account.
func (r Refusal) name() string {
	kind, phase := "call", "out"
	if r.IsProgramStart {
		kind = "start"
	}
	if r.AfterReturn {
		phase = "back"
	}
	return fmt.Sprintf("%s %s %s", r.Failure, kind, phase)
}

// WriteRefusals writes a table of the failed calls for each cell with faults, for the
// baseline (b) and the policies (p).
func (r Result) WriteRefusals(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "\ncell\t\trefusal\tcalls\tof which by account")
	for _, c := range r.Cells {
		for i, f := range []Figures{c.Baseline, c.Policy} {
			if c.Faults {
				writeRefusalRows(table, c.name()+"\t"+[]string{"b", "p"}[i], f.Refusals)
			}
		}
	}
	return errors.Wrap(table.Flush(), "write refusals")
}

func writeRefusalRows(w io.Writer, cell string, list []Refusal) {
	total, accounts := map[string]int{}, map[string]string{}
	var names []string
	for _, refusal := range list {
		name := refusal.name()
		if total[name] == 0 {
			names = append(names, name)
		}
		total[name] += refusal.Calls
		accounts[name] += fmt.Sprintf("%s %d ", refusal.Account, refusal.Calls)
	}
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", cell, name, total[name], accounts[name])
	}
}
