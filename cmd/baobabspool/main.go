// Command baobabspool runs the processes of the system and the commands for
// operators.
package main

import (
	"fmt"
	"os"

	"github.com/baobabspool/baobabspool/internal/cli"
)

func main() {
	if err := cli.NewRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(cli.ExitCode(err))
	}
}
