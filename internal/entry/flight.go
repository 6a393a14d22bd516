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
type splice struct {
	published []byte
	attempt   []byte
}

// begin starts another attempt.
func (s *splice) begin() { s.attempt = s.attempt[:0] }

// add takes a piece of the attempt in and reports whether the published text
// has become void.
func (s *splice) add(piece string) (restarted bool) {
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
type flight struct {
	ticket program.Ticket
	work   work
	// ctx ends when the last caller has left, when the program is cancelled or
	// when the stream is lost.
	ctx    context.Context
	cancel context.CancelFunc
	// once lets the call either start, when its turn has come, or be refused.
	once sync.Once

	mu   sync.Mutex
	text splice
	// restarts counts how often the text became void.
	restarts int
	// changed is closed and replaced with each change.
	changed  chan struct{}
	finished bool
	answer   program.Answer
	err      error
	readers  int
	// keep is set for calls that go on without callers once they have started.
	keep    bool
	started bool
	// attempts is the number of the latest dispatch, which is unique within the
	// epoch; an agent accepts only rising numbers of a call.
	attempts uint64
}

func newFlight(parent context.Context, ticket program.Ticket, work work) *flight {
	ctx, cancel := context.WithCancel(parent)
	return &flight{
		ticket: ticket, work: work, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		keep: ticket.Kind == program.CallService && !ticket.Idempotent,
	}
}

func (f *flight) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// begun marks that the call's turn has come.
func (f *flight) begun() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
}

// begin starts another attempt at the answer.
func (f *flight) begin(attempt uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text.begin()
	f.attempts = attempt
}

// attempt returns the number of the latest attempt.
func (f *flight) attempt() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts
}

// add publishes a piece of the answer; one of an earlier attempt is dropped.
func (f *flight) add(attempt uint64, piece string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if attempt != f.attempts {
		return
	}
	if f.text.add(piece) {
		f.restarts++
	}
	f.signal()
}

// streamed returns the text of the current attempt.
func (f *flight) streamed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.text.attempt)
}

// finish ends the flight. The first call wins.
func (f *flight) finish(answer program.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished {
		return
	}
	f.finished, f.answer, f.err = true, answer, err
	f.signal()
}

// join counts a caller; it must be called on the shard's goroutine before the
// flight can end for lack of callers.
func (f *flight) join() {
	f.mu.Lock()
	f.readers++
	f.mu.Unlock()
}

// read passes the text to sink until the flight ends or ctx does.
func (f *flight) read(ctx context.Context, sink Sink) (answer program.Answer, err error) {
	defer f.leave()
	sent, restarts := 0, 0
	for {
		f.mu.Lock()
		restarted := f.restarts != restarts && sent > 0
		if f.restarts != restarts {
			restarts, sent = f.restarts, 0
		}
		piece := string(f.text.published[sent:])
		sent = len(f.text.published)
		finished, changed := f.finished, f.changed
		answer, err = f.answer, f.err
		f.mu.Unlock()
		if restarted || piece != "" {
			if err := sink(Event{Text: piece, Restart: restarted}); err != nil {
				return answer, left(err)
			}
		}
		if finished {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer, left(context.Cause(ctx))
		}
	}
}

func (f *flight) leave() {
	f.mu.Lock()
	f.readers--
	abandoned := f.readers == 0 && !f.finished && !(f.keep && f.started)
	f.mu.Unlock()
	if abandoned {
		f.cancel()
	}
}

// left is the answer to a caller that has gone or that may stay no longer.
func left(cause error) *spool.Refusal {
	if refusal := refusalOf(cause); refusal != nil {
		return refusal
	}
	if cause == context.DeadlineExceeded {
		return spool.Refuse(spool.CodeDeadlineExceeded, "deadline of the call has passed").WithNotRun(spool.NotRunUnknown)
	}
	return spool.Refuse(spool.CodeCancelled, "caller has left").WithNotRun(spool.NotRunUnknown)
}
