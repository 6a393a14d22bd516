// Package process puts the parts of an entry and of an endpoint agent together
// and runs them as one process each.
package process

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// vmsEvery is how often an agent reads the list of VMs. An agent needs it
	// only to find entries and to learn that its own VM is leaving.
	vmsEvery = 500 * clock.Millis(1)
	// vmsTimeout bounds one read of the list.
	vmsTimeout = 2 * clock.Second
)

// vmWatch keeps the latest list of VMs that could be read.
type vmWatch struct {
	list    spool.VMList
	changed func()

	mu  sync.Mutex
	vms []spool.VM

	cancel context.CancelFunc
	done   chan struct{}
}

// newVMWatch starts reading list and calls changed after every read.
func newVMWatch(list spool.VMList, t *telemetry.Telemetry, changed func()) *vmWatch {
	ctx, cancel := context.WithCancel(context.Background())
	watch := &vmWatch{list: list, changed: changed, cancel: cancel, done: make(chan struct{})}
	log := t.Logger("vms")
	go func() {
		defer close(watch.done)
		ticker := time.NewTicker(vmsEvery.Duration())
		defer ticker.Stop()
		for {
			if err := watch.read(ctx); err != nil && ctx.Err() == nil {
				t.Event("vmListUnavailable")
				log.Debug("list of VMs is unavailable", zap.Error(err))
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return watch
}

func (w *vmWatch) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmsTimeout.Duration())
	defer cancel()
	vms, err := w.list.VMs(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.vms = vms
	w.mu.Unlock()
	w.changed()
	return nil
}

// all returns the latest list. It must not be changed.
func (w *vmWatch) all() []spool.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// entries returns the entries of the latest list.
func (w *vmWatch) entries() []spool.VM {
	var entries []spool.VM
	for _, vm := range w.all() {
		if vm.Role == spool.RoleEntry {
			entries = append(entries, vm)
		}
	}
	return entries
}

// leaving reports whether the platform is about to take the VM away.
func (w *vmWatch) leaving(node spool.NodeID) bool {
	for _, vm := range w.all() {
		if vm.ID == node {
			return vm.State == spool.VMLeaving
		}
	}
	return false
}

func (w *vmWatch) close() {
	w.cancel()
	<-w.done
}
