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
	host = "pool.example"
	// soon bounds waits for things that take some hundred milliseconds.
	soon = 10 * time.Second
)

// deployment is a store with gateways and endpoints on loopback.
type deployment struct {
	topics   *standin.Topics
	version  int
	config   map[string]any
	gateways []*node
}

// node is one gateway with its own door to the store.
type node struct {
	gateway  *gateway.Gateway
	door     *standin.TopicsDoor
	settings spool.GatewaySettings
}

func newDeployment() *deployment {
	d := &deployment{topics: standin.NewTopics(), version: 1}
	d.config = map[string]any{
		"routes": []map[string]any{
			{"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "service": "models", "attempts": 1, "keeps_history": true, "retention_s": 60},
			{"name": "review", "host": host, "path_prefix": "/review/", "kind": "streaming", "timeout_ms": 3000, "service": "models", "attempts": 2, "resumable": true},
			{"name": "lookup", "host": host, "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1200, "service": "app", "attempts": 2},
			{"name": "charge", "host": host, "path_prefix": "/charge/", "kind": "non_idempotent", "timeout_ms": 1500, "service": "app", "attempts": 2},
			{"name": "open", "host": host, "path_prefix": "/open/", "kind": "idempotent", "timeout_ms": 1200, "service": "app", "public": true},
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

// endpoint announces an upstream as an endpoint of a service.
func (d *deployment) endpoint(id, service string, answer func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool) *standin.Upstream {
	u, err := standin.NewUpstream(id, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if answer != nil {
		u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool { return answer(u, conn, request) })
	}
	ginkgo.DeferCleanup(u.Close)
	d.announce(id, service, u.Address(), "ready")
	return u
}

func (d *deployment) announce(id, service, address, state string) {
	entry := standin.EndpointEntry{Service: service, Address: address, Zone: "a", Version: "v1", Slots: 4, State: state, Sequence: 1, Born: 1}
	gomega.Expect(d.topics.PutEndpoint(id, entry)).To(gomega.Succeed())
}

const (
	// firstPort and portCount are below the range from which outgoing connections
	// take their ports, so that none of them takes a port that was found free.
	firstPort = 20_000
	portCount = 10_000
)

// nextPort is the port that is tried next. Test processes begin at different ones.
var nextPort = os.Getpid() * 101 % portCount

// freeAddress returns an address that nothing listens at, and never twice.
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

// start starts a gateway and waits until it is ready.
func (d *deployment) start(name string) *node {
	door, err := standin.ServeTopics(d.topics, "127.0.0.1:0", "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(door.Close)
	n := &node{door: door, settings: spool.GatewaySettings{
		Node: spool.NodeID(name), FailureDomain: "a", Region: "r", Listen: freeAddress(), ReadyListen: freeAddress(),
		ControlListen: freeAddress(), StoreAddress: door.Address(), Partitions: 4, MaxAppendBytes: 1 << 20,
		StopWithin: 4 * clock.Second, FirstStart: true,
		LimitTolerance: spool.LimitTolerance{Window: 5 * clock.Second, Over: 0.1, Slack: 20},
	}}
	n.run()
	ginkgo.DeferCleanup(n.stop)
	gomega.Eventually(n.ready, soon, "20ms").Should(gomega.BeTrue())
	d.gateways = append(d.gateways, n)
	return n
}

func (n *node) run() {
	t, err := telemetry.New(n.settings.Node, testLogger())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	system := clock.System()
	client := httpconn.NewClient(system)
	store := platform.NewStore(n.settings.StoreAddress, client)
	n.gateway, err = gateway.New(n.settings, store, platform.Codec{}, client, system, t)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// stop ends the gateway at once, as a kill would as far as others can see.
func (n *node) stop() {
	if n.gateway != nil {
		n.gateway.Kill()
		n.gateway = nil
	}
}

// vanish ends the gateway as a loss of power does: other gateways that call it get no
// answer.
func (n *node) vanish() {
	n.stop()
	listener, err := net.Listen("tcp4", n.settings.ControlListen)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.settings.ReadyListen + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// reply is what a caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the answer is not whole.
	err error
}

// attempts numbers the requests of all callers.
var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) }

// previous names the turn that is continued.
func previous(turn string) func(*standin.CallerRequest, http.Header) {
	return func(says *standin.CallerRequest, _ http.Header) { says.Previous = turn }
}

// deadline sets how long the caller waits.
func deadline(ms int) func(*standin.CallerRequest, http.Header) {
	return func(says *standin.CallerRequest, _ http.Header) { says.DeadlineMs = ms }
}

// headText returns the headers of a raw request.
func headText(says standin.CallerRequest) string {
	var text strings.Builder
	_ = says.Header().Write(&text)
	return "Host: " + host + "\r\n" + text.String()
}

// call sends a request with a key and returns the answer. Each of changes changes
// what the caller says.
func (n *node) call(method, path, key, body string, changes ...func(*standin.CallerRequest, http.Header)) (r reply, attempt string) {
	attempt = newAttempt()
	says := standin.CallerRequest{Attempt: attempt, Key: key, DeadlineMs: 3000}
	more := http.Header{}
	for _, change := range changes {
		change(&says, more)
	}
	request, err := http.NewRequest(method, "http://"+n.settings.Listen+path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = host
	request.Header = says.Header()
	maps.Copy(request.Header, more)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: soon}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}, attempt
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}, attempt
}

// served waits until requests of a path are served, since endpoints are found with
// a delay.
func (n *node) served(path, key string) {
	gomega.Eventually(func() int {
		r, _ := n.call("GET", path, key, "")
		return r.status
	}, soon, "50ms").Should(gomega.Equal(http.StatusOK))
}

// raw sends bytes on a connection of its own and returns the first answer.
func (n *node) raw(text string) (response *http.Response, conn net.Conn) {
	conn, err := net.Dial("tcp4", n.settings.Listen)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(soon))
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, conn
}

func background() context.Context { return context.Background() }

// testLogger prints what gateways log when GATEWAY_TEST_LOG is set.
func testLogger() *zap.Logger {
	if os.Getenv("GATEWAY_TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.NewExample()
}
