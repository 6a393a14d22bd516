package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Target is a target of section 1.3 of the design and the worst result for it. Cell
// names the cell with that result. Without a cell that the target applies to, Cell is
// empty and the target is met.
type Target struct {
	Name  string  `json:"name"`
	Limit string  `json:"limit"`
	Worst float64 `json:"worst"`
	Cell  string  `json:"cell"`
	Met   bool    `json:"met"`
}

// name describes the cell: deployment, load and fault state.
func (c Cell) name() string {
	state := "steady"
	if c.Faults {
		state = "faults"
	}
	if c.ShortMemory {
		state = "short memory"
	}
	return fmt.Sprintf("%s load %.1f %s", c.Deployment, c.Load, state)
}

// evaluateTargets evaluates each target on its worst cell. Targets "at capacity"
// apply to the cells with load 1, all other targets to all cells.
func evaluateTargets(cells []Cell) []Target {
	atCapacity := func(c Cell) bool { return c.Load == 1 }
	every := func(Cell) bool { return true }
	worstCell := func(name, limit string, applies func(Cell) bool, value func(Cell) float64, bound float64) Target {
		t := Target{Name: name, Limit: limit, Worst: -1}
		for _, c := range cells {
			if applies(c) && value(c) > t.Worst {
				t.Worst, t.Cell = value(c), c.name()
			}
		}
		t.Met = t.Worst <= bound
		return t
	}
	worstServed := worstCell("worst-served account", ">= 0.95 of its due at capacity", atCapacity,
		func(c Cell) float64 { return 1 - c.Policy.WorstServed }, 0.05)
	worstServed.Worst = 1 - worstServed.Worst
	return []Target{
		worstCell("p95 ratio at capacity", "<= 0.5", atCapacity, func(c Cell) float64 { return c.Ratios.P95 }, 0.5),
		worstCell("p95 ratio in any cell", "<= 1", every, func(c Cell) float64 { return c.Ratios.P95 }, 1),
		worstCell("recomputed ratio at capacity", "<= 0.333", atCapacity, func(c Cell) float64 { return c.Ratios.Recomputed }, 1.0/3),
		worstServed,
		worstCell("refused within rate at capacity", "< 0.001", atCapacity, func(c Cell) float64 { return c.Policy.RefusedWithin }, 0.000999),
		worstCell("over-admission in any cell", "0", every, func(c Cell) float64 { return c.Policy.OverAdmission }, 0),
		worstCell("overload of cold endpoints in any cell", "0", every, func(c Cell) float64 { return float64(c.Policy.Overloads) }, 0),
	}
}

// WriteJSON writes the result as one JSON object.
func (r Result) WriteJSON(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "write result")
}

// WriteTable writes the result as a text table.
func (r Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seeds %v; latencies in seconds, of the programs of accounts that keep to their rate\n", r.Seeds)
	fmt.Fprintf(w, "b: baseline, p: policies, floor: engines without limits, queues or recomputing\n\n")
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "cell\t\tp50\tp95\tp99\tall p95\trecomputed\tworst served\trefused within\tover\tcold overload\talarm p95\tservice\twith rate\tcalls\tunfinished\trefused\t")
	for _, c := range r.Cells {
		writeRow(table, c.name(), "b", c.Baseline)
		writeRow(table, "", "p", c.Policy)
		fmt.Fprintf(table, "floor p95 %.0f\tp/b\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\t\t\t\t\t\t\t\t\t\t\n",
			c.FloorP95/1000, c.Ratios.P50, c.Ratios.P95, c.Ratios.P99, ratio(c.Policy.AllP95, c.Baseline.AllP95), c.Ratios.Recomputed)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	fmt.Fprintln(w, "\ntargets of section 1.3 of docs/design.md, each with its worst cell")
	for _, t := range r.Targets {
		verdict := "missed"
		if t.Met {
			verdict = "met"
		}
		fmt.Fprintf(w, "  %-6s  %s %s: %.4f (%s)\n", verdict, t.Name, t.Limit, t.Worst, t.Cell)
	}
	return nil
}

func writeRow(w io.Writer, name, side string, f Figures) {
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f %s\t%.4f\t%.0f\t%d\t%.1f\t%.4f\t%.4f\t%d\t%d\t%d\t\n",
		name, side, f.P50/1000, f.P95/1000, f.P99/1000, f.AllP95/1000, f.Recomputed, f.WorstServed, f.WorstAccount,
		f.RefusedWithin, f.OverAdmission, f.Overloads, f.AlarmP95/1000, f.Service, f.ServiceWithin, f.Calls, f.Unfinished, f.Refused)
}
