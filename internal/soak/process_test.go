package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/platform"
)

const (
	gatewayCount = 4
	graceSeconds = 6
	// gatewayMemoryMB is the memory of the smallest VM.
	gatewayMemoryMB = 112
	// restartTimeout bounds the time until a gateway is ready after its start.
	restartTimeout = 10 * time.Second
	// runtimeStart is the time after which a process has asked for its signals.
	runtimeStart = 100 * time.Millisecond
)

// binary builds the program once.
var binary = sync.OnceValue(func() string {
	folder, err := os.MkdirTemp("", "soak")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(folder, "baobabspool")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/baobabspool").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return path
})

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name string
	// settings is the path of the settings file, and text its content.
	settings string
	text     string
	front    string
	ready    string
	store    *relay
	faults   *standin.TopicsServer
	log      *os.File
	// departures is told that the process starts or pauses.
	departures *departures

	// mu is held while signals are sent and the process is replaced.
	mu        sync.Mutex
	command   *exec.Cmd
	startedAt time.Time
	// stopping is set while the soak itself ends the process. ended is closed when the
	// process has ended.
	stopping bool
	ended    chan struct{}
}

func newGatewayProcess(folder string, index int, topics *standin.Topics, departures *departures) *gatewayProcess {
	faults, err := standin.ServeTopics(topics, "127.0.0.1:0", "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(faults.Close)
	p := &gatewayProcess{name: fmt.Sprintf("g%d", index), front: standin.FreeAddress(), ready: standin.FreeAddress(), faults: faults, store: newRelay(faults.Address()), departures: departures}
	p.settings = filepath.Join(folder, p.name+".toml")
	p.text = fmt.Sprintf(`node_name = %q
zone = %q
heartbeat_ms = 500
bootstrap = true
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.8
cores = 1
link_mbps = 600.0
memory_mb = %d
[bounds]
drain_ms = 2000
grace_s = %d
config_ms = 2000
quota_window_s = 5
quota_over = 0.1
quota_slack = 20
[platform]
address = %q
parts = 4
record_bytes = 262144
call_bytes = 2097152
`, p.name, []string{"a", "b"}[index%2], p.front, p.ready, standin.FreeAddress(), gatewayMemoryMB, graceSeconds, p.store.address())
	gomega.Expect(os.WriteFile(p.settings, []byte(p.text), 0o600)).To(gomega.Succeed())
	p.log, err = os.Create(filepath.Join(folder, p.name+".log"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p.start()
	ginkgo.DeferCleanup(func() {
		p.end(syscall.SIGKILL)
		_ = p.log.Close()
	})
	return p
}

func (p *gatewayProcess) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(binary(), "gateway", "--settings-file", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	gomega.Expect(command.Start()).To(gomega.Succeed())
	ended := make(chan struct{})
	p.command, p.startedAt, p.stopping, p.ended = command, time.Now(), false, ended
	p.departures.forgetGateway(p.front)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// awaitRuntime waits until the process can have asked for its signals. The start of its
// runtime and packages takes some milliseconds, in which SIGHUP ends any process.
func (p *gatewayProcess) awaitRuntime() {
	p.mu.Lock()
	startedAt := p.startedAt
	p.mu.Unlock()
	time.Sleep(time.Until(startedAt.Add(runtimeStart)))
}

// signal sends a signal to the process that the soak has started.
func (p *gatewayProcess) signal(signal os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// end sends SIGTERM or SIGKILL and waits until the process has ended. It reports false if
// that takes longer than its time to stop.
func (p *gatewayProcess) end(signal os.Signal) bool {
	p.mu.Lock()
	p.stopping = true
	ended := p.ended
	_ = p.command.Process.Signal(signal)
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After((graceSeconds + 2) * time.Second):
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// endedByItself reports whether the process has ended though the soak did not end it, and
// how.
func (p *gatewayProcess) endedByItself() (state string, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return p.command.ProcessState.String(), !p.stopping
	default:
		return "", false
	}
}

// lastOutput returns the end of what the process has written.
func (p *gatewayProcess) lastOutput() string {
	const most = 500
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

func (p *gatewayProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// deployment is the system under test with its stand-ins.
type deployment struct {
	topics    *standin.Topics
	gateways  []*gatewayProcess
	endpoints []*endpoint
	checker   *checker

	mu      sync.Mutex
	version int
	keys    []string
}

func newDeployment(folder string, random *rand.Rand) *deployment {
	d := &deployment{topics: standin.NewTopics(), checker: newChecker(), keys: []string{"key-1", "key-2"}}
	d.publish()
	for i, service := range []string{"app", "app", "models", "models"} {
		d.addEndpoint(fmt.Sprintf("e%d", i), service, rand.New(rand.NewPCG(random.Uint64(), 1)))
	}
	for i := range gatewayCount {
		d.gateways = append(d.gateways, newGatewayProcess(folder, i, d.topics, d.checker.departures))
	}
	return d
}

// publish writes a configuration with a higher version.
func (d *deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": testHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 1500, "service": service, "attempts": 2}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	value, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			route("lookup", "idempotent", "app", nil), route("charge", "non_idempotent", "app", nil),
			route("chat", "streaming", "models", map[string]any{"keeps_history": true, "retention_s": 60, "attempts": 1}),
			route("review", "streaming", "models", map[string]any{"attempts": 1}),
		},
		"services": []map[string]any{{"name": "models", "engine": map[string]any{"event_tokens": 10}}, {"name": "app"}},
		"tenants": []map[string]any{
			{"name": "weavers", "api_keys": []string{limitedKey}, "rate_per_s": accountRate, "burst": accountRate},
			{"name": "dealers", "api_keys": d.keys},
		},
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.topics.PutConfiguration(value)
}

// withdrawKeys publishes a configuration with only the given keys of the second account.
func (d *deployment) withdrawKeys(left ...string) {
	d.mu.Lock()
	d.keys = left
	d.mu.Unlock()
	d.publish()
}

func (d *deployment) addEndpoint(id, service string, random *rand.Rand) {
	u, err := standin.NewUpstream(id, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(u.Close)
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	e := &endpoint{id: id, service: service, upstream: u, relay: newRelay(u.Address())}
	u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool {
		if draw(30) == 0 {
			if draw(repeatedShare) == 0 {
				e.repeatRefusal(conn, request, time.Duration(5+draw(100))*time.Millisecond, draw(2) == 0)
			}
			return u.AnswerNotExecuted(conn, request)
		}
		attempt := request.Attempt()
		d.checker.checkBody(attempt, request.Body)
		d.checker.recordRun(attempt, id)
		time.Sleep(time.Duration(2+draw(10)) * time.Millisecond)
		switch {
		case draw(brokenShare) == 0:
			return brokenAnswers[draw(len(brokenAnswers))](u, conn, request)
		case service == "models":
			return u.AnswerStream(conn, request, 5*time.Millisecond, -1, eventsOf(attempt)...)
		case draw(50) == 0:
			return u.AnswerTruncated(conn, request, answerOf(attempt))
		}
		return u.AnswerComplete(conn, request, answerOf(attempt))
	})
	e.answerUploads(d.checker, draw)
	d.endpoints = append(d.endpoints, e)
	e.announce(d.topics)
}

// endpoint is an endpoint with the relay that gateways reach it by.
type endpoint struct {
	id, service string
	upstream    *standin.Upstream
	relay       *relay
	// writeLocks contains a *sync.Mutex for each connection; see writeLock.
	writeLocks sync.Map

	mu sync.Mutex
	// starts is the number of its starts, and isLeaving whether the last one leaves.
	starts    int
	isLeaving bool
}

// announce writes the record of the next start of the endpoint.
func (e *endpoint) announce(topics *standin.Topics) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	_ = topics.PutEndpoint(e.id, standin.EndpointEntry{Service: e.service, Address: e.relay.address(), Zone: "a", Version: "v1", Slots: 8, State: "ready", Sequence: 1, Born: e.starts})
}

// setLeaving sets whether the answers of the endpoint say that it leaves. It reports false
// if they say so already.
func (e *endpoint) setLeaving(leaving bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && e.isLeaving {
		return false
	}
	e.isLeaving = leaving
	e.upstream.SetLeaving(leaving)
	return true
}
