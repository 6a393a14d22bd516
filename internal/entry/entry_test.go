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

const testStreams = 2

var allStreams = []spool.Stream{spool.ProgramStream(0), spool.ProgramStream(1)}

// bench is what most tests need: entries, operators, a model and a service.
type bench struct {
	*cluster
	*operators
	model, plain *agent
	telemetry    *telemetry.Telemetry
}

func newBench() *bench {
	b := &bench{cluster: newCluster(), operators: newOperators(), model: newAgent("model-1"), plain: newAgent("plain-1")}
	b.join("mist-models", b.model)
	b.join("harvest-app", b.plain)
	var err error
	b.telemetry, err = telemetry.New("test", nopLogger)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		for series, count := range b.telemetry.Totals() {
			gomega.Expect(series.Kind == telemetry.KindViolation && count > 0).To(gomega.BeFalse(), "invariant %s is broken", series.Label)
		}
	})
	return b
}

func (b *bench) entry(node spool.NodeID, change ...func(*entry.Config)) *member {
	config := entry.DefaultConfig
	config.Node, config.FailureDomain, config.Streams = node, "swakop-a", testStreams
	config.HeartbeatEvery, config.StatusEvery, config.RenewEvery, config.ForwardFor = 50, 100, 100, 3000
	for _, apply := range change {
		apply(&config)
	}
	created, err := entry.New(config, b.operators, b.operators, entry.WithTelemetry(b.telemetry))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m := &member{cluster: b.cluster, entry: created, node: node}
	gomega.Expect(created.Start(m)).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = created.Shutdown(ctx)
	})
	return m
}

// caller sends requests with one account's key.
type caller struct {
	at      *member
	account string
	header  map[string]string
}

func (c caller) open(method, path string, body any) *http.Response {
	encoded, isText := body.(string)
	if !isText && body != nil {
		raw, err := json.Marshal(body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		encoded = string(raw)
	}
	request, err := http.NewRequest(method, "http://"+c.at.entry.HTTPAddress()+path, bytes.NewReader([]byte(encoded)))
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

func (c caller) send(method, path string, body any) (int, string) {
	response := c.open(method, path, body)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(raw)
}

func (c caller) start(request any) spool.ProgramID {
	status, body := c.send("POST", "/v1/programs", request)
	gomega.Expect(status).To(gomega.Equal(201), body)
	var reply entry.StartReply
	gomega.Expect(json.Unmarshal([]byte(body), &reply)).To(gomega.Succeed())
	return reply.Program
}

func turn(call, text string) map[string]any {
	return map[string]any{"callId": call, "messages": []spool.Message{{Role: "user", Content: text}}}
}

func streamed(call, text string) map[string]any {
	body := turn(call, text)
	body["stream"] = true
	return body
}

func path(id spool.ProgramID, rest string) string { return "/v1/programs/" + string(id) + rest }

var mist = map[string]any{"model": "mist"}

var _ = ginkgo.Describe("Entry", func() {
	var (
		b     *bench
		first *member
		fog   caller
	)

	ginkgo.BeforeEach(func() {
		b = newBench()
		first = b.entry("entry-1")
		b.give(first, allStreams...)
		fog = caller{at: first, account: "fog"}
	})

	ginkgo.It("runs a program from its start to its end", func() {
		id := fog.start(mist)
		status, body := fog.send("POST", path(id, "/calls"), streamed("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring("event: text\n"))
		gomega.Expect(body).To(gomega.ContainSubstring(`event: done` + "\n" + `data: {"callId":"1","text":"re: is there fog"`))
		status, body = fog.send("POST", path(id, "/calls"), turn("2", "and now"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		ran := b.model.ran()
		gomega.Expect(ran).To(gomega.HaveLen(2))
		gomega.Expect(ran[1].BaseCount).To(gomega.Equal(2))
		gomega.Expect(ran[1].Messages).To(gomega.HaveLen(1), "a turn carries only what is new")
		gomega.Expect(ran[1].BaseDigest).To(gomega.Equal(spool.HistoryDigest("",
			spool.Message{Role: "user", Content: "is there fog"}, spool.AnswerMessage("re: is there fog"))))
		status, _ = fog.send("DELETE", path(id, ""), nil)
		gomega.Expect(status).To(gomega.Equal(200))
		status, body = fog.send("POST", path(id, "/calls"), turn("3", "too late"))
		gomega.Expect(status).To(gomega.Equal(410), body)
		gomega.Eventually(func() []spool.ProgramID {
			b.model.mu.Lock()
			defer b.model.mu.Unlock()
			var ended []spool.ProgramID
			for _, renewal := range b.model.renewals {
				ended = append(ended, renewal.Ended...)
			}
			return ended
		}).Should(gomega.ContainElement(id), "engine memory of an ended program is freed")
	})
})

// block makes an agent's calls wait until the returned function is called;
// entered gets each call that has begun, cut each that was cancelled.
func block(a *agent) (release func(), entered, cut chan wire.RunRequest) {
	gate := make(chan struct{})
	entered, cut = make(chan wire.RunRequest, 16), make(chan wire.RunRequest, 16)
	a.answerWith(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
		entered <- request
		select {
		case <-gate:
			return a.answer(ctx, request, send)
		case <-ctx.Done():
			cut <- request
			return nil, ctx.Err()
		}
	})
	return func() { close(gate) }, entered, cut
}

type answered struct {
	status int
	body   string
}

// later sends a request in the background.
func (c caller) later(method, path string, body any) <-chan answered {
	done := make(chan answered, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		status, text := c.send(method, path, body)
		done <- answered{status, text}
	}()
	return done
}

func booking(call string) map[string]any {
	return map[string]any{"callId": call, "path": "/tankers", "body": "tanker " + call}
}
