package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/pkg/settings"
)

// NewDrain returns the commands that start, end and list drains. A drained failure domain
// or endpoint gets no new work.
func NewDrain(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("drain", "Take failure domains and endpoints out and bring them back",
		"  baobabspool drain start --failure-domain ndar-a\n  baobabspool drain end --failure-domain ndar-a",
		o.drainChange("start", "Take out: no new work within seconds, work in flight ends", "true"),
		o.drainChange("end", "Bring back, ramped up over drain.rampMs", "false"),
		o.drainList())
}

func (o *operatorOptions) drainChange(use, short, value string) *cobra.Command {
	var domains, endpoints []string
	command := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  baobabspool drain " + use + " --failure-domain ndar-a --endpoint dkr-b-3",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringSliceVar(&domains, "failure-domain", nil, "failure domain; may be repeated")
	command.Flags().StringSliceVar(&endpoints, "endpoint", nil, "endpoint; may be repeated")
	return o.controlCommand(command, func(s *controlSession, _ []string) error {
		var paths []string
		for _, domain := range domains {
			paths = append(paths, "failureDomain/"+domain+"/"+string(settings.DrainFailureDomain))
		}
		for _, endpoint := range endpoints {
			paths = append(paths, "fleet/"+string(settings.DrainEndpoint)+"["+endpoint+"]")
		}
		if len(paths) == 0 {
			return errors.Wrap(errUsage, "name a failure domain or an endpoint")
		}
		var contents []any
		for _, text := range paths {
			path, err := settings.ParsePath(text)
			if err != nil {
				return err
			}
			change := settings.Change{Path: path, Value: json.RawMessage(value)}
			if path.Key != "" && value == "false" {
				change.Value = nil
			}
			contents = append(contents, change)
		}
		return s.publish(contents...)
	})
}

func (o *operatorOptions) drainList() *cobra.Command {
	command := &cobra.Command{
		Use:     "list",
		Short:   "List what is taken out",
		Example: "  baobabspool drain list",
		Args:    cobra.NoArgs,
	}
	return o.controlCommand(command, func(s *controlSession, _ []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		drains := state.Drains()
		return s.print(drains, func(w io.Writer) {
			for _, path := range drains {
				_, _ = fmt.Fprintln(w, path)
			}
		})
	})
}
