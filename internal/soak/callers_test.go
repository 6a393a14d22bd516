package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabspool/baobabspool/internal/standin"
)

const (
	testHost = "pool.example"
	// limitedKey belongs to an account with a limit of accountRate requests a second and
	// the same burst.
	limitedKey  = "key-limited"
	accountRate = 40
	// quotaWindow and mostInQuotaWindow are the window of the settings and what it holds at
	// most, with the tolerated excess.
	quotaWindow       = 5 * time.Second
	mostInQuotaWindow = (accountRate*5+accountRate)*11/10 + 20
	requestDeadline   = 1500 * time.Millisecond
	// eventTokens and turnTokens are the tokens of an event and of a turn, and
	// programTokens is the budget of a program: six turns and a part of one.
	eventTokens   = 10
	turnTokens    = 3 * eventTokens
	programTokens = 6*turnTokens + 7
	// reviewMaxTokens is the limit of a turn without history, which generates a quarter of
	// it, and reviewTokens the budget of its program.
	reviewMaxTokens = 4 * turnTokens
	reviewTokens    = 4 * reviewMaxTokens
)

func answerOf(attempt string) string { return "answer " + attempt }

func eventsOf(attempt string) []string {
	return []string{attempt + "/1", attempt + "/2", attempt + "/3"}
}

// streamOf returns the complete stream that answers a request.
func streamOf(attempt string) string {
	var stream strings.Builder
	for i, event := range eventsOf(attempt) {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, event)
	}
	return stream.String()
}

// call is what the checker knows of one request of a caller.
type call struct {
	kind   string
	key    string
	sentAt time.Time
	// front is the address of the gateway that the request was sent to.
	front string
	// prompt is the body that an endpoint must get.
	prompt string
	// notRun is set when the caller was told that the request has not run.
	notRun bool
	// runs holds the times at which an endpoint began to run the request.
	runs []time.Time
}

// checker collects what callers and endpoints see, and the promises that were broken.
type checker struct {
	mu         sync.Mutex
	calls      map[string]*call
	violations []string
	outcomes   map[string]int
	departures *departures
}

func newChecker() *checker {
	return &checker{calls: map[string]*call{}, outcomes: map[string]int{}, departures: newDepartures()}
}

func (c *checker) fail(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// checkBody checks that an endpoint got the body that was due.
func (c *checker) checkBody(attempt, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent := c.calls[attempt]; sent != nil && sent.prompt != body {
		c.violations = append(c.violations, fmt.Sprintf("%s got another body: %.200q instead of %.200q", attempt, body, sent.prompt))
	}
}

// recordRun records that an endpoint begins to run a request.
func (c *checker) recordRun(attempt, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.calls[attempt]
	if sent == nil {
		c.violations = append(c.violations, "an endpoint ran a request that nobody sent: "+attempt)
		return
	}
	if c.departures.isLate(sent, endpoint) {
		c.violations = append(c.violations, fmt.Sprintf("%s reached %s too long after the gateway had heard that it leaves", attempt, endpoint))
	}
	sent.runs = append(sent.runs, time.Now())
}

func (c *checker) recordSent(attempt string, sent *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[attempt] = sent
}

func (c *checker) recordStatus(attempt string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.calls[attempt]
	c.outcomes[fmt.Sprintf("%s %d", sent.kind, status)]++
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	sent.notRun = slices.Contains(promises, status)
}

// checkRuns checks, after all requests have ended, that none ran too often and that the
// account's limit was kept.
func (c *checker) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var limited []*call
	for attempt, sent := range c.calls {
		if sent.kind != "lookup" && len(sent.runs) > 1 {
			c.violations = append(c.violations, fmt.Sprintf("%s %s ran %d times", sent.kind, attempt, len(sent.runs)))
		}
		if sent.kind != "lookup" && sent.notRun && len(sent.runs) > 0 {
			c.violations = append(c.violations, fmt.Sprintf("%s %s ran though its caller was told that it did not", sent.kind, attempt))
		}
		if sent.key == limitedKey && len(sent.runs) > 0 {
			limited = append(limited, sent)
		}
	}
	for _, first := range limited {
		inWindow := 0
		for _, sent := range limited {
			if !sent.sentAt.Before(first.sentAt) && sent.runs[0].Before(first.sentAt.Add(quotaWindow)) {
				inWindow++
			}
		}
		if inWindow > mostInQuotaWindow {
			c.violations = append(c.violations, fmt.Sprintf("%d requests of an account in %s, %d are allowed", inWindow, quotaWindow, mostInQuotaWindow))
			return
		}
	}
}

// caller sends requests to gateways one after another and keeps its connections open.
type caller struct {
	checker *checker
	fronts  []string
	random  *rand.Rand
	client  *http.Client
	// sendsUploads makes one request without history in uploadShare an upload. Several at once
	// may fill the buffers of a gateway, which then refuses some of them.
	sendsUploads bool
}

// lastAttempt is the number of the last request of any caller.
var lastAttempt atomic.Int64

func newCaller(d *deployment, seed uint64) *caller {
	c := &caller{checker: d.checker, random: rand.New(rand.NewPCG(seed, 2)), client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: requestDeadline + time.Second}}
	for _, g := range d.gateways {
		c.fronts = append(c.fronts, g.front)
	}
	return c
}

// send sends one request to a gateway and returns the status, the body, and whether the
// answer is complete.
func (c *caller) send(front string, sent call, path, body string, request standin.CallerRequest) (status int, answer string, whole bool) {
	request.Key, request.DeadlineMs = sent.key, int(requestDeadline/time.Millisecond)
	sent.sentAt, sent.front = time.Now(), front
	c.checker.recordSent(request.Attempt, &sent)
	r, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, "", false
	}
	r.Host, r.Header = testHost, request.Header()
	response, err := c.client.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Server-Leaving") != "" {
		c.checker.departures.record(front, response.Header.Get("X-Instance-Id"), sent.sentAt)
	}
	text, err := io.ReadAll(response.Body)
	c.checker.recordStatus(request.Attempt, response.StatusCode)
	if response.StatusCode > 599 || strings.Contains(fmt.Sprint(response.Header, string(text)), brokenMark) {
		c.checker.fail("%s got a broken answer: status %d, %v, %q", request.Attempt, response.StatusCode, response.Header, text)
	}
	return response.StatusCode, string(text), err == nil
}

// plainBody draws the body of a request without history: rest or an upload.
func (c *caller) plainBody(rest string) string {
	if c.sendsUploads && c.random.IntN(uploadShare) == 0 {
		return upload
	}
	return rest
}

func newAttempt() string { return fmt.Sprintf("attempt-%d", lastAttempt.Add(1)) }

func (c *caller) anyFront() string { return c.fronts[c.random.IntN(len(c.fronts))] }

// callPlain sends a request of a plain service.
func (c *caller) callPlain(front, kind, key string) (status int) {
	attempt, body := newAttempt(), c.plainBody("")
	status, answer, whole := c.send(front, call{kind: kind, key: key, prompt: body}, "/"+kind+"/", body, standin.CallerRequest{Attempt: attempt})
	if status == http.StatusOK && whole && answer != answerOf(attempt) {
		c.checker.fail("%s got an answer that is not its own: %q", attempt, answer)
	}
	return status
}

// chat runs a chain of turns of one program, each at any gateway, until one fails or all are
// answered. It checks that the program is handed no more tokens than its budget and one turn.
func (c *caller) chat(turns int) (answered int) {
	history, previous, program, handed := "", "", "program-"+newAttempt(), 0
	for range turns {
		attempt := newAttempt()
		input := "input of " + attempt + "\n"
		status, answer, whole := c.send(c.anyFront(), call{kind: "chat", key: "key-1", prompt: history + input}, "/chat/", input, standin.CallerRequest{
			Attempt: attempt, PreviousTurn: previous, Program: program, MaxTokens: turnTokens, TokenBudget: programTokens,
		})
		handed += eventTokens * strings.Count(answer, "data: ")
		if handed > programTokens+turnTokens {
			c.checker.fail("program %s was handed %d tokens of %d", program, handed, programTokens)
		}
		switch {
		case status == http.StatusNotFound:
			c.checker.fail("turn %s of a chain was lost: %s is not known", previous, attempt)
			return answered
		case status != http.StatusOK || !whole:
			return answered
		}
		if answer != streamOf(attempt) {
			c.checker.fail("%s got another stream: %q", attempt, answer)
		}
		history += input + strings.Join(eventsOf(attempt), "\n") + "\n"
		previous = attempt
		answered++
	}
	return answered
}

// review runs turns of one program without history, each at any gateway, also after some
// have failed. Such turns are served from the reserve while the store is away. It checks
// that the program is handed no more tokens than its budget and one turn.
func (c *caller) review(turns int) {
	program, handed, timesSpent := "program-"+newAttempt(), 0, 0
	for turn := 0; turn < turns && timesSpent < 3; turn++ {
		attempt, body := newAttempt(), c.plainBody("x")
		status, answer, whole := c.send(c.anyFront(), call{kind: "review", key: "key-1", prompt: body}, "/review/", body, standin.CallerRequest{
			Attempt: attempt, Program: program, MaxTokens: reviewMaxTokens, TokenBudget: reviewTokens,
		})
		if status == http.StatusOK && whole && answer != streamOf(attempt) {
			c.checker.fail("%s got another stream: %q", attempt, answer)
		}
		handed += eventTokens * strings.Count(answer, "data: ")
		if status == http.StatusPaymentRequired {
			timesSpent++
		}
	}
	if handed > reviewTokens+reviewMaxTokens {
		c.checker.fail("program %s was handed %d tokens of %d", program, handed, reviewTokens)
	}
}

// run sends requests of all kinds until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		switch c.random.IntN(5) {
		case 0:
			c.chat(1 + c.random.IntN(10))
		case 1:
			c.review(1 + c.random.IntN(40))
		case 2:
			c.callPlain(c.anyFront(), "charge", "key-1")
		default:
			c.callPlain(c.anyFront(), "lookup", limitedKey)
		}
	}
}
