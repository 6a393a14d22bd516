package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

const (
	// endlessCalls is the number of requests that wait for an endless answer at once.
	endlessCalls = 48
	// endlessMs is how long their callers wait.
	endlessMs = 3000
	// maxEndlessBytes bounds what an endpoint sends in one answer.
	maxEndlessBytes = 64 << 20
)

// endlessAnswers holds the head of an endless answer and what follows it again and again.
var endlessAnswers = map[string]struct{ head, line string }{
	"stream":  {head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: e\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: "},
	"events":  {head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: e\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", line: "data: " + strings.Repeat("x", 1000) + "\n\n"},
	"plain":   {head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: e\r\nConnection: close\r\n\r\n"},
	"head":    {head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Noise: "},
	"fields":  {head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", line: "X-Noise: x\r\n"},
	"interim": {head: "HTTP/1.1 102 Processing\r\nX-Attempt-Id: %s\r\n\r\n", line: "HTTP/1.1 102 Processing\r\n\r\n"},
}

// answerEndlessly sends an answer that does not end until the caller closes the connection.
func answerEndlessly(conn io.Writer, request standin.UpstreamRequest, kind string) {
	answer := endlessAnswers[kind]
	line := answer.line
	if line == "" {
		line = "x"
	}
	block := bytes.Repeat([]byte(line), 1+(64<<10)/len(line))
	_, err := fmt.Fprintf(conn, answer.head, request.Attempt())
	for sent := 0; err == nil && sent < maxEndlessBytes; sent += len(block) {
		_, err = conn.Write(block)
	}
}

// peakBytes returns the largest resident size that a process has had.
func (p *gatewayProcess) peakBytes() (peak int64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(value, &peak)
		}
	}
	return peak << 10
}

// startOneGateway starts a gateway before an endpoint of each service. Endpoints answer
// endlessly to requests whose body names a kind, and with "ok" to all others.
func startOneGateway() (*deployment, *gatewayProcess) {
	d := &deployment{topics: standin.NewTopics(), checker: newChecker(), keys: []string{"key-1", "key-2"}}
	d.publish()
	for _, service := range []string{"app", "models"} {
		u, err := standin.NewUpstream("e-"+service, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(u.Close)
		u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool {
			if _, ok := endlessAnswers[request.Body]; ok {
				answerEndlessly(conn, request, request.Body)
				return false
			}
			if service == "models" {
				return u.AnswerStream(conn, request, 0, -1, "one")
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		gomega.Expect(d.topics.PutEndpoint("e-"+service, standin.EndpointEntry{
			Service: service, Address: u.Address(), Zone: "a", Version: "v1", Slots: 4, State: "ready", Sequence: 1, Born: 1,
		})).To(gomega.Succeed())
	}
	p := newGatewayProcess(newFolder(0), 0, d.topics, d.checker.departures)
	d.gateways = []*gatewayProcess{p}
	gomega.Eventually(func() int { return callOnce(p, "lookup", "warm", 1000) }, restartTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
	return d, p
}

// callOnce sends a request and returns the status of its answer; 0 if there is none.
func callOnce(p *gatewayProcess, route, body string, deadlineMs int) (status int) {
	caller := standin.CallerRequest{Attempt: newAttempt(), Key: "key-1", DeadlineMs: deadlineMs}
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front+"/"+route+"/x", strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = testHost
	request.Header = caller.Header()
	client := http.Client{Timeout: time.Duration(deadlineMs+1000) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var _ = ginkgo.Describe("A gateway on the smallest VM", func() {
	expectWithinMemory := func(p *gatewayProcess) {
		peak := p.peakBytes()
		ginkgo.GinkgoWriter.Printf("peak memory %d MB\n", peak>>20)
		gomega.Expect(peak).To(gomega.BeNumerically("<=", gatewayMemoryMB<<20))
		state, ended := p.endedByItself()
		gomega.Expect(ended).To(gomega.BeFalse(), state)
	}

	// Guards against a process that ends for lack of memory, with the requests of all its
	// callers, because an endpoint sends bytes without end to many requests.
	ginkgo.DescribeTable("stays within its memory and serves others while an endpoint sends bytes without end", func(route, kind string) {
		_, p := startOneGateway()
		var wg sync.WaitGroup
		for range endlessCalls {
			wg.Go(func() { callOnce(p, route, kind, endlessMs) })
		}
		served := 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			if callOnce(p, "charge", "others", 1500) == http.StatusOK {
				served++
			}
		}
		wg.Wait()
		gomega.Expect(served).To(gomega.BeNumerically(">=", 18), "of 20 other requests")
		expectWithinMemory(p)
	},
		ginkgo.Entry("in one event", "review", "stream"), ginkgo.Entry("in one event of a kept turn", "chat", "stream"),
		ginkgo.Entry("in events of a kept turn", "chat", "events"), ginkgo.Entry("in a plain answer", "charge", "plain"),
		ginkgo.Entry("in a field of the head", "charge", "head"), ginkgo.Entry("in the fields of the head", "charge", "fields"),
		ginkgo.Entry("in interim answers", "charge", "interim"))

	// Guards against a process that ends because many callers send large requests at once,
	// and against large requests that are not served one after another.
	ginkgo.It("stays within its memory when many large turns arrive at once", func() {
		const largeTurns = 48
		_, p := startOneGateway()
		body := strings.Repeat("x", 3900<<10)
		var mu sync.Mutex
		statuses := map[int]int{}
		var wg sync.WaitGroup
		for range largeTurns {
			wg.Go(func() {
				status := callOnce(p, "chat", body, endlessMs)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		wg.Wait()
		counts, _ := json.Marshal(statuses)
		ginkgo.GinkgoWriter.Println(string(counts))
		gomega.Expect(callOnce(p, "chat", body, endlessMs)).To(gomega.Equal(http.StatusOK))
		expectWithinMemory(p)
	})
})
