package standin

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// VMList simulates the platform's list of VMs. Changes become visible after a
// delay.
type VMList struct {
	mu sync.Mutex
	// lag is the delay after which a change becomes visible.
	lag clock.Millis
	// versions are in the order in which they become visible. The first is the one
	// that is visible now.
	versions []vmVersion
}

var _ spool.VMList = (*VMList)(nil)

// vmVersion is a version of the list and the time from which it is visible.
type vmVersion struct {
	visibleAt time.Time
	vms       []spool.VM
}

// VMSettings are the settings that the control port returns and updates.
type VMSettings struct {
	// LagMs is the delay after which a change of the list becomes visible.
	LagMs clock.Millis `json:"lagMs"`
	// VMs is the newest list, which may not be visible yet.
	VMs []spool.VM `json:"vms"`
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag clock.Millis) *VMList {
	return &VMList{lag: lag, versions: []vmVersion{{}}}
}

// Settings returns the lag and the newest list, which may not be visible yet.
func (l *VMList) Settings() VMSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].vms
	return VMSettings{LagMs: l.lag, VMs: append([]spool.VM(nil), newest...)}
}

// Set replaces the lag and the list. The list becomes visible after the new lag; the
// first list is visible at once.
func (l *VMList) Set(settings VMSettings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = settings.LagMs
	from := time.Now().Add(l.lag.Duration())
	if l.versions[len(l.versions)-1].vms == nil {
		from = time.Time{}
	}
	l.versions = append(l.versions, vmVersion{visibleAt: from, vms: settings.VMs})
}

// Update replaces the VM that has the same ID as vm, or adds vm to the list. The
// change becomes visible as in Set.
func (l *VMList) Update(vm spool.VM) {
	settings := l.Settings()
	for i := range settings.VMs {
		if settings.VMs[i].ID == vm.ID {
			settings.VMs[i] = vm
			l.Set(settings)
			return
		}
	}
	settings.VMs = append(settings.VMs, vm)
	l.Set(settings)
}

// VMs returns the list that is visible now.
func (l *VMList) VMs(context.Context) ([]spool.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !time.Now().Before(l.versions[1].visibleAt) {
		l.versions = l.versions[1:]
	}
	return append([]spool.VM{}, l.versions[0].vms...), nil
}

// ServeVMs serves the list over HTTP at address. The control port serves the settings,
// unless control is empty.
func ServeVMs(list *VMList, address, control string) (*Server, error) {
	return Serve(address, control, func(ctx *fasthttp.RequestCtx) {
		vms, _ := list.VMs(ctx)
		reply(ctx, vms)
	}, controlHandler(list.Settings, list.Set))
}
