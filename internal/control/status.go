package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Status is the reply to the method control.status, which describes a node to an
// operator.
type Status struct {
	Node          spool.NodeID        `json:"node"`
	Role          spool.Role          `json:"role"`
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	// Offset is the offset of the last batch of the control stream that the node has
	// applied.
	Offset spool.Offset `json:"offset"`
	// StateAge is the time since the control state was last known to match the log.
	// It is -1 if the state was never fully loaded.
	StateAge clock.Millis `json:"freshForMs"`
	// Isolated is the result of Reader.Isolated: the node refuses requests with a key.
	Isolated bool `json:"isolated"`
	// Settings, Keys, Accounts and Services are the numbers of stored values. They
	// include removed values that the state still remembers.
	Settings int `json:"settings"`
	Keys     int `json:"keys"`
	Accounts int `json:"accounts"`
	Services int `json:"services"`
	// Drains is the result of State.Drains, the paths of the drain settings that are
	// true.
	Drains []string `json:"drains"`
	// Process holds additional data of the process, for example the streams that it
	// owns. It is the result of the function set by WithStatus.
	Process json.RawMessage `json:"process,omitempty"`
}

// WithStatus sets a function whose result is added to replies to control.status as
// Status.Process.
func WithStatus(process func() any) Option { return func(r *Reader) { r.processStatus = process } }

// serveStatus answers control.status with Status and, if WithStatus is set, Process.
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
