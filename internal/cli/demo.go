package cli

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/demo"
)

// errInvariant means that the report of the demonstration lists a violated invariant.
var errInvariant = errors.New("an invariant was violated")

func newDemo() *cobra.Command {
	options := demo.DefaultOptions()
	asJSON := false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system on this machine and show what it does",
		Long: `Run the whole system on this machine: entries in two failure domains, agents,
and small stand-ins of the platform's log, list of VMs, engines and a service.
A few dozen programs run over real HTTP while a key is withdrawn, an engine turns
cold and a failure domain leaves and returns. The figures are counted by the
callers and the stand-ins. The exit status is 1 when an invariant was broken.`,
		Example: "  baobabspool demo\n  baobabspool demo --json | tail -1",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			report, err := demo.Run(contextOf(command), options)
			if err != nil {
				return err
			}
			report.Print(command.OutOrStdout())
			if asJSON {
				line, err := json.Marshal(report)
				if err != nil {
					return err
				}
				fmt.Fprintln(command.OutOrStdout(), string(line))
			}
			if report.Failed() {
				return errInvariant
			}
			return nil
		},
	}
	command.Flags().IntVar(&options.Programs, "programs", options.Programs, "number of programs")
	command.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "seed of the programs and of the stand-ins' faults")
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object as the last line")
	config.BindEnvironment(command)
	return command
}
