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
	// eventuallyTimeout bounds waits for conditions that usually take some hundred
	// milliseconds.
	eventuallyTimeout = 10 * time.Second
)

// deployment is a store with gateways and endpoints on the loopback interface.
type deployment struct {
	topics   *standin.Topics
	version  int
	config   map[string]any
	gateways []*node
}

// node is one gateway with its own listener of the store.
type node struct {
	gateway     *gateway.Gateway
	storeServer *standin.TopicsServer
	settings    spool.GatewaySettings
}

func newDeployment() *deployment {
	d := &deployment{topics: standin.NewTopics(), version: 1}
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

// publish writes the configuration as the next version.
func (d *deployment) publish() {
	d.version += 3
	d.config["version"] = d.version
	value, err := json.Marshal(d.config)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.topics.PutConfiguration(value)
}

// addEndpoint starts a stand-in and announces it as an endpoint of a service.
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

const (
	// firstPort and portCount define a range below the ephemeral ports, so that no
	// outgoing connection takes a port that was found free.
	firstPort = 20_000
	portCount = 10_000
)

// nextPort is the offset of the port that is tried next. Test processes start at
// different offsets.
var nextPort = os.Getpid() * 101 % portCount

// freeAddress returns an address with a free port. It does not return an address twice
// until the range is used up.
func freeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		nextPort = (nextPort + 1) % portCount
		if listener, err := net.Listen("tcp4", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	ginkgo.Fail("no port is free")
	return ""
}

// startGateway starts a gateway and waits until it is ready.
func (d *deployment) startGateway(name string) *node {
	storeServer, err := standin.ServeTopics(d.topics, "127.0.0.1:0", "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(storeServer.Close)
	n := &node{storeServer: storeServer, settings: spool.GatewaySettings{
		Node: spool.NodeID(name), FailureDomain: "a", Region: "r", Listen: freeAddress(), ReadyListen: freeAddress(),
		ControlListen: freeAddress(), StoreAddress: storeServer.Address(), Partitions: 4, MaxAppendBytes: 1 << 20,
		StopWithin: 4 * clock.Second, FirstStart: true,
		LimitTolerance: spool.LimitTolerance{Window: 5 * clock.Second, Over: 0.1, Slack: 20},
	}}
	n.launch()
	ginkgo.DeferCleanup(n.kill)
	gomega.Eventually(n.isReady, eventuallyTimeout, "20ms").Should(gomega.BeTrue())
	d.gateways = append(d.gateways, n)
	return n
}

// poolOwner waits until all running gateways know the same owner of the pools and that
// one may grant. It returns the owner and the other gateways in the order of their
// start. The first gateway to start need not be the owner: a gateway is ready before it
// has claimed the pools, and a gateway started later may claim them first.
func (d *deployment) poolOwner() (owner *node, others []*node) {
	gomega.Eventually(func() bool {
		owner, others = nil, nil
		names := map[spool.NodeID]bool{}
		for _, n := range d.gateways {
			if n.gateway == nil {
				continue
			}
			names[gateway.KnownPoolOwner(n.gateway)] = true
			if gateway.GrantsPools(n.gateway) {
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
	system := clock.System()
	client := httpconn.NewClient(system)
	store := platform.NewStore(n.settings.StoreAddress, client)
	n.gateway, err = gateway.New(n.settings, store, platform.Codec{}, client, system, t)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// kill stops the gateway at once. To other gateways it looks like a killed process.
func (n *node) kill() {
	if n.gateway != nil {
		n.gateway.Kill()
		n.gateway = nil
	}
}

// powerOff stops the gateway as a loss of power does: calls from other gateways get no
// answer.
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

// attempts numbers the requests of all callers.
var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) }

// withPrevious sets the turn that the request continues.
func withPrevious(turn string) func(*standin.CallerRequest, http.Header) {
	return func(caller *standin.CallerRequest, _ http.Header) { caller.PreviousTurn = turn }
}

// withDeadline sets how long the caller waits.
func withDeadline(ms int) func(*standin.CallerRequest, http.Header) {
	return func(caller *standin.CallerRequest, _ http.Header) { caller.DeadlineMs = ms }
}

// rawHeaders returns the header lines of a raw request.
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

// waitUntilServed waits until requests for a path succeed, because the gateway learns
// of endpoints with a delay.
func (n *node) waitUntilServed(path, key string) {
	gomega.Eventually(func() int {
		r, _ := n.call("GET", path, key, "")
		return r.status
	}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
}

// sendRaw sends bytes on a new connection and returns the first answer.
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

// testLogger returns a logger that prints what gateways log if GATEWAY_TEST_LOG is
// set.
func testLogger() *zap.Logger {
	if os.Getenv("GATEWAY_TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.NewExample()
}
