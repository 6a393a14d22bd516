// Package cli implements the commands of the baobabspool binary, one file per command
// group. Some commands run a process of the system. With others, operators publish
// settings, keys, accounts, services, drains and engine orders, and read the state in
// force. The rest check, measure or demonstrate the system. Most flags are also read
// from environment variables, see package config.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Exit codes of the commands, as listed in docs/OPERATIONS.md.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means an error without an exit code of its own.
	ExitFailed = 1
	// ExitInvalid means that the command line, a file or a published value is not valid.
	ExitInvalid = 2
	// ExitConflict means that another change came first, so this one was rejected.
	ExitConflict = 3
	// ExitLogUnavailable means that the log is unavailable and nothing was published.
	ExitLogUnavailable = 4
	// ExitUnresolved means that the change may or may not have been published.
	ExitUnresolved = 5
	// ExitNotFound means that a named object or change does not exist.
	ExitNotFound = 6
	// ExitUnreachable means that a process or the list of VMs could not be queried.
	ExitUnreachable = 7
)

// Errors for which ExitCode returns ExitInvalid, ExitNotFound and ExitUnreachable.
var (
	errUsage       = errors.New("command line is not valid")
	errNotFound    = errors.New("not found")
	errUnreachable = errors.New("node cannot be reached")
)

// ExitCode returns the exit code for the error that a command returned; ExitOK for nil.
func ExitCode(err error) int {
	conflict := &control.ConflictError{}
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage), errors.Is(err, control.ErrInvalid), errors.Is(err, settings.ErrMalformedPath):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, control.ErrUnresolved):
		return ExitUnresolved
	case errors.Is(err, control.ErrNotPublished), errors.Is(err, spool.ErrLogUnavailable):
		return ExitLogUnavailable
	case errors.Is(err, errNotFound), errors.Is(err, control.ErrNoSuchChange):
		return ExitNotFound
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// Option replaces a dependency of the commands, so that tests need no platform.
type Option func(*operatorOptions)

// WithOpenLog replaces the function that returns a client of the platform's log at
// address, a host:port.
func WithOpenLog(open func(address string) spool.Log) Option {
	return func(o *operatorOptions) { o.openLog = open }
}

// WithOpenVMs replaces the function that returns a client of the platform's list of VMs
// at address, a host:port.
func WithOpenVMs(open func(address string) spool.VMList) Option {
	return func(o *operatorOptions) { o.openVMs = open }
}

// operatorOptions holds the dependencies of the commands of one group and the values of
// the flags that they share.
type operatorOptions struct {
	openLog    func(address string) spool.Log
	openVMs    func(address string) spool.VMList
	logAddress string
	vmsAddress string
	entries    []string
	writer     string
	timeoutMs  int64
	// watchDuration is the time between the two samples of the report command; 0 for one
	// sample. It is added to the timeout.
	watchDuration time.Duration
	asJSON        bool
}

// defaultTimeout is the default time after which an operator's command gives up.
const defaultTimeout = 15 * clock.Second

func newOperatorOptions(options []Option) *operatorOptions {
	o := &operatorOptions{
		openLog: func(address string) spool.Log { return adapters.NewLog(address) },
		openVMs: func(address string) spool.VMList { return adapters.NewVMList(address) },
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// commandGroup returns a command that only groups subcommands. Running it without a
// subcommand prints its help and is a usage error.
func commandGroup(use, short, example string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use: use, Short: short, Example: example, Args: usageArgs(cobra.NoArgs), SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			_ = command.Help()
			return errors.Wrapf(errUsage, "%s requires a subcommand", use)
		},
	}
	command.SetFlagErrorFunc(usageError)
	command.AddCommand(commands...)
	return command
}

// usageError wraps an error of the flag parser in errUsage.
func usageError(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) }

// usageArgs returns an argument check that calls check and wraps its error in errUsage.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return errors.Wrapf(errUsage, "%v, see %s --help", err, command.CommandPath())
		}
		return nil
	}
}

// controlCommand completes a command that reads or writes the control stream, and returns
// it. It adds the common flags. When the command is executed, it checks these flags and
// calls run with a controlSession and the arguments.
func (o *operatorOptions) controlCommand(command *cobra.Command, run func(*controlSession, []string) error) *cobra.Command {
	o.addCommonFlags(command)
	command.Flags().StringVar(&o.logAddress, "log-address", "", "host:port of the platform's log")
	command.Flags().StringVar(&o.writer, "writer", defaultWriter(), "name that is recorded as the author")
	command.RunE = func(command *cobra.Command, args []string) error {
		var problems config.Problems
		o.checkFlags(&problems)
		problems.RequireSet("log-address", o.logAddress)
		if o.logAddress != "" {
			problems.RequireAddress("log-address", o.logAddress)
		}
		if err := settings.CheckIdentifier(o.writer); err != nil {
			problems.Add("writer", "%v", err)
		}
		if err := problems.Err(); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		ctx, cancel := context.WithTimeout(contextOf(command), clock.Millis(o.timeoutMs).Duration())
		defer cancel()
		log := o.openLog(o.logAddress)
		s := &controlSession{
			operatorOptions: o, ctx: ctx, log: log, out: command.OutOrStdout(),
			publisher: control.NewPublisher(log, spool.NodeID(o.writer)),
		}
		return run(s, args)
	}
	config.BindEnvironment(command)
	return command
}

// addCommonFlags adds the flags that all operator commands have. It also makes errors of
// the flags and arguments usage errors, so command.Args must be set before.
func (o *operatorOptions) addCommonFlags(command *cobra.Command) {
	command.SilenceUsage = true
	command.SetFlagErrorFunc(usageError)
	if command.Args != nil {
		command.Args = usageArgs(command.Args)
	}
	command.Flags().BoolVar(&o.asJSON, "json", false, "print JSON")
	command.Flags().Int64Var(&o.timeoutMs, "timeout-ms", int64(defaultTimeout), "give up after this time")
}

// checkFlags adds the problems of the timeout and of the watch duration to problems.
func (o *operatorOptions) checkFlags(problems *config.Problems) {
	if o.timeoutMs <= 0 {
		problems.Add("timeout-ms", "must be positive")
	}
	if o.watchDuration < 0 || o.watchDuration > maxWatchDuration {
		problems.Add("for", "must be between 0 and %v", maxWatchDuration)
	}
}

// contextOf returns the context of a command. If the command was executed without a
// context, so that cobra's is nil, it returns a background context.
func contextOf(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

// defaultWriter returns operator.HOSTNAME, or operator if the host name cannot be
// read or is not a valid identifier.
func defaultWriter() string {
	host, err := os.Hostname()
	if err != nil || settings.CheckIdentifier(host) != nil {
		return "operator"
	}
	return "operator." + host
}

// controlSession holds what one execution of a command needs to use the control stream.
// ctx ends after the timeout of the command.
type controlSession struct {
	*operatorOptions
	ctx       context.Context
	log       spool.Log
	out       io.Writer
	publisher *control.Publisher
}

// readState reads the control stream to its end and returns the resulting state. Later
// changes that the session publishes are based on the end that it read.
func (s *controlSession) readState() (*control.State, error) {
	if err := s.publisher.Refresh(s.ctx); err != nil {
		return nil, err
	}
	return s.publisher.State(), nil
}

// publishResult is the output of a command that publishes a change.
type publishResult struct {
	Offset spool.Offset `json:"offset"`
	Paths  []string     `json:"paths"`
}

// publish publishes contents as one batch, which is applied as a whole or not at all, and
// prints the changed paths with the offset of the batch.
func (s *controlSession) publish(contents ...any) error {
	offset, err := s.publisher.Publish(s.ctx, contents...)
	if err != nil {
		return err
	}
	result := publishResult{Offset: offset}
	for _, content := range contents {
		name, _ := control.PathOf(content)
		result.Paths = append(result.Paths, name)
	}
	return s.print(result, func(w io.Writer) {
		for _, path := range result.Paths {
			_, _ = fmt.Fprintf(w, "%s\tat offset %d\n", path, offset)
		}
	})
}

// printTo prints value as JSON if the json flag is set. Otherwise it calls printText
// with a writer that aligns tab-separated columns.
func (o *operatorOptions) printTo(out io.Writer, value any, printText func(io.Writer)) error {
	if o.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print")
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	printText(table)
	return errors.Wrap(table.Flush(), "print")
}

// print calls printTo with the output of the command.
func (s *controlSession) print(value any, printText func(io.Writer)) error {
	return s.printTo(s.out, value, printText)
}
