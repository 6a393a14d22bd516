// Package cli holds the commands of the baobabspool binary, one file per noun:
// those that run the processes, and those with which operators publish settings,
// keys, accounts, services, drains and engine orders and read back what is in
// force. Flags are also read from environment variables.
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

// Exit codes of the operator commands.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitInvalid        = 2
	ExitConflict       = 3
	ExitLogUnavailable = 4
	ExitUnresolved     = 5
	ExitNotFound       = 6
	ExitUnreachable    = 7
)

// Errors that decide the exit code.
var (
	errUsage       = errors.New("command line is not valid")
	errNotFound    = errors.New("not found")
	errUnreachable = errors.New("node cannot be reached")
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	conflict := &control.ConflictError{}
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage), errors.Is(err, control.ErrInvalid), errors.Is(err, settings.ErrBadPath):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, control.ErrUnresolved):
		return ExitUnresolved
	case errors.Is(err, control.ErrNotPublished), errors.Is(err, spool.ErrLogUnavailable):
		return ExitLogUnavailable
	case errors.Is(err, errNotFound), errors.Is(err, control.ErrNotKept):
		return ExitNotFound
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// Option changes what the commands work with.
type Option func(*operatorOptions)

// WithOpenLog replaces the client of the platform's log.
func WithOpenLog(open func(address string) spool.Log) Option {
	return func(o *operatorOptions) { o.openLog = open }
}

// WithOpenVMs replaces the client of the platform's list of VMs.
func WithOpenVMs(open func(address string) spool.VMList) Option {
	return func(o *operatorOptions) { o.openVMs = open }
}

// operator holds what the commands of one noun have in common.
type operatorOptions struct {
	openLog    func(address string) spool.Log
	openVMs    func(address string) spool.VMList
	logAddress string
	vmsAddress string
	entries    []string
	writer     string
	timeoutMs  int64
	// watch is the time between two samples; it does not count for the timeout.
	watchDuration time.Duration
	asJSON        bool
}

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

// noun builds a command that only holds others.
func commandGroup(use, short, example string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use: use, Short: short, Example: example, Args: usageArgs(cobra.NoArgs), SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			_ = command.Help()
			return errors.Wrapf(errUsage, "%s needs one of its commands", use)
		},
	}
	command.SetFlagErrorFunc(usageError)
	command.AddCommand(commands...)
	return command
}

func usageError(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) }

// checkArgs marks the errors of an argument check as usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return errors.Wrapf(errUsage, "%v, see %s --help", err, command.CommandPath())
		}
		return nil
	}
}

// verb finishes a command that reads or writes the control stream.
func (o *operatorOptions) controlCommand(command *cobra.Command, run func(*controlSession, []string) error) *cobra.Command {
	o.addCommonFlags(command)
	command.Flags().StringVar(&o.logAddress, "log-address", "", "host:port of the platform's log")
	command.Flags().StringVar(&o.writer, "writer", defaultWriter(), "name that is recorded as the author")
	command.RunE = func(command *cobra.Command, args []string) error {
		var problems config.Problems
		o.checkFlags(&problems)
		problems.Require("log-address", o.logAddress)
		if o.logAddress != "" {
			problems.Address("log-address", o.logAddress)
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
	config.Bind(command)
	return command
}

// common adds the flags of every command.
func (o *operatorOptions) addCommonFlags(command *cobra.Command) {
	command.SilenceUsage = true
	command.SetFlagErrorFunc(usageError)
	if command.Args != nil {
		command.Args = usageArgs(command.Args)
	}
	command.Flags().BoolVar(&o.asJSON, "json", false, "print JSON")
	command.Flags().Int64Var(&o.timeoutMs, "timeout-ms", int64(defaultTimeout), "give up after this time")
}

func (o *operatorOptions) checkFlags(problems *config.Problems) {
	if o.timeoutMs <= 0 {
		problems.Add("timeout-ms", "must be positive")
	}
	if o.watchDuration < 0 || o.watchDuration > maxWatchDuration {
		problems.Add("for", "must be between 0 and %v", maxWatchDuration)
	}
}

// contextOf returns the context of a command, which cobra leaves nil when the
// command is run without one.
func contextOf(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

func defaultWriter() string {
	host, err := os.Hostname()
	if err != nil || settings.CheckIdentifier(host) != nil {
		return "operator"
	}
	return "operator." + host
}

// session is one run of a command that uses the control stream.
type controlSession struct {
	*operatorOptions
	ctx       context.Context
	log       spool.Log
	out       io.Writer
	publisher *control.Publisher
}

// state reads the control stream to its end.
func (s *controlSession) readState() (*control.State, error) {
	if err := s.publisher.Refresh(s.ctx); err != nil {
		return nil, err
	}
	return s.publisher.State(), nil
}

// published is printed after a change.
type publishResult struct {
	Offset spool.Offset `json:"offset"`
	Paths  []string     `json:"paths"`
}

// publish publishes contents and prints the offset.
func (s *controlSession) publish(contents ...any) error {
	offset, err := s.publisher.Publish(s.ctx, contents...)
	if err != nil {
		return err
	}
	result := publishResult{Offset: offset}
	for _, content := range contents {
		name, _ := control.Identify(content)
		result.Paths = append(result.Paths, name)
	}
	return s.print(result, func(w io.Writer) {
		for _, path := range result.Paths {
			_, _ = fmt.Fprintf(w, "%s\tat offset %d\n", path, offset)
		}
	})
}

// print prints value as JSON, or calls text with a writer that aligns columns.
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

func (s *controlSession) print(value any, printText func(io.Writer)) error {
	return s.printTo(s.out, value, printText)
}
