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
	// Text follows the text of the events before.
	Text string `json:"text,omitempty"`
	// Restart means that the text so far is void: another endpoint started over
	// and its answer differs.
	Restart bool `json:"restart,omitempty"`
}

// Sink receives the events of an answer in order. An error ends the call.
type Sink func(Event) error

// splice joins the texts of several attempts at one answer. An attempt that
// repeats what was published goes on where the text ended.
type attemptMerger struct {
	published []byte
	attempt   []byte
}

// begin starts another attempt.
func (s *attemptMerger) beginAttempt() { s.attempt = s.attempt[:0] }

// add takes a piece of the attempt in and reports whether the published text
// has become void.
func (s *attemptMerger) appendText(piece string) (restarted bool) {
	s.attempt = append(s.attempt, piece...)
	shared := min(len(s.attempt), len(s.published))
	if !bytes.Equal(s.attempt[:shared], s.published[:shared]) {
		s.published = append(s.published[:0:0], s.attempt...)
		return true
	}
	s.published = append(s.published, s.attempt[shared:]...)
	return false
}

// flight is a call under way at the owner. Its callers read it; a caller that
// repeats the call joins it and gets the text from the start.
type inflightCall struct {
	ticket program.Ticket
	spec   callSpec
	// ctx ends when the last caller has left, when the program is cancelled or
	// when the stream is lost.
	ctx    context.Context
	cancel context.CancelFunc
	// once lets the call either start, when its turn has come, or be refused.
	startOnce sync.Once

	mu   sync.Mutex
	text attemptMerger
	// restarts counts how often the text became void.
	restarts int
	// changed is closed and replaced with each change.
	changed  chan struct{}
	finished bool
	answer   program.Answer
	err      error
	readers  int
	// keep is set for calls that go on without callers once they have started.
	runsWithoutReaders bool
	started            bool
	// attempts is the number of the latest dispatch, which is unique within the
	// epoch; an agent accepts only rising numbers of a call.
	attemptNumber uint64
}

func newInflightCall(parent context.Context, ticket program.Ticket, work callSpec) *inflightCall {
	ctx, cancel := context.WithCancel(parent)
	return &inflightCall{
		ticket: ticket, spec: work, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		runsWithoutReaders: ticket.Kind == program.CallService && !ticket.Idempotent,
	}
}

func (c *inflightCall) notifyReaders() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// begun marks that the call's turn has come.
func (c *inflightCall) markStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

// begin starts another attempt at the answer.
func (c *inflightCall) beginAttempt(attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.beginAttempt()
	c.attemptNumber = attempt
}

// attempt returns the number of the latest attempt.
func (c *inflightCall) currentAttempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptNumber
}

// add publishes a piece of the answer; one of an earlier attempt is dropped.
func (c *inflightCall) appendText(attempt uint64, piece string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt != c.attemptNumber {
		return
	}
	if c.text.appendText(piece) {
		c.restarts++
	}
	c.notifyReaders()
}

// streamed returns the text of the current attempt.
func (c *inflightCall) attemptText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.text.attempt)
}

// finish ends the flight. The first call wins.
func (c *inflightCall) finish(answer program.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished, c.answer, c.err = true, answer, err
	c.notifyReaders()
}

// join counts a caller; it must be called on the shard's goroutine before the
// flight can end for lack of callers.
func (c *inflightCall) addReader() {
	c.mu.Lock()
	c.readers++
	c.mu.Unlock()
}

// read passes the text to sink until the flight ends or ctx does.
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

func (c *inflightCall) removeReader() {
	c.mu.Lock()
	c.readers--
	abandoned := c.readers == 0 && !c.finished && !(c.runsWithoutReaders && c.started)
	c.mu.Unlock()
	if abandoned {
		c.cancel()
	}
}

// left is the answer to a caller that has gone or that may stay no longer.
func cancellationRefusal(cause error) *spool.Refusal {
	if refusal := refusalOf(cause); refusal != nil {
		return refusal
	}
	if cause == context.DeadlineExceeded {
		return spool.Refuse(spool.CodeDeadlineExceeded, "deadline of the call has passed").WithNotRun(spool.NotRunUnknown)
	}
	return spool.Refuse(spool.CodeCancelled, "caller has left").WithNotRun(spool.NotRunUnknown)
}
