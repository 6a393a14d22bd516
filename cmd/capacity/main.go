// Command capacity measures how the cost of the system's parts grows with their load. With
// --write, it rewrites the tables and plots of docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/capacity"
	"github.com/baobabspool/baobabspool/internal/cli"
)

func main() {
	// The measurements start entries as separate processes. They run this binary with
	// the argument "entry", so that no other binary has to be built.
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		if err := cli.NewRoot().Execute(); err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			os.Exit(cli.ExitCode(err))
		}
		return
	}
	if err := newRoot().Execute(); err != nil {
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	page := ""
	command := &cobra.Command{
		Use:          "capacity",
		Short:        "Measure how costs grow and extrapolate them to the target size",
		Example:      "  go run ./cmd/capacity --write docs/CAPACITY.md",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			all, err := capacity.Measure(context.Background(), []string{binary, "entry"}, func(name string) {
				fmt.Fprintln(command.ErrOrStderr(), "measured", name)
			})
			if err != nil {
				return err
			}
			target := capacity.TargetTable(all)
			fmt.Fprintln(command.OutOrStdout(), capacity.Table(all)+"\n"+target)
			if page == "" {
				return nil
			}
			return capacity.Write(page, all, target)
		},
	}
	command.Flags().StringVar(&page, "write", "", "page whose tables are replaced")
	return command
}
