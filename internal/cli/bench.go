package cli

import (
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/bench"
)

// defaultSeeds keeps a run far below a minute.
const defaultSeeds = 3

// NewBench returns the command that measures the policies in virtual time.
func NewBench() *cobra.Command {
	var seeds int
	var asJSON bool
	policy := bench.Policy()
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure the scheduling policies beside naive baselines in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := bench.Run(max(1, seeds), policy, bench.DefaultLoads()...)
			if err != nil {
				return err
			}
			if asJSON {
				return result.WriteJSON(command.OutOrStdout())
			}
			return result.WriteTable(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&seeds, "seeds", defaultSeeds, "number of seeds, from 1 upwards")
	flags.BoolVar(&asJSON, "json", false, "print one JSON object")
	flags.StringVar(&policy.Router, "router", policy.Router, "router to compare with the baseline")
	flags.StringVar(&policy.Queue, "queue", policy.Queue, "queue order to compare with the baseline")
	flags.StringVar(&policy.Gate, "gate", policy.Gate, "gate to compare with the baseline")
	flags.StringVar(&policy.Retry, "retry", policy.Retry, "retry policy to compare with the baseline")
	return command
}
