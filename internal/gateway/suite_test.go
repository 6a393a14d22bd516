package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/platform"
)

func TestGateway(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

const (
	testHost = "pool.example"
	// eventuallyTimeout bounds waits for conditions that usually hold within a few
	// hundred milliseconds.
	eventuallyTimeout = 10 * time.Second
	// testPartitions is the number of partitions of the turns and of the budgets.
	testPartitions = 4
	// configWithin is the time within which a configuration must be in force.
	configWithin = 2 * time.Second
)

// deployment is a stand-in of the store with gateways and endpoints, all on the
// loopback interface.
type deployment struct {
	topics   *standin.Topics
	version  int
	config   map[string]any
	gateways []*node
	// codec and clock are used by the gateways that are started next.
	codec gateway.Codec
	clock clock.Clock
	// logRetention is the retention of the store that they are told; 0 for none.
	logRetention clock.Millis
	// stopWithin is the time in which they stop.
	stopWithin clock.Millis
	// drainWithin is the time after which endpoints that leave must get no requests.
	drainWithin clock.Millis
	// balancing is whether the gateways that are started next share their load.
	balancing bool
	// rollout are the bounds of rollouts.
	rollout spool.RolloutSettings
	// memoryMB is the memory of the gateways that are started next; 0 if it is not known.
	memoryMB int64
}

// node is one gateway and the listener of the store stand-in that only this gateway
// uses, so that a test can make the store fail for it alone.
type node struct {
	gateway     *gateway.Gateway
	storeServer *standin.TopicsServer
	settings    spool.GatewaySettings
	codec       gateway.Codec
	clock       clock.Clock
}

func newDeployment() *deployment {
	d := &deployment{topics: standin.NewTopics(), version: 1, codec: platform.Codec{}, clock: clock.System(), stopWithin: 4 * clock.Second}
	d.config = map[string]any{
		"routes": []map[string]any{
			{"name": "chat", "host": testHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "service": "models", "attempts": 1, "keeps_history": true, "retention_s": 60},
			{"name": "review", "host": testHost, "path_prefix": "/review/", "kind": "streaming", "timeout_ms": 3000, "service": "models", "attempts": 2, "resumable": true},
			{"name": "lookup", "host": testHost, "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1200, "service": "app", "attempts": 2},
			{"name": "charge", "host": testHost, "path_prefix": "/charge/", "kind": "non_idempotent", "timeout_ms": 1500, "service": "app", "attempts": 2},
			{"name": "open", "host": testHost, "path_prefix": "/open/", "kind": "idempotent", "timeout_ms": 1200, "service": "app", "public": true},
		},
		"services": []map[string]any{{"name": "models", "engine": map[string]any{"event_tokens": 10}}, {"name": "app"}},
		"tenants":  []map[string]any{{"name": "weavers", "api_keys": []string{"key-1", "key-2"}}, {"name": "dealers", "api_keys": []string{"key-3"}}},
	}
	return d
}

// publish writes the configuration to the operator topic with a higher version.
func (d *deployment) publish() {
	d.version += 3
	d.config["version"] = d.version
	value, err := json.Marshal(d.config)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.topics.PutConfiguration(value)
}

// addEndpoint starts a stand-in of an endpoint and announces it for a service. answer,
// unless nil, answers its requests.
func (d *deployment) addEndpoint(id, service string, answer func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool) *standin.Upstream {
	u, err := standin.NewUpstream(id, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if answer != nil {
		u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool { return answer(u, conn, request) })
	}
	ginkgo.DeferCleanup(u.Close)
	d.announceEndpoint(id, service, u.Address(), "ready")
	return u
}

func (d *deployment) announceEndpoint(id, service, address, state string) {
	entry := standin.EndpointEntry{Service: service, Address: address, Zone: "a", Version: "v1", Slots: 4, State: state, Sequence: 1, Born: 1}
	gomega.Expect(d.topics.PutEndpoint(id, entry)).To(gomega.Succeed())
}

// startGateway starts a gateway with the given node name and waits until it is ready.
func (d *deployment) startGateway(name string) *node {
	storeServer, err := standin.ServeTopics(d.topics, "127.0.0.1:0", "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(storeServer.Close)
	n := &node{storeServer: storeServer, codec: d.codec, clock: d.clock, settings: spool.GatewaySettings{
		Node: spool.NodeID(name), FailureDomain: "a", Region: "r", Listen: standin.FreeAddress(), ReadyListen: standin.FreeAddress(),
		ControlListen: standin.FreeAddress(), StoreAddress: storeServer.Address(), Partitions: testPartitions, MaxAppendBytes: 1 << 20, LogRetention: d.logRetention,
		StopWithin: d.stopWithin, DrainWithin: d.drainWithin, FirstStart: true,
		Balancing:      spool.BalancingSettings{Enabled: d.balancing},
		Rollout:        d.rollout,
		MemoryMB:       d.memoryMB,
		LimitTolerance: spool.LimitTolerance{Window: 5 * clock.Second, Over: 0.1, Slack: 20},
	}}
	n.launch()
	ginkgo.DeferCleanup(n.kill)
	gomega.Eventually(n.isReady, eventuallyTimeout, "20ms").Should(gomega.BeTrue())
	d.gateways = append(d.gateways, n)
	return n
}

// poolOwner waits until all running gateways know the same owner of the pools and the
// owner may grant. It returns the owner, and the other gateways in the order of their
// start. The owner need not be the gateway that was started first: a gateway is ready
// before it claims the pools, so one that was started later may claim them first.
func (d *deployment) poolOwner() (owner *node, others []*node) {
	gomega.Eventually(func() bool {
		owner, others = nil, nil
		names := map[spool.NodeID]bool{}
		for _, n := range d.gateways {
			if n.gateway == nil {
				continue
			}
			ownership := gateway.PoolOwnerOf(n.gateway)
			known, _, _ := ownership.OwnerOf(spool.ProgramStream(0))
			names[known] = true
			if ownership.CanGrant() {
				owner = n
			} else {
				others = append(others, n)
			}
		}
		return owner != nil && len(names) == 1 && names[owner.settings.Node]
	}, eventuallyTimeout, "20ms").Should(gomega.BeTrue())
	return owner, others
}

func (n *node) launch() {
	t, err := telemetry.New(n.settings.Node, testLogger())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	client := httpconn.NewClient(n.clock)
	store := platform.NewStore(n.settings.StoreAddress, client)
	n.gateway, err = gateway.New(n.settings, store, n.codec, client, n.clock, t)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// kill stops the gateway at once, without a handover. To other gateways it looks like a
// killed process.
func (n *node) kill() {
	if n.gateway != nil {
		n.gateway.Kill()
		n.gateway = nil
	}
}

// powerOff stops the gateway and leaves calls from other gateways unanswered, as after
// a loss of power.
func (n *node) powerOff() {
	n.kill()
	listener, err := net.Listen("tcp4", n.settings.ControlListen)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
}

func (n *node) isReady() bool {
	response, err := http.Get("http://" + n.settings.ReadyListen + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// callerReply is the answer that a caller receives.
type callerReply struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is incomplete.
	err error
}

// attempts is the number of the last request of any caller.
var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) }

// withPrevious sets the turn that the request continues.
func withPrevious(turn string) func(*standin.CallerRequest, http.Header) {
	return func(caller *standin.CallerRequest, _ http.Header) { caller.PreviousTurn = turn }
}

// withDeadline sets how long the caller waits, in ms.
func withDeadline(ms int) func(*standin.CallerRequest, http.Header) {
	return func(caller *standin.CallerRequest, _ http.Header) { caller.DeadlineMs = ms }
}

// rawHeaders returns the header lines of a request for sendRaw.
func rawHeaders(caller standin.CallerRequest) string {
	var text strings.Builder
	_ = caller.Header().Write(&text)
	return "Host: " + testHost + "\r\n" + text.String()
}

// call sends a request with a key and returns the answer and the request's identifier.
// Each of changes modifies the caller's request.
func (n *node) call(method, path, key, body string, changes ...func(*standin.CallerRequest, http.Header)) (r callerReply, attempt string) {
	attempt = newAttempt()
	caller := standin.CallerRequest{Attempt: attempt, Key: key, DeadlineMs: 3000}
	extraHeader := http.Header{}
	for _, change := range changes {
		change(&caller, extraHeader)
	}
	request, err := http.NewRequest(method, "http://"+n.settings.Listen+path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = testHost
	request.Header = caller.Header()
	maps.Copy(request.Header, extraHeader)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: eventuallyTimeout}
	response, err := client.Do(request)
	if err != nil {
		return callerReply{err: err}, attempt
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callerReply{status: response.StatusCode, header: response.Header, body: string(text), err: err}, attempt
}

// waitUntilServed repeats a request for a path until it succeeds. A gateway learns of
// new endpoints with a delay.
func (n *node) waitUntilServed(path, key string) {
	gomega.Eventually(func() int {
		r, _ := n.call("GET", path, key, "")
		return r.status
	}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
}

// sendRaw sends text unchanged on a new connection and returns the first answer and the
// connection.
func (n *node) sendRaw(text string) (response *http.Response, conn net.Conn) {
	conn, err := net.Dial("tcp4", n.settings.Listen)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, conn
}

func background() context.Context { return context.Background() }

// testLogger returns a logger. It prints what gateways log if the environment variable
// GATEWAY_TEST_LOG is set, and nothing otherwise.
func testLogger() *zap.Logger {
	if os.Getenv("GATEWAY_TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.NewExample()
}
