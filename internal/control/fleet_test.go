package control_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// refusedAddress is an address that refuses connections.
const refusedAddress = "127.0.0.1:1"

// testCluster runs readers with real connections on loopback.
type testCluster struct {
	log           *fakeLog
	clientOptions []wire.ClientOption
	// cleanup registers the stop function of a node.
	cleanup func(func())
	mu      sync.Mutex
	vms     []spool.VM
}

// testNode is one reader of a testCluster.
type testNode struct {
	*control.Reader
	vm      spool.VM
	clients *wire.Clients
	server  *wire.Server
	// cutFromLog and cutFromPeers simulate lost connections of the node.
	cutFromLog   atomic.Bool
	cutFromPeers atomic.Bool
}

// partitionableLog is the log as one node reaches it. Reads fail while the node is cut
// off from the log.
type partitionableLog struct {
	*fakeLog
	member *testNode
}

func (l partitionableLog) Read(ctx context.Context, stream spool.Stream, after spool.Offset, wait clock.Millis) (spool.Page, error) {
	if l.member.cutFromLog.Load() {
		return spool.Page{}, spool.ErrLogUnavailable
	}
	page, err := l.fakeLog.Read(ctx, stream, after, wait)
	if l.member.cutFromLog.Load() {
		return spool.Page{}, spool.ErrLogUnavailable
	}
	return page, err
}

func (f *testCluster) list() []spool.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]spool.VM(nil), f.vms...)
}

// start starts a node and adds it to the VM list. Only entries have a log.
func (f *testCluster) start(config control.Config) *testNode {
	m := &testNode{clients: wire.NewClients(config.Node, f.clientOptions...)}
	var handler atomic.Pointer[wire.Mux]
	mux := wire.Mux{wire.MethodPull: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
		if m.cutFromPeers.Load() || handler.Load() == nil {
			return nil, spool.Refuse(spool.CodeShuttingDown, "cut off")
		}
		return (*handler.Load())[wire.MethodPull](ctx, params, send)
	}}
	server, err := wire.Listen("127.0.0.1:0", mux, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m.server = server
	m.vm = spool.VM{ID: config.Node, Role: config.Role, State: spool.VMLive, FailureDomain: config.FailureDomain, Address: server.Address()}
	f.mu.Lock()
	f.vms = append(f.vms, m.vm)
	f.mu.Unlock()
	options := []control.Option{control.WithClients(m.clients), control.WithPeers(func() []spool.VM {
		vms := f.list()
		for i := range vms {
			if m.cutFromPeers.Load() {
				vms[i].Address = refusedAddress
			}
		}
		return vms
	})}
	if config.Role == spool.RoleEntry {
		options = append(options, control.WithLog(partitionableLog{f.log, m}))
	}
	m.Reader, err = control.NewReader(config, options...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	handlers := m.Handlers()
	handler.Store(&handlers)
	f.cleanup(m.stop)
	return m
}

func (m *testNode) stop() {
	m.Close()
	m.clients.Close()
	_ = m.server.Close()
}
