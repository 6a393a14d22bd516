package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestEntry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

var nopLogger = zap.NewNop()

const testStreamCount = 2

var allStreams = []spool.Stream{spool.ProgramStream(0), spool.ProgramStream(1)}

// testEnv is the environment of most tests: a fake cluster, a fake control state
// and two fake agents, one for a model service and one for a plain service. At
// its end, a test fails if an entry has counted a violation of an invariant.
type testEnv struct {
	*fakeCluster
	*fakeControl
	modelAgent, serviceAgent *fakeAgent
	telemetry                *telemetry.Telemetry
}

func newTestEnv() *testEnv {
	env := &testEnv{fakeCluster: newFakeCluster(), fakeControl: newFakeControl(), modelAgent: newFakeAgent("model-1"), serviceAgent: newFakeAgent("plain-1")}
	env.addAgents("mist-models", env.modelAgent)
	env.addAgents("harvest-app", env.serviceAgent)
	var err error
	env.telemetry, err = telemetry.New("test", nopLogger)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		for series, count := range env.telemetry.Totals() {
			gomega.Expect(series.Kind == telemetry.KindViolation && count > 0).To(gomega.BeFalse(), "invariant %s was violated", series.Label)
		}
	})
	return env
}

// newEntry starts an entry with short intervals, so that tests are fast, and two
// program streams. The functions in change can modify its configuration. The entry
// owns no streams until assignStreams is called.
func (env *testEnv) newEntry(node spool.NodeID, change ...func(*entry.Config)) *fakeStreams {
	config := entry.DefaultConfig
	config.Node, config.FailureDomain, config.Streams = node, "swakop-a", testStreamCount
	config.HeartbeatEvery, config.StatusEvery, config.RenewEvery, config.ForwardFor = 50, 100, 100, 3000
	for _, apply := range change {
		apply(&config)
	}
	created, err := entry.New(config, env.fakeControl, env.fakeControl, entry.WithTelemetry(env.telemetry))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	streams := &fakeStreams{fakeCluster: env.fakeCluster, entry: created, node: node}
	gomega.Expect(created.Start(streams)).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = created.Shutdown(ctx)
	})
	return streams
}

// testClient sends HTTP requests to one entry with the API key of one account.
type testClient struct {
	server  *fakeStreams
	account string
	header  map[string]string
}

// do sends a request. A string body is sent as it is, any other body as JSON.
func (c testClient) do(method, path string, body any) *http.Response {
	encoded, isString := body.(string)
	if !isString && body != nil {
		raw, err := json.Marshal(body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		encoded = string(raw)
	}
	request, err := http.NewRequest(method, "http://"+c.server.entry.HTTPAddress()+path, bytes.NewReader([]byte(encoded)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if c.account != "" {
		request.Header.Set("Authorization", "Bearer bsk_"+c.account+"_secret")
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response
}

// send sends a request and returns the status and the body of the response.
func (c testClient) send(method, path string, body any) (int, string) {
	response := c.do(method, path, body)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(raw)
}

// startProgram starts a program and returns its identifier.
func (c testClient) startProgram(request any) spool.ProgramID {
	status, body := c.send("POST", "/v1/programs", request)
	gomega.Expect(status).To(gomega.Equal(201), body)
	var reply entry.StartReply
	gomega.Expect(json.Unmarshal([]byte(body), &reply)).To(gomega.Succeed())
	return reply.Program
}

// callBody returns the body of a model call with one message.
func callBody(call, text string) map[string]any {
	return map[string]any{"callId": call, "messages": []spool.Message{{Role: "user", Content: text}}}
}

func streamedCallBody(call, text string) map[string]any {
	body := callBody(call, text)
	body["stream"] = true
	return body
}

// programPath returns the HTTP path of a program, followed by rest.
func programPath(id spool.ProgramID, rest string) string { return "/v1/programs/" + string(id) + rest }

// startBody is the body of a request that starts a program.
var startBody = map[string]any{"model": "mist"}

var _ = ginkgo.Describe("Entry", func() {
	var (
		env    *testEnv
		owner  *fakeStreams
		client testClient
	)

	ginkgo.BeforeEach(func() {
		env = newTestEnv()
		owner = env.newEntry("entry-1")
		env.assignStreams(owner, allStreams...)
		client = testClient{server: owner, account: "fog"}
	})

	ginkgo.It("runs a program from start to end and frees its engine memory", func() {
		id := client.startProgram(startBody)
		status, body := client.send("POST", programPath(id, "/calls"), streamedCallBody("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring("event: text\n"))
		gomega.Expect(body).To(gomega.ContainSubstring(`event: done` + "\n" + `data: {"callId":"1","text":"re: is there fog"`))
		status, body = client.send("POST", programPath(id, "/calls"), callBody("2", "and now"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		runs := env.modelAgent.receivedRuns()
		gomega.Expect(runs).To(gomega.HaveLen(2))
		gomega.Expect(runs[1].BaseCount).To(gomega.Equal(2))
		gomega.Expect(runs[1].Messages).To(gomega.HaveLen(1), "only new messages are sent")
		gomega.Expect(runs[1].BaseDigest).To(gomega.Equal(spool.HistoryDigest("",
			spool.Message{Role: "user", Content: "is there fog"}, spool.AnswerMessage("re: is there fog"))))
		status, _ = client.send("DELETE", programPath(id, ""), nil)
		gomega.Expect(status).To(gomega.Equal(200))
		status, body = client.send("POST", programPath(id, "/calls"), callBody("3", "too late"))
		gomega.Expect(status).To(gomega.Equal(410), body)
		gomega.Eventually(func() []spool.ProgramID {
			env.modelAgent.mu.Lock()
			defer env.modelAgent.mu.Unlock()
			var ended []spool.ProgramID
			for _, renewal := range env.modelAgent.renewals {
				ended = append(ended, renewal.Ended...)
			}
			return ended
		}).Should(gomega.ContainElement(id), "engine memory of an ended program is freed")
	})
})

// blockCalls makes the calls at an agent block until release is called or their
// context ends. It sends each call to started when the call arrives, and to
// cancelled when its context has ended.
func blockCalls(a *fakeAgent) (release func(), started, cancelled chan wire.RunRequest) {
	released := make(chan struct{})
	started, cancelled = make(chan wire.RunRequest, 16), make(chan wire.RunRequest, 16)
	a.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
		started <- request
		select {
		case <-released:
			return a.echo(ctx, request, send)
		case <-ctx.Done():
			cancelled <- request
			return nil, ctx.Err()
		}
	})
	return func() { close(released) }, started, cancelled
}

type clientResponse struct {
	status int
	body   string
}

// sendAsync sends a request in the background. The returned channel gets the
// response.
func (c testClient) sendAsync(method, path string, body any) <-chan clientResponse {
	done := make(chan clientResponse, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		status, text := c.send(method, path, body)
		done <- clientResponse{status, text}
	}()
	return done
}

// bookingBody returns the body of a non-idempotent service call.
func bookingBody(call string) map[string]any {
	return map[string]any{"callId": call, "path": "/tankers", "body": "tanker " + call}
}
