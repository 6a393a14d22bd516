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

// testCluster runs readers in one process, with real connections between them on
// loopback and one shared fakeLog.
type testCluster struct {
	log           *fakeLog
	clientOptions []wire.ClientOption
	// cleanup registers a function that is to run at the end of the test; start passes
	// it the stop method of each node.
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
	// cutFromLog makes reads of the log by this node fail. cutFromPeers makes pulls
	// by this node and pulls from it fail.
	cutFromLog   atomic.Bool
	cutFromPeers atomic.Bool
}

// partitionableLog is the log that one node uses. Its reads fail while cutFromLog of
// the node is set.
type partitionableLog struct {
	*fakeLog
	node *testNode
}

func (l partitionableLog) Read(ctx context.Context, stream spool.Stream, after spool.Offset, wait clock.Millis) (spool.Page, error) {
	if l.node.cutFromLog.Load() {
		return spool.Page{}, spool.ErrLogUnavailable
	}
	page, err := l.fakeLog.Read(ctx, stream, after, wait)
	if l.node.cutFromLog.Load() {
		return spool.Page{}, spool.ErrLogUnavailable
	}
	return page, err
}

func (c *testCluster) list() []spool.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]spool.VM(nil), c.vms...)
}

// start starts a node and adds it to the VM list. Only nodes with the role of an entry
// get the log.
func (c *testCluster) start(config control.Config) *testNode {
	node := &testNode{clients: wire.NewClients(config.Node, c.clientOptions...)}
	var handler atomic.Pointer[wire.Mux]
	mux := wire.Mux{wire.MethodPull: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
		if node.cutFromPeers.Load() || handler.Load() == nil {
			return nil, spool.Refuse(spool.CodeShuttingDown, "cut off")
		}
		return (*handler.Load())[wire.MethodPull](ctx, params, send)
	}}
	server, err := wire.Listen("127.0.0.1:0", mux, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	node.server = server
	node.vm = spool.VM{ID: config.Node, Role: config.Role, State: spool.VMLive, FailureDomain: config.FailureDomain, Address: server.Address()}
	c.mu.Lock()
	c.vms = append(c.vms, node.vm)
	c.mu.Unlock()
	options := []control.Option{control.WithClients(node.clients), control.WithPeers(func() []spool.VM {
		vms := c.list()
		for i := range vms {
			if node.cutFromPeers.Load() {
				vms[i].Address = refusedAddress
			}
		}
		return vms
	})}
	if config.Role == spool.RoleEntry {
		options = append(options, control.WithLog(partitionableLog{c.log, node}))
	}
	node.Reader, err = control.NewReader(config, options...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	handlers := node.Handlers()
	handler.Store(&handlers)
	c.cleanup(node.stop)
	return node
}

func (n *testNode) stop() {
	n.Close()
	n.clients.Close()
	_ = n.server.Close()
}
