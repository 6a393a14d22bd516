package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/roster"
	"github.com/baobabspool/baobabspool/internal/wire"
	state "github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestRoster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "roster")
}

// fakeList implements spool.VMList. It counts the reads in reads, including failed
// ones, and fails while down is set.
type fakeList struct {
	mu    sync.Mutex
	vms   []spool.VM
	down  bool
	reads atomic.Int64
}

func (l *fakeList) VMs(context.Context) ([]spool.VM, error) {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, context.DeadlineExceeded
	}
	return append([]spool.VM(nil), l.vms...), nil
}

func (l *fakeList) set(change func(vms []spool.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.vms)
}

type node struct {
	*roster.Runtime
	// started is closed after Runtime has been set. The server's handler waits for it.
	started chan struct{}
	vm      spool.VM
	server  *wire.Server
	clients *wire.Clients
}

func (n *node) stop() {
	n.Close()
	n.clients.Close()
	_ = n.server.Close()
}

// startNodes starts 4 entries and 8 agents in 2 failure domains, with one reader per
// failure domain, and waits until all have the list. They communicate over loopback
// connections.
func startNodes(list *fakeList) (nodes []*node) {
	for i := range 12 {
		vm := spool.VM{
			ID: spool.NodeID(fmt.Sprintf("n%02d", i)), Role: spool.RoleEndpoint, State: spool.VMLive,
			FailureDomain: spool.FailureDomain(fmt.Sprintf("d%d", i%2)),
		}
		if i < 4 {
			vm.Role = spool.RoleEntry
		}
		n := &node{started: make(chan struct{}), clients: wire.NewClients(vm.ID)}
		server, err := wire.Listen("127.0.0.1:0", wire.Mux{
			wire.MethodRosterPull: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
				<-n.started
				return n.Handlers()[wire.MethodRosterPull](ctx, params, send)
			},
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		vm.Address = server.Address()
		n.vm, n.server = vm, server
		nodes, list.vms = append(nodes, n), append(list.vms, vm)
	}
	for _, n := range nodes {
		var err error
		n.Runtime, err = roster.New(state.Config{
			Node: n.vm.ID, Role: n.vm.Role, FailureDomain: n.vm.FailureDomain, ReadersPerDomain: 1, InitialReadSpread: 200, ReadInterval: 200,
		}, list, n.clients)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		close(n.started)
		ginkgo.DeferCleanup(n.stop)
	}
	for _, n := range nodes {
		gomega.Eventually(n.Entries, "5s").Should(gomega.HaveLen(4))
	}
	return nodes
}

var _ = ginkgo.Describe("Runtime", func() {
	// Guards against faults of the relay that appear only with real connections and
	// clocks, since the tests of pkg/roster use virtual time. Also guards against agents
	// that keep the whole list.
	ginkgo.It("relays changes to all, tells an agent that it leaves, and survives the end of a reader", func() {
		list := &fakeList{}
		nodes := startNodes(list)
		list.reads.Store(0)
		time.Sleep(time.Second)
		gomega.Expect(list.reads.Load()).To(gomega.BeNumerically("<=", 2*6), "two readers, five reads a second")
		rows, readAt := nodes[11].Latest()
		gomega.Expect(rows).To(gomega.HaveLen(4))
		gomega.Expect(readAt).NotTo(gomega.BeZero())
		rows, _ = nodes[0].Latest()
		gomega.Expect(rows).To(gomega.HaveLen(12))

		list.set(func(vms []spool.VM) { vms[11].State = spool.VMLeaving })
		gomega.Eventually(nodes[11].IsLeaving, "3s").Should(gomega.BeTrue())
		for _, n := range nodes[:4] {
			gomega.Eventually(func() spool.VMState { rows, _ := n.Latest(); return rows[11].State }, "3s").Should(gomega.Equal(spool.VMLeaving))
		}

		nodes[0].stop()
		list.set(func(vms []spool.VM) { vms[10].State, vms[2].State = spool.VMLeaving, spool.VMLeaving })
		gomega.Eventually(nodes[10].IsLeaving, "5s").Should(gomega.BeTrue())
		for _, n := range nodes[1:] {
			gomega.Eventually(func() spool.VMState { return n.Entries()[2].State }, "5s").Should(gomega.Equal(spool.VMLeaving))
		}
	})

	// Guards against nodes that drop their list because it cannot be refreshed.
	ginkgo.It("keeps the list while the platform does not answer", func() {
		list := &fakeList{}
		nodes := startNodes(list)
		list.mu.Lock()
		list.down = true
		list.mu.Unlock()
		time.Sleep(time.Second)
		for _, n := range nodes {
			gomega.Expect(n.Entries()).To(gomega.HaveLen(4))
		}
	})
})
