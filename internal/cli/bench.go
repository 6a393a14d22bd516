package cli

import (
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/bench"
	"github.com/baobabspool/baobabspool/internal/demo"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// defaultSeeds is the default number of seeds, each of which adds a simulated run. With 3
// seeds the command takes far less than a minute.
const defaultSeeds = 3

// NewBench returns the command that compares the scheduling policies with a baseline in a
// simulation with virtual time, or with real processes if --real is set.
func NewBench() *cobra.Command {
	var seeds int
	var asJSON, showRefusals, useProcesses bool
	var loads []float64
	var options map[string]string
	policy := bench.PolicyVariant()
	policy.Options = spool.Options{}
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure the scheduling policies beside naive baselines in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if useProcesses {
				return compareProcesses(command, loads)
			}
			for name, text := range options {
				value, err := strconv.ParseFloat(text, 64)
				if err != nil {
					return errors.Wrapf(err, "option %s", name)
				}
				policy.Options[name] = value
			}
			result, err := bench.Run(max(1, seeds), policy, loads...)
			if err != nil {
				return err
			}
			if asJSON {
				return result.WriteJSON(command.OutOrStdout())
			}
			if err := result.WriteTable(command.OutOrStdout()); err != nil || !showRefusals {
				return err
			}
			return result.WriteRefusals(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&seeds, "seeds", defaultSeeds, "number of seeds, from 1 upwards")
	flags.BoolVar(&asJSON, "json", false, "print one JSON object")
	flags.BoolVar(&useProcesses, "real", false, "compare the default policies with the baseline with real entries and agents before stand-ins, 80 s for each load")
	flags.BoolVar(&showRefusals, "refusals", false, "print which calls were refused while a failure domain left and returned")
	flags.Float64SliceVar(&loads, "loads", bench.DefaultLoads(), "offered loads, in multiples of the capacity")
	flags.StringToStringVar(&options, "option", nil, "numbers for the policies, such as routing.startWaitMs=10000")
	flags.StringVar(&policy.Router, "router", policy.Router, "router to compare with the baseline")
	flags.StringVar(&policy.Queue, "queue", policy.Queue, "queue order to compare with the baseline")
	flags.StringVar(&policy.Gate, "gate", policy.Gate, "gate to compare with the baseline")
	flags.StringVar(&policy.Retry, "retry", policy.Retry, "retry policy to compare with the baseline")
	flags.StringVar(&policy.Pause, "pause", policy.Pause, "tool pause policy to compare with the baseline")
	return command
}

// compareSeed is the seed of the random load in the comparison with real entries and
// agents. It is fixed, so that both variants get the same load.
const compareSeed = 1

// compareProcesses compares the default policies with the baseline in real entries and
// agents, and prints the result. loads are in multiples of the capacity. If there is
// exactly one load, it is used; otherwise the load is 1.
func compareProcesses(command *cobra.Command, loads []float64) error {
	load := 1.0
	if len(loads) == 1 {
		load = loads[0]
	}
	results, err := demo.Compare(command.Context(), load, compareSeed)
	if err != nil {
		return err
	}
	return demo.WriteComparison(command.OutOrStdout(), load, results)
}
