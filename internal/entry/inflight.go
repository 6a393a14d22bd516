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
	// Text is the next part of the answer, appended to the text of the earlier
	// events.
	Text string `json:"text,omitempty"`
	// Restart means that the text of all earlier events must be discarded, and
	// that Text is the start of a new answer: another attempt has run the call
	// again and its text differs.
	Restart bool `json:"restart,omitempty"`
}

// Sink receives the events of an answer in order. After it returns an error, it is
// not called again and the operation ends with a refusal.
type Sink func(Event) error

// attemptMerger merges the texts of several attempts at the same call into one
// answer. As long as the text of an attempt equals the published text, nothing is
// published; text that goes beyond the published text is appended to it. If the
// texts differ, that of the attempt replaces the published text.
type attemptMerger struct {
	published []byte
	attempt   []byte
}

// beginAttempt starts another attempt with an empty text. The published text
// stays.
func (m *attemptMerger) beginAttempt() { m.attempt = m.attempt[:0] }

// appendText appends text to the text of the attempt and publishes the result. It
// returns true if the text of the attempt differs from the published text and has
// replaced it.
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

// inflightCall is a call in progress, waiting or running, at the owner of its
// program. Several requests can read its answer: a request that repeats the call
// is added as a reader and gets the text from the start.
type inflightCall struct {
	ticket program.Ticket
	spec   callSpec
	// ctx is cancelled when the call is finished, when this process loses the
	// stream, when the last reader has left or when the program ends. The last two
	// do not cancel a started call with runsWithoutReaders.
	ctx    context.Context
	cancel context.CancelFunc
	// startOnce ensures that a call is either started, or refused while it waits,
	// but not both.
	startOnce sync.Once

	mu   sync.Mutex
	text attemptMerger
	// restarts is the number of times that the published text was replaced.
	restarts int
	// changed is closed and replaced whenever text is published or the call is
	// finished. That wakes the readers.
	changed chan struct{}
	// answer and err are the result of the call, valid once finished is true.
	finished bool
	answer   program.Answer
	err      error
	// readers is the number of requests that read the answer.
	readers int
	// runsWithoutReaders is true for a non-idempotent service call. Once started,
	// such a call continues without readers, so that its outcome gets recorded.
	// The end of its program does not cancel it either.
	runsWithoutReaders bool
	started            bool
	// attemptNumber is the number of the latest dispatch of this call; 0 before the
	// first. It is unique within the epoch of the stream. Within the
	// epoch, an agent refuses outdated dispatches of a call: those with a lower
	// number than the dispatch that it runs, and those with a number up to that of
	// an outcome query.
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

// currentAttempt returns the dispatch number of the latest attempt; 0 before the
// first.
func (c *inflightCall) currentAttempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptNumber
}

// appendText publishes text that an attempt has produced and wakes the readers. It
// ignores the text if a later attempt has begun.
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

// finish sets the result of the call and wakes the readers. If the call has a
// result already, finish does nothing.
func (c *inflightCall) finish(answer program.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished, c.answer, c.err = true, answer, err
	c.notifyReaders()
}

// addReader increments the number of readers. It must be called on the shard's
// goroutine, where the call was looked up or created, and must be followed by read.
func (c *inflightCall) addReader() {
	c.mu.Lock()
	c.readers++
	c.mu.Unlock()
}

// read passes the text of the answer to sink and returns the result once the call
// is finished. If ctx ends or sink fails before, read returns a refusal. Either way
// it removes the reader that addReader has added before.
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

// removeReader decrements the number of readers. If no reader is left, it cancels
// the call, unless the call is finished or has started and runsWithoutReaders is
// true.
func (c *inflightCall) removeReader() {
	c.mu.Lock()
	c.readers--
	abandoned := c.readers == 0 && !c.finished && !(c.runsWithoutReaders && c.started)
	c.mu.Unlock()
	if abandoned {
		c.cancel()
	}
}

// cancellationRefusal returns the refusal of a call whose context has ended with
// the given cause: the refusal that the cause wraps, or else one with
// CodeDeadlineExceeded or CodeCancelled.
func cancellationRefusal(cause error) *spool.Refusal {
	if refusal := refusalOf(cause); refusal != nil {
		return refusal
	}
	if cause == context.DeadlineExceeded {
		return spool.Refuse(spool.CodeDeadlineExceeded, "deadline of the call has passed").WithNotRun(spool.NotRunUnknown)
	}
	return spool.Refuse(spool.CodeCancelled, "caller has left").WithNotRun(spool.NotRunUnknown)
}
