package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewOrder returns the commands that publish, clear and list orders to model engines.
func NewOrder(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("order", "Order engines to load or unload models and to change their role",
		"  baobabspool order load ndar-a-3 --model fog-7b --version 4\n  baobabspool order list ndar-a-3",
		o.orderModel("load", spool.OrderLoad), o.orderModel("unload", spool.OrderUnload),
		o.orderRole(), o.orderClear(), o.orderList())
}

// baseFlag adds the flag --base and returns its value: the offset at which the operator
// read the orders of the endpoint. The change is rejected if these orders were changed
// after that offset. With 0 the publisher uses the offset up to which it has read the
// stream when it publishes.
func baseFlag(command *cobra.Command) *int64 {
	return command.Flags().Int64("base", 0, "offset at which the orders were read; 0 for now")
}

func (o *operatorOptions) orderModel(use string, kind spool.OrderKind) *cobra.Command {
	var model, adapter, version string
	command := &cobra.Command{
		Use:     use + " ENDPOINT",
		Short:   "Order one engine to " + use + " a model or an adapter",
		Example: "  baobabspool order " + use + " ndar-a-3 --model fog-7b --adapter pumps",
		Args:    cobra.ExactArgs(1),
	}
	base := baseFlag(command)
	command.Flags().StringVar(&model, "model", "", "model")
	command.Flags().StringVar(&adapter, "adapter", "", "adapter")
	command.Flags().StringVar(&version, "version", "", "version")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		return s.publish(control.Order{Endpoint: spool.EndpointID(args[0]), Base: spool.Offset(*base), Order: spool.EngineOrder{
			Kind: kind, Model: spool.ModelName(model), Adapter: adapter, Version: version,
		}})
	})
}

func (o *operatorOptions) orderRole() *cobra.Command {
	command := &cobra.Command{
		Use:     "role ENDPOINT ROLE",
		Short:   "Order one engine to change its role",
		Example: "  baobabspool order role ndar-a-3 prefill",
		Args:    cobra.ExactArgs(2),
	}
	base := baseFlag(command)
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		return s.publish(control.Order{
			Endpoint: spool.EndpointID(args[0]), Base: spool.Offset(*base),
			Order: spool.EngineOrder{Kind: spool.OrderRole, Role: args[1]},
		})
	})
}

func (o *operatorOptions) orderClear() *cobra.Command {
	command := &cobra.Command{
		Use:     "clear ENDPOINT",
		Short:   "Forget the orders for an endpoint, for example when its VM is gone",
		Example: "  baobabspool order clear ndar-a-3",
		Args:    cobra.ExactArgs(1),
	}
	base := baseFlag(command)
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		return s.publish(control.Order{Endpoint: spool.EndpointID(args[0]), Base: spool.Offset(*base), Clear: true})
	})
}

// orderListing is the output of order list.
type orderListing struct {
	// ReadAt is the offset up to which the stream was read, to pass to --base.
	ReadAt spool.Offset `json:"readAt"`
	// Orders maps each endpoint to its orders in force.
	Orders map[string][]spool.EngineOrder `json:"orders"`
}

func (o *operatorOptions) orderList() *cobra.Command {
	command := &cobra.Command{
		Use:     "list [ENDPOINT...]",
		Short:   "List the orders in force by endpoint",
		Example: "  baobabspool order list",
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		if len(args) == 0 {
			args = state.OrderedEndpoints()
		}
		result := orderListing{ReadAt: state.Offset(), Orders: map[string][]spool.EngineOrder{}}
		for _, endpoint := range args {
			result.Orders[endpoint] = state.Orders(spool.EndpointID(endpoint))
		}
		return s.print(result, func(w io.Writer) {
			for _, endpoint := range args {
				for _, order := range result.Orders[endpoint] {
					_, _ = fmt.Fprintf(w, "%s\tfence %d\t%s\t%s\t%s\t%s\t%s\n", endpoint, order.Fence, order.Kind, order.Model, order.Adapter, order.Version, order.Role)
				}
			}
			_, _ = fmt.Fprintf(w, "read at offset %d\n", result.ReadAt)
		})
	})
}
