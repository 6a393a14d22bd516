package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewSettings returns the commands that publish and read settings.
func NewSettings(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("settings", "Publish settings and read what is in force",
		"  baobabspool settings set account/acme/limit.ratePerSecond 80 --log-address 10.0.0.5:9000\n"+
			"  baobabspool settings get limit.ratePerSecond --account acme --explain",
		o.settingsSet(), o.settingsUnset(), o.settingsGet(), o.settingsApply(), o.settingsHistory(), o.settingsRevert(), settingsReference())
}

func (o *operatorOptions) settingsSet() *cobra.Command {
	var base int64
	command := &cobra.Command{
		Use:     "set PATH VALUE [PATH VALUE...]",
		Short:   "Set values; all of them or none",
		Long:    "Set values; all of them or none. With --base, the change is refused when a value was changed after that offset.",
		Example: "  baobabspool settings set fleet/limit.burst 200 region/sn-west/drain.rampMs 60000",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) < 2 || len(args)%2 != 0 {
				return errors.New("takes pairs of a path and a value")
			}
			return nil
		},
	}
	command.Flags().Int64Var(&base, "base", 0, "offset at which the values were read; 0 for now")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		var contents []any
		var problems error
		for i := 0; i < len(args); i += 2 {
			path, err := settings.ParsePath(args[i])
			problems = multierr.Append(problems, err)
			contents = append(contents, settings.Change{Path: path, Value: settings.ParseValue(path, args[i+1]), Base: spool.Offset(base)})
		}
		if problems != nil {
			return problems
		}
		return s.publish(contents...)
	})
}

func (o *operatorOptions) settingsUnset() *cobra.Command {
	command := &cobra.Command{
		Use:     "unset PATH [PATH...]",
		Short:   "Unset values, so that the broader level holds",
		Example: "  baobabspool settings unset account/acme/limit.burst",
		Args:    cobra.MinimumNArgs(1),
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		var contents []any
		for _, arg := range args {
			path, err := settings.ParsePath(arg)
			if err != nil {
				return err
			}
			contents = append(contents, settings.Change{Path: path})
		}
		return s.publish(contents...)
	})
}

// shownValue is one value in the output of settings get. Path is set for a value set at
// a path, Name for the value of a setting that is in force for the scope. Offset is 0 if
// the value is the default. Layers is set only with --explain.
type shownValue struct {
	Path   string           `json:"path,omitempty"`
	Name   string           `json:"name,omitempty"`
	Value  any              `json:"value"`
	Offset spool.Offset     `json:"offset,omitempty"`
	Layers []settings.Layer `json:"layers,omitempty"`
}

// shownValues is the output of settings get.
type shownValues struct {
	// ReadAt is the offset up to which the stream was read, to pass to --base.
	ReadAt spool.Offset `json:"readAt"`
	Values []shownValue `json:"values"`
}

func (o *operatorOptions) settingsGet() *cobra.Command {
	var region, domain, account, program string
	var explain bool
	command := &cobra.Command{
		Use:   "get [PATH|NAME...]",
		Short: "Show what is set, or what holds for a scope",
		Long: "Without an argument, show every value that is set. With a path, show the value set there. With the name " +
			"of a setting, show the value that holds for the scope given by the flags; --explain adds which level set it and at which offset.",
		Example: "  baobabspool settings get\n  baobabspool settings get limit.burst --account acme --explain",
	}
	flags := command.Flags()
	flags.StringVar(&region, "region", "", "region of the scope")
	flags.StringVar(&domain, "failure-domain", "", "failure domain of the scope")
	flags.StringVar(&account, "account", "", "client account of the scope")
	flags.StringVar(&program, "program", "", "program of the scope")
	flags.BoolVar(&explain, "explain", false, "show which level set the value")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		scope := settings.Scope{
			Region: spool.Region(region), FailureDomain: spool.FailureDomain(domain),
			Account: spool.AccountID(account), Program: spool.ProgramID(program),
		}
		result := shownValues{ReadAt: state.Offset(), Values: []shownValue{}}
		if len(args) == 0 {
			args = state.Settings().Paths("")
		}
		for _, arg := range args {
			value, err := lookUpValue(state, scope, arg, explain)
			if err != nil {
				return err
			}
			result.Values = append(result.Values, value)
		}
		return s.print(result, func(w io.Writer) { printValues(w, result) })
	})
}

// lookUpValue returns the value set at the path arg if arg contains a slash. Otherwise
// arg is the name of a setting, and lookUpValue returns its value in force for the scope,
// with its layers if explain is true. It fails with errNotFound if no value is set at the
// path or the setting does not exist.
func lookUpValue(state *control.State, scope settings.Scope, arg string, explain bool) (shownValue, error) {
	if strings.Contains(arg, "/") {
		path, err := settings.ParsePath(arg)
		if err != nil {
			return shownValue{}, err
		}
		raw, offset, ok := state.Settings().Get(path)
		if !ok {
			return shownValue{}, errors.Wrapf(errNotFound, "%s is not set", arg)
		}
		return shownValue{Path: arg, Value: raw, Offset: offset}, nil
	}
	layers := state.Settings().ValuesFor(scope).Explain(arg)
	if layers == nil {
		return shownValue{}, errors.Wrapf(errNotFound, "setting %q does not exist", arg)
	}
	value := shownValue{Name: arg, Value: layers[0].Value, Offset: layers[0].Offset}
	if explain {
		value.Layers = layers
	}
	return value, nil
}

func printValues(w io.Writer, result shownValues) {
	for _, value := range result.Values {
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\n", value.Path, value.Name, valueText(value.Value), offsetText(value.Offset))
		for _, layer := range value.Layers {
			marker := ""
			if layer.InForce {
				marker = "in force"
			}
			_, _ = fmt.Fprintf(w, "  %s %s\t%s\t%s\t%s\n", layer.Level, layer.ID, layer.Value, offsetText(layer.Offset), marker)
		}
	}
	_, _ = fmt.Fprintf(w, "read at offset %d\n", result.ReadAt)
}

// valueText formats a value as JSON if it implements json.Marshaler, and with fmt.Sprint
// otherwise.
func valueText(value any) string {
	if raw, ok := value.(interface{ MarshalJSON() ([]byte, error) }); ok {
		if encoded, err := raw.MarshalJSON(); err == nil {
			return string(encoded)
		}
	}
	return fmt.Sprint(value)
}

func offsetText(offset spool.Offset) string {
	if offset == 0 {
		return "default"
	}
	return fmt.Sprintf("offset %d", offset)
}

func (o *operatorOptions) settingsApply() *cobra.Command {
	var dryRun bool
	command := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Publish a file of settings; all of it or nothing",
		Long:    "Publish a file of settings, in YAML or JSON, as one batch: all of it or nothing. Values that are already set as in the file are left alone. - reads standard input.",
		Example: "  baobabspool settings apply fleet.yaml --dry-run",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		data, err := readInput(args[0])
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		changes, err := settings.ParseFile(data)
		if err != nil {
			return errors.Wrap(control.ErrInvalid, err.Error())
		}
		state, err := s.readState()
		if err != nil {
			return err
		}
		differences, contents := diffSettings(state, changes)
		if dryRun || len(contents) == 0 {
			return s.print(differences, func(w io.Writer) {
				for _, d := range differences {
					_, _ = fmt.Fprintf(w, "%s\t%s\t-> %s\n", d.Path, d.Old, d.New)
				}
				_, _ = fmt.Fprintf(w, "%d of %d values differ\n", len(differences), len(changes))
			})
		}
		return s.publish(contents...)
	})
}

// readInput reads a file, or standard input for the name "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// difference is one value that settings apply would change. Old and New are JSON, or
// "unset".
type difference struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// diffSettings selects the changes that would change a value in state. It returns them
// twice: as differences for the output, and as records to publish. It skips changes that
// are not valid.
func diffSettings(state *control.State, changes []settings.Change) (differences []difference, contents []any) {
	differences = []difference{}
	for _, change := range changes {
		old, _, set := state.Settings().Get(change.Path)
		value, err := change.Check()
		if err != nil || (change.Unsets() && !set) || (set && !change.Unsets() && valueText(value) == string(old)) {
			continue
		}
		d := difference{Path: change.Path.String(), Old: "unset", New: "unset"}
		if set {
			d.Old = string(old)
		}
		if !change.Unsets() {
			d.New = valueText(value)
		}
		differences, contents = append(differences, d), append(contents, change)
	}
	return differences, contents
}

func (o *operatorOptions) settingsHistory() *cobra.Command {
	command := &cobra.Command{
		Use:     "history PATH",
		Short:   "Show the changes of a value that the log still holds",
		Example: "  baobabspool settings history account/acme/limit.burst",
		Args:    cobra.ExactArgs(1),
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		events, _, err := control.History(s.ctx, s.log, args[0])
		if err != nil {
			return err
		}
		if len(events) == 0 {
			return errors.Wrapf(errNotFound, "%s has no changes on the log", args[0])
		}
		return s.print(events, func(w io.Writer) {
			for _, event := range events {
				_, _ = fmt.Fprintf(w, "offset %d\t%s\t%s\t%s\t%s\n", event.Offset, formatTime(event.At), event.Writer, event.Value, event.Reason)
			}
		})
	})
}

func (o *operatorOptions) settingsRevert() *cobra.Command {
	var to int64
	command := &cobra.Command{
		Use:   "revert PATH",
		Short: "Publish an earlier value again",
		Long: "Publish an earlier value again, as a new record: offsets never go back. Without --to, the value before the " +
			"latest change is restored.",
		Example: "  baobabspool settings revert account/acme/limit.burst --to 1207",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().Int64Var(&to, "to", 0, "offset of the change to restore; 0 for the one before the latest")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		path, err := settings.ParsePath(args[0])
		if err != nil {
			return err
		}
		if _, err := s.readState(); err != nil {
			return err
		}
		events, complete, err := control.History(s.ctx, s.log, path.String())
		if err != nil {
			return err
		}
		value, err := previousValue(events, spool.Offset(to), complete)
		if err != nil {
			return err
		}
		return s.publish(settings.Change{Path: path, Value: value})
	})
}

// previousValue returns the value to restore, in JSON. It is the value set by the change
// at offset to; if to is 0, the value set by the last but one applied change. If to is 0
// and a complete history has only one applied change, the value was not set before, and
// previousValue returns nil, which unsets it. It fails with control.ErrNoSuchChange if
// the log no longer shows the value.
func previousValue(events []control.Event, to spool.Offset, complete bool) (json.RawMessage, error) {
	var applied []spool.Offset
	for _, event := range events {
		if event.Applied {
			applied = append(applied, event.Offset)
		}
	}
	switch {
	case to != 0:
		return control.ValueAt(events, to)
	case len(applied) > 1:
		return control.ValueAt(events, applied[len(applied)-2])
	case len(applied) == 1 && complete:
		return nil, nil
	default:
		return nil, errors.Wrap(control.ErrNoSuchChange, "the value before the latest change is not known")
	}
}

// Marker lines before and after the table of settings in a Markdown page.
const (
	referenceBegin = "<!-- begin of the table that \"baobabspool settings reference --write\" maintains -->\n"
	referenceEnd   = "<!-- end of the table -->\n"
)

func settingsReference() *cobra.Command {
	var page string
	command := &cobra.Command{
		Use:     "reference",
		Short:   "Print the table of every setting, in Markdown",
		Long:    "Print the table of every setting, in Markdown. With --write, replace the table in a page, between its two marking lines.",
		Example: "  baobabspool settings reference --write docs/OPERATIONS.md",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if page != "" {
				return writeReference(page)
			}
			_, err := io.WriteString(command.OutOrStdout(), settings.Reference())
			return errors.Wrap(err, "print")
		},
	}
	command.Flags().StringVar(&page, "write", "", "page to update")
	return command
}

// writeReference replaces the text between the marker lines in the file page by the table
// of settings. It fails if a marker line is missing.
func writeReference(page string) (err error) {
	defer func() { err = errors.Wrapf(err, "update %s", page) }()
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, rest, begins := strings.Cut(string(data), referenceBegin)
	_, after, ends := strings.Cut(rest, referenceEnd)
	if !begins || !ends {
		return errors.Errorf("marker lines are missing: %q and %q", referenceBegin, referenceEnd)
	}
	updated := before + referenceBegin + settings.Reference() + referenceEnd + after
	return os.WriteFile(page, []byte(updated), 0o644)
}

// formatTime formats a time in UTC with milliseconds; "-" for 0.
func formatTime(at clock.Millis) string {
	if at == 0 {
		return "-"
	}
	return toTime(at).UTC().Format("2006-01-02T15:04:05.000Z")
}
