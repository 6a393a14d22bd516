package entry

import (
	"bytes"
	"context"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Event is one piece of a streamed answer.
type Event struct {
	// Text continues the text of the earlier events.
	Text string `json:"text,omitempty"`
	// Restart means that the text of all earlier events must be discarded:
	// another endpoint has run the call again and its answer differs.
	Restart bool `json:"restart,omitempty"`
}

// Sink receives the events of an answer in order. If it returns an error, no
// further events follow.
type Sink func(Event) error

// attemptMerger merges the texts of several attempts at the same call into one
// answer. While an attempt repeats the published text, only the text beyond it is
// published.
type attemptMerger struct {
	published []byte
	attempt   []byte
}

// beginAttempt starts another attempt.
func (m *attemptMerger) beginAttempt() { m.attempt = m.attempt[:0] }

// appendText appends text of the attempt. It reports whether the attempt differs
// from the published text; the text of the attempt then replaces it.
func (m *attemptMerger) appendText(text string) (restarted bool) {
	m.attempt = append(m.attempt, text...)
	shared := min(len(m.attempt), len(m.published))
	if !bytes.Equal(m.attempt[:shared], m.published[:shared]) {
		m.published = append(m.published[:0:0], m.attempt...)
		return true
	}
	m.published = append(m.published, m.attempt[shared:]...)
	return false
}

// inflightCall is a call in progress at the owner of its program, waiting or
// running. Any number of callers read its answer: a caller that repeats the call
// joins it and gets the text from the start.
type inflightCall struct {
	ticket program.Ticket
	spec   callSpec
	// ctx is cancelled when the last caller has left, when the program ends, when
	// this process loses the stream or when the call is finished.
	ctx    context.Context
	cancel context.CancelFunc
	// startOnce ensures that a waiting call is either started or refused, and
	// only once.
	startOnce sync.Once

	mu   sync.Mutex
	text attemptMerger
	// restarts counts how often the published text was replaced.
	restarts int
	// changed is closed and replaced at each change, which wakes the readers.
	changed  chan struct{}
	finished bool
	answer   program.Answer
	err      error
	readers  int
	// runsWithoutReaders is true for a non-idempotent service call. Once started,
	// it continues without readers and after its program has ended, so that its
	// outcome gets recorded.
	runsWithoutReaders bool
	started            bool
	// attemptNumber is the number of the latest dispatch. It is unique within the
	// epoch of the stream. For one call, an agent accepts only increasing
	// numbers.
	attemptNumber uint64
}

func newInflightCall(parent context.Context, ticket program.Ticket, spec callSpec) *inflightCall {
	ctx, cancel := context.WithCancel(parent)
	return &inflightCall{
		ticket: ticket, spec: spec, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		runsWithoutReaders: ticket.Kind == program.CallService && !ticket.Idempotent,
	}
}

// notifyReaders wakes all readers. The caller must hold c.mu.
func (c *inflightCall) notifyReaders() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// markStarted records that the call has started.
func (c *inflightCall) markStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

// beginAttempt starts the attempt with the given dispatch number.
func (c *inflightCall) beginAttempt(attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.beginAttempt()
	c.attemptNumber = attempt
}

// currentAttempt returns the dispatch number of the latest attempt.
func (c *inflightCall) currentAttempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptNumber
}

// appendText publishes text of the answer. Text of an earlier attempt is dropped.
func (c *inflightCall) appendText(attempt uint64, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt != c.attemptNumber {
		return
	}
	if c.text.appendText(text) {
		c.restarts++
	}
	c.notifyReaders()
}

// attemptText returns the text that the current attempt has produced so far.
func (c *inflightCall) attemptText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.text.attempt)
}

// finish sets the result of the call. Only the first result counts.
func (c *inflightCall) finish(answer program.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished, c.answer, c.err = true, answer, err
	c.notifyReaders()
}

// addReader counts a reader. It must be called on the shard's goroutine, before
// the call can be cancelled for lack of readers.
func (c *inflightCall) addReader() {
	c.mu.Lock()
	c.readers++
	c.mu.Unlock()
}

// read passes the text to sink until the call is finished or ctx ends, and
// returns the result. It must be preceded by addReader.
func (c *inflightCall) read(ctx context.Context, sink Sink) (answer program.Answer, err error) {
	defer c.removeReader()
	sent, restarts := 0, 0
	for {
		c.mu.Lock()
		restarted := c.restarts != restarts && sent > 0
		if c.restarts != restarts {
			restarts, sent = c.restarts, 0
		}
		piece := string(c.text.published[sent:])
		sent = len(c.text.published)
		finished, changed := c.finished, c.changed
		answer, err = c.answer, c.err
		c.mu.Unlock()
		if restarted || piece != "" {
			if err := sink(Event{Text: piece, Restart: restarted}); err != nil {
				return answer, cancellationRefusal(err)
			}
		}
		if finished {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer, cancellationRefusal(context.Cause(ctx))
		}
	}
}

// removeReader counts a reader out. It cancels the call if no reader is left,
// unless the call has to run without readers.
func (c *inflightCall) removeReader() {
	c.mu.Lock()
	c.readers--
	abandoned := c.readers == 0 && !c.finished && !(c.runsWithoutReaders && c.started)
	c.mu.Unlock()
	if abandoned {
		c.cancel()
	}
}

// cancellationRefusal returns the refusal of a call whose context has ended
// with the given cause.
func cancellationRefusal(cause error) *spool.Refusal {
	if refusal := refusalOf(cause); refusal != nil {
		return refusal
	}
	if cause == context.DeadlineExceeded {
		return spool.Refuse(spool.CodeDeadlineExceeded, "deadline of the call has passed").WithNotRun(spool.NotRunUnknown)
	}
	return spool.Refuse(spool.CodeCancelled, "caller has left").WithNotRun(spool.NotRunUnknown)
}
