package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewWhere returns the command that asks a running gateway where a request would go now.
func NewWhere() *cobra.Command {
	var address, program, affinityKey string
	var asJSON bool
	command := &cobra.Command{
		Use:   "where HOST PATH",
		Short: "Show where a gateway would send a request now, and why, without sending it",
		Long: `Ask a running gateway where it would send a request to HOST and PATH now: the
route, the service, whether the request would be refused, and each endpoint with the
terms of its cost or the reason for which it gets no request. Nothing is sent to an
endpoint. The limits of accounts are not looked at, and no key is needed or shown.`,
		Example: "  baobabspool where models.example /chat/ --gateway 10.1.0.11:8367 --program 01j9...",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			var problems config.Problems
			if address == "" {
				problems.Add("gateway", "is required")
			}
			if err := problems.Err(); err != nil {
				return errors.Wrap(errUsage, err.Error())
			}
			request := gateway.WhereRequest{Host: args[0], Path: args[1], Program: spool.ProgramID(program), AffinityKey: affinityKey}
			reply, err := askWhere(contextOf(command), address, request)
			if err != nil {
				return errors.Wrapf(errUnreachable, "gateway %s: %v", address, err)
			}
			if asJSON {
				return json.NewEncoder(command.OutOrStdout()).Encode(reply)
			}
			return printWhere(command.OutOrStdout(), reply)
		},
	}
	command.Flags().StringVar(&address, "gateway", "", "host:port of the control address of a gateway")
	command.Flags().StringVar(&program, "program", "", "program of the request")
	command.Flags().StringVar(&affinityKey, "affinity-key", "", "key of the object that the request is about, for sticky routes")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	config.BindEnvironment(command)
	return command
}

func askWhere(ctx context.Context, address string, request gateway.WhereRequest) (reply gateway.WhereReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, nodeRequestTimeout.Duration())
	defer cancel()
	clients := wire.NewClients("operator")
	defer clients.Close()
	err = clients.Call(ctx, address, gateway.MethodWhere, request, &reply, nil)
	return reply, err
}

func printWhere(w io.Writer, reply gateway.WhereReply) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printLine := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	printLine("gateway\t%s in %s, configuration %d", reply.Node, reply.FailureDomain, reply.Version)
	printLine("route\t%s", orNone(reply.Route))
	printLine("service\t%s, load %.2f, %.2f of new programs may begin", orNone(string(reply.Service)), reply.Load, reply.StartShare)
	printLine("result\t%s", resultText(reply))
	if len(reply.Explanation.Candidates) > 0 {
		printLine("domain\t%.2f of the requests may leave it", reply.Explanation.SpillShare)
		printLine("")
		printLine("endpoint\tdomain\town\tothers\tslots\tcost\t= occupancy\t+ domain\t+ state\t+ speed\t+ affinity\tspeed ratio\texcluded")
	}
	for _, c := range reply.Explanation.Candidates {
		printCandidate(printLine, c)
	}
	return table.Flush()
}

func printCandidate(printLine func(format string, values ...any), c endpoints.CandidateExplanation) {
	ratio := "unknown"
	if c.SpeedRatio > 0 {
		ratio = fmt.Sprintf("%.2f", c.SpeedRatio)
	}
	printLine("%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s", c.Endpoint, c.FailureDomain, c.Own, c.Others, c.Slots,
		c.Cost, c.Occupancy, c.Domain, c.State, c.Speed, c.Affinity, ratio, c.Excluded)
}

func resultText(reply gateway.WhereReply) string {
	if reply.Refusal != "" {
		return fmt.Sprintf("refused: %s", reply.Refusal)
	}
	return fmt.Sprintf("sent to %s", reply.Explanation.Picked)
}
