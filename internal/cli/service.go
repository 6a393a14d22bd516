package cli

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewService returns the commands that set, remove and list services.
func NewService(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("service", "Set, remove and list services",
		"  baobabspool service set mist-models --kind model --model fog-7b\n"+
			"  baobabspool service set ledger-app --kind service --idempotent-path '/balances/*'",
		o.serviceSet(), o.serviceRemove(), o.serviceList())
}

func (o *operatorOptions) serviceSet() *cobra.Command {
	var kind string
	var models, paths []string
	var open bool
	command := &cobra.Command{
		Use:     "set NAME",
		Short:   "Add a service or replace its description",
		Example: "  baobabspool service set ledger-app --kind service --idempotent-path '/balances/*'",
		Args:    cobra.ExactArgs(1),
	}
	flags := command.Flags()
	flags.StringVar(&kind, "kind", "", "model or service")
	flags.StringSliceVar(&models, "model", nil, "model that the service runs; may be repeated")
	flags.StringSliceVar(&paths, "idempotent-path", nil, "path or pattern whose requests may be repeated; may be repeated")
	flags.BoolVar(&open, "open", false, "accept requests without a key")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		service := control.Service{
			Name: spool.ServiceName(args[0]), Kind: control.ServiceKind(kind), Open: open, IdempotentPaths: paths,
		}
		for _, model := range models {
			service.Models = append(service.Models, spool.ModelName(model))
		}
		return s.publish(service)
	})
}

func (o *operatorOptions) serviceRemove() *cobra.Command {
	command := &cobra.Command{
		Use:     "remove NAME",
		Short:   "Remove a service; nothing is routed to it any more",
		Example: "  baobabspool service remove ledger-app",
		Args:    cobra.ExactArgs(1),
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		service, ok := state.Services()[spool.ServiceName(args[0])]
		if !ok {
			return errors.Wrapf(errNotFound, "service %q", args[0])
		}
		service.Removed = true
		return s.publish(service)
	})
}

func (o *operatorOptions) serviceList() *cobra.Command {
	command := &cobra.Command{
		Use:     "list",
		Short:   "List the services",
		Example: "  baobabspool service list --json",
		Args:    cobra.NoArgs,
	}
	return o.controlCommand(command, func(s *controlSession, _ []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		list := []control.Service{}
		for _, service := range state.Services() {
			list = append(list, service)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
		return s.print(list, func(w io.Writer) {
			for _, service := range list {
				access := "key needed"
				if service.Open {
					access = "open"
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tmodels %v\tidempotent %s\n", service.Name, service.Kind, access,
					service.Models, strings.Join(service.IdempotentPaths, " "))
			}
		})
	})
}
