package adapters

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// VMList is an HTTP client for the platform's list of VMs.
type VMList struct {
	transport *transport

	mu sync.Mutex
	// latest is the decoded last response, and latestDigest is the hash of its body. A
	// response with the same hash is not decoded again, because decoding a list of
	// 11,330 VMs takes 50 ms, three times the CPU time that a node may use per second.
	latest       []spool.VM
	latestDigest uint64
}

var _ spool.VMList = (*VMList)(nil)

// NewVMList returns a client for the list at address, a host:port.
func NewVMList(address string) *VMList { return &VMList{transport: newTransport(address)} }

// VMs requests the platform's list of VMs, which lags behind the actual state. If the
// list has not changed since the last call, VMs returns the same slice again. Callers
// must therefore not modify the slice.
func (l *VMList) VMs(ctx context.Context) (vms []spool.VM, err error) {
	defer func() { err = errors.Wrap(err, "read list of VMs") }()
	body, err := l.transport.getBody(ctx, "/v1/vms", 0)
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest != nil && l.latestDigest == digest {
		return l.latest, nil
	}
	if err := decodeResponse(body, nil, &vms); err != nil {
		return nil, err
	}
	l.latest, l.latestDigest = vms, digest
	return vms, nil
}
