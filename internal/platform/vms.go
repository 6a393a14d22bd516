package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// VMList is the client of the platform's list of VMs.
type VMList struct {
	transport *transport
}

var _ spool.VMList = (*VMList)(nil)

// NewVMList returns a client of the list at address, a host:port.
func NewVMList(address string) *VMList { return &VMList{transport: newTransport(address)} }

// VMs returns the list as the platform knows it, which lags.
func (l *VMList) VMs(ctx context.Context) (vms []spool.VM, err error) {
	defer func() { err = errors.Wrap(err, "read list of VMs") }()
	err = l.transport.get(ctx, "/v1/vms", 0, &vms)
	return vms, err
}
