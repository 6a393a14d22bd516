package cli

import (
	"github.com/spf13/cobra"
)

// Version is the version of the binary. The linker sets it for releases; "development" is
// the value in all other builds.
var Version = "development"

// NewRoot returns the root command with every subcommand.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "baobabspool",
		Short: "Schedule agent programs on model endpoints that restart without notice",
		Long: `baobabspool schedules agent programs on model endpoints that restart without notice.

Callers talk to an entry. Beside each endpoint runs an agent. Operators publish
settings, keys, accounts and drains on the platform's log. To see all of it on
one machine:

  baobabspool demo`,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newEntry(),
		newEndpoint(),
		newGateway(),
		NewSettings(),
		NewKey(),
		NewAccount(),
		NewService(),
		NewDrain(),
		NewOrder(),
		NewStatus(),
		NewExplain(),
		NewWhere(),
		NewReport(),
		NewCheck(),
		newDemo(),
		NewBench(),
		newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			command.Println(Version)
		},
	}
}
