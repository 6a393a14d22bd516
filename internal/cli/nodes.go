package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// maxConcurrentRequests bounds the number of nodes that a command queries at the same
// time.
const maxConcurrentRequests = 64

// nodeRequestTimeout bounds the request to one node, so that a node that is down delays
// the output by at most this time.
const nodeRequestTimeout = 2 * clock.Second

// nodeCommand completes a command that queries nodes, the processes of entries and
// endpoint agents, and returns it. It adds the flags. When the command is executed, it
// checks these flags, obtains the nodes and calls run with a nodeQuery and the arguments.
func (o *operatorOptions) nodeCommand(command *cobra.Command, run func(*nodeQuery, []string) error) *cobra.Command {
	o.addCommonFlags(command)
	command.Flags().StringVar(&o.vmsAddress, "vms-address", "", "host:port of the platform's list of VMs")
	command.Flags().StringSliceVar(&o.entries, "entries", nil, "host:port of entries to ask instead of the list")
	var files process.TLSFiles
	registerTLSFlags(command, &files)
	command.RunE = func(command *cobra.Command, args []string) error {
		var problems config.Problems
		o.checkFlags(&problems)
		files.Check(&problems)
		if o.vmsAddress == "" && len(o.entries) == 0 {
			problems.Add("vms-address", "is required unless entries are given")
		}
		if err := problems.Err(); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		ctx, cancel := context.WithTimeout(contextOf(command), clock.Millis(o.timeoutMs).Duration()+o.watchDuration)
		defer cancel()
		certificates, err := files.Open()
		if err != nil {
			return err
		}
		clients := wire.NewClients("operator", wire.WithTLS(certificates.Client))
		defer clients.Close()
		vms, err := o.listVMs(ctx)
		if err != nil {
			return err
		}
		return run(&nodeQuery{operatorOptions: o, ctx: ctx, clients: clients, vms: vms, out: command.OutOrStdout()}, args)
	}
	config.BindEnvironment(command)
	return command
}

// listVMs returns the entries given by the flag --entries, with their addresses as IDs.
// Without that flag it returns the platform's list of VMs.
func (o *operatorOptions) listVMs(ctx context.Context) ([]spool.VM, error) {
	if len(o.entries) == 0 {
		vms, err := o.openVMs(o.vmsAddress).VMs(ctx)
		if err != nil {
			return nil, errors.Wrap(errUnreachable, err.Error())
		}
		return vms, nil
	}
	var vms []spool.VM
	for _, address := range o.entries {
		vms = append(vms, spool.VM{ID: spool.NodeID(address), Role: spool.RoleEntry, State: spool.VMLive, Address: address})
	}
	return vms, nil
}

// nodeQuery holds what one execution of a command needs to query nodes. vms are the nodes.
type nodeQuery struct {
	*operatorOptions
	ctx     context.Context
	clients *wire.Clients
	vms     []spool.VM
	out     io.Writer
}

func (q *nodeQuery) call(address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(q.ctx, nodeRequestTimeout.Duration())
	defer cancel()
	return q.clients.Call(ctx, address, method, request, reply, nil)
}

// NewStatus returns the command that shows the offset of the control stream in force at
// each node, and for an entry its calls and the streams that it owns.
func NewStatus(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	var endpoints bool
	command := &cobra.Command{
		Use:     "status",
		Short:   "Show which version every node has in force, and what it owns",
		Long:    "Ask every entry, and with --endpoints every agent, which offset of the control stream it has in force and how old that is.",
		Example: "  baobabspool status --vms-address 10.0.0.6:9000 --endpoints",
		Args:    cobra.NoArgs,
	}
	command.Flags().BoolVar(&endpoints, "endpoints", false, "ask the agents too")
	return o.nodeCommand(command, func(q *nodeQuery, _ []string) error { return q.status(endpoints) })
}

// nodeStatus is one row of the output of status. Control is set for an entry, Endpoint
// for an agent, and Error instead of both if the node could not be queried.
type nodeStatus struct {
	Node     spool.NodeID         `json:"node"`
	Role     spool.Role           `json:"role"`
	Domain   spool.FailureDomain  `json:"failureDomain"`
	State    spool.VMState        `json:"state"`
	Control  *control.Status      `json:"control,omitempty"`
	Endpoint *wire.EndpointStatus `json:"endpoint,omitempty"`
	Error    string               `json:"error,omitempty"`
}

func (q *nodeQuery) status(endpoints bool) error {
	var queried []spool.VM
	for _, vm := range q.vms {
		if vm.Role == spool.RoleEntry || endpoints {
			queried = append(queried, vm)
		}
	}
	rows := make([]nodeStatus, len(queried))
	workers := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for i, vm := range queried {
		workers.Go(func() { rows[i] = q.queryStatus(vm) })
	}
	workers.Wait()
	unanswered := 0
	for _, row := range rows {
		if row.Error != "" {
			unanswered++
		}
	}
	err := q.printTo(q.out, rows, func(w io.Writer) { printStatus(w, rows) })
	if err == nil && (unanswered > 0 || len(rows) == 0) {
		return errors.Wrapf(errUnreachable, "%d of %d nodes did not answer", unanswered, len(rows))
	}
	return err
}

func (q *nodeQuery) queryStatus(vm spool.VM) nodeStatus {
	row := nodeStatus{Node: vm.ID, Role: vm.Role, Domain: vm.FailureDomain, State: vm.State}
	var err error
	if vm.Role == spool.RoleEntry {
		row.Control = &control.Status{}
		err = q.call(vm.Address, wire.MethodControlStatus, struct{}{}, row.Control)
		if err == nil && row.Control.Process == nil {
			// A separate method returns the status of an entry's streams and calls.
			// Its error is ignored, so that the row still shows the control status.
			_ = q.call(vm.Address, entry.MethodStatus, struct{}{}, &row.Control.Process)
		}
	} else {
		row.Endpoint = &wire.EndpointStatus{}
		err = q.call(vm.Address, wire.MethodEndpointStatus, struct{}{}, row.Endpoint)
	}
	if err != nil {
		row.Control, row.Endpoint, row.Error = nil, nil, err.Error()
	}
	return row
}

func printStatus(w io.Writer, rows []nodeStatus) {
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", row.Node, row.Role, row.Domain, row.State)
		switch {
		case row.Control != nil:
			_, _ = fmt.Fprintf(w, "offset %d\tage %s\tisolated %t\tout %v\t%s\n", row.Control.Offset, row.Control.StateAge, row.Control.Isolated, row.Control.Drains, entrySummary(row.Control.Process))
		case row.Endpoint != nil:
			_, _ = fmt.Fprintf(w, "offset %d\trunning %d of %d\tqueued %d\tcold %t, draining %t\n", row.Endpoint.ControlOffset,
				row.Endpoint.Running, row.Endpoint.Window, row.Endpoint.Queued, row.Endpoint.Cold, row.Endpoint.Draining)
		default:
			_, _ = fmt.Fprintf(w, "%s\n", row.Error)
		}
	}
}

// entrySummary shortens the status of an entry to its number of calls and the streams
// that it owns. It returns a status in another format unchanged.
func entrySummary(status json.RawMessage) string {
	var summary struct {
		Calls   int64                      `json:"calls"`
		Streams map[string]json.RawMessage `json:"streams"`
	}
	if json.Unmarshal(status, &summary) != nil {
		return string(status)
	}
	streams := make([]string, 0, len(summary.Streams))
	for stream := range summary.Streams {
		streams = append(streams, stream)
	}
	sort.Strings(streams)
	return fmt.Sprintf("calls %d\towns %v", summary.Calls, streams)
}
