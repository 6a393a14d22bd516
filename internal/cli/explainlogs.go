package cli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/pkg/story"
)

// standardInput is the name of a log file that stands for standard input.
const standardInput = "-"

// addLogFlags lets a command that explains a program also explain one, or a request, from
// the logs of gateways, without any process that runs.
func addLogFlags(command *cobra.Command) {
	var files []string
	command.Flags().StringSliceVar(&files, "logs", nil, "log files of gateways, '-' for standard input; explains a request or a program from them")
	explainRunning := command.RunE
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(files) == 0 {
			return explainRunning(command, args)
		}
		return explainLogs(command, files, args[0])
	}
}

// explainLogs prints the story of a request or program. It fails with errNotFound if no
// line names it.
func explainLogs(command *cobra.Command, files []string, id string) error {
	var lines []story.Line
	for _, file := range files {
		more, err := readLog(command.InOrStdin(), file)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		lines = append(lines, more...)
	}
	told := story.Of(lines, id)
	if len(told.Lines) == 0 {
		return errors.Wrapf(errNotFound, "no line of %d names %q", len(lines), id)
	}
	printStory(command.OutOrStdout(), told)
	return nil
}

func readLog(input io.Reader, file string) (lines []story.Line, err error) {
	if file == standardInput {
		return story.Read(input)
	}
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	lines, err = story.Read(opened)
	return lines, errors.Wrap(err, file)
}

// printStory prints the lines with their times relative to the first one, and then the
// causes.
func printStory(w io.Writer, told story.Story) {
	start := told.Lines[0].At
	for _, line := range told.Lines {
		_, _ = fmt.Fprintf(w, "%8.3f  %s  %s", line.At-start, line.Node, line.Message)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if value := line.Fields[name]; value != "" {
				_, _ = fmt.Fprintf(w, " %s=%v", name, value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, failure := range told.Failures {
		cause := failure.Cause
		if cause == "" {
			cause = "the logs do not tell the cause"
		}
		_, _ = fmt.Fprintf(w, "\nrequest %s failed at %s after %.3f s (%s): %s\n", failure.Request, failure.Node, failure.At-start, failure.Reason, cause)
	}
}
