package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Status describes a node to an operator.
type Status struct {
	Node          spool.NodeID        `json:"node"`
	Role          spool.Role          `json:"role"`
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	// Offset is the offset of the control state in force.
	Offset spool.Offset `json:"offset"`
	// FreshFor is the age of that state. It is negative before the state has been
	// loaded.
	StateAge clock.Millis `json:"freshForMs"`
	// Isolated is set if the node refuses keyed requests.
	Isolated bool `json:"isolated"`
	// Settings, Keys, Accounts and Services are numbers of stored values. Removed
	// values that are still remembered count as well.
	Settings int `json:"settings"`
	Keys     int `json:"keys"`
	Accounts int `json:"accounts"`
	Services int `json:"services"`
	// Drains lists the paths of the drain settings that are true.
	Drains []string `json:"drains"`
	// Process holds additional data of the process, for example the streams that it
	// owns. It is the result of the function set by WithStatus.
	Process json.RawMessage `json:"process,omitempty"`
}

// WithStatus sets a function whose result is added to replies to control.status as
// Status.Process.
func WithStatus(process func() any) Option { return func(r *Reader) { r.processStatus = process } }

func (r *Reader) serveStatus(_ context.Context, _ struct{}, _ wire.Send) (any, error) {
	status := r.Status()
	if r.processStatus == nil {
		return status, nil
	}
	var err error
	status.Process, err = json.Marshal(r.processStatus())
	return status, errors.Wrap(err, "encode status of the process")
}

// Status returns the status of the node, without Process.
func (r *Reader) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	return Status{
		Node: r.config.Node, Role: r.config.Role, FailureDomain: r.config.FailureDomain,
		Offset: r.node.state.offset, StateAge: r.node.StateAge(now), Isolated: r.node.Isolated(now),
		Settings: r.node.state.tree.Len(), Keys: r.node.state.ring.Len(), Accounts: r.node.state.accounts.Len(),
		Services: r.node.state.services.Len(), Drains: r.node.state.Drains(),
	}
}
