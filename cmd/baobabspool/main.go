// Command baobabspool runs every process of the system and the operators'
// commands.
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
