package standin

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// VMList is the stand-in of the platform's list of VMs. Changes show after a
// lag.
type VMList struct {
	mu sync.Mutex
	// lag is how long a change stays unseen.
	lag clock.Millis
	// versions are in order of the instant from which they are shown.
	versions []vmVersion
}

var _ spool.VMList = (*VMList)(nil)

type vmVersion struct {
	visibleAt time.Time
	vms       []spool.VM
}

// VMSettings is what the control port shows and sets.
type VMSettings struct {
	LagMs clock.Millis `json:"lagMs"`
	VMs   []spool.VM   `json:"vms"`
}

// NewVMList returns an empty list with the given lag.
func NewVMList(lag clock.Millis) *VMList {
	return &VMList{lag: lag, versions: []vmVersion{{}}}
}

// Settings returns the lag and the newest list, which may not be shown yet.
func (l *VMList) Settings() VMSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].vms
	return VMSettings{LagMs: l.lag, VMs: append([]spool.VM(nil), newest...)}
}

// Set replaces the list; it is shown after the lag.
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

// Update changes the VM of the given ID in place, or adds it.
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

// VMs returns the list as it is shown now.
func (l *VMList) VMs(context.Context) ([]spool.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !time.Now().Before(l.versions[1].visibleAt) {
		l.versions = l.versions[1:]
	}
	return append([]spool.VM{}, l.versions[0].vms...), nil
}

// ServeVMs starts the list as a server.
func ServeVMs(list *VMList, address, control string) (*Server, error) {
	return Serve(address, control, func(ctx *fasthttp.RequestCtx) {
		vms, _ := list.VMs(ctx)
		reply(ctx, vms)
	}, controlHandler(list.Settings, list.Set))
}
