package control

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of Publish, in addition to *ConflictError.
var (
	// ErrInvalid means that a change is invalid and has no effect. If Validate
	// finds the fault, nothing is appended. If the readers of the stream find it,
	// the valid changes of the same batch have taken effect.
	ErrInvalid = errors.New("change is not valid")
	// ErrNotPublished means that nothing was appended before the context ended,
	// because the log was unavailable or the stream could not be read. The change has
	// no effect and will have none later.
	ErrNotPublished = errors.New("change was not published")
	// ErrUnresolved means that an append succeeded or may have succeeded, but the
	// batch was not read back from the log before the context ended.
	ErrUnresolved = errors.New("change may have been published, read its history to know")
)

// ConflictError means that the value was changed on the stream at a higher offset than
// the base of the published change. No change of the batch has an effect.
type ConflictError struct {
	// Cause names the path and the offsets.
	Cause *settings.ConflictError
	// Writer is the node that published the other change; empty if the publisher has
	// not read that change from the log.
	Writer spool.NodeID
}

// Error names the path, the offsets and the other writer.
func (e *ConflictError) Error() string {
	if e.Writer == "" {
		return "conflict: " + e.Cause.Error()
	}
	return fmt.Sprintf("conflict: %s (by %s)", e.Cause, e.Writer)
}

// Unwrap returns Cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// appendTimeout bounds one append, and separately the read that confirms the append,
// so that a log that does not respond leaves time for further attempts.
const appendTimeout = 3 * clock.Second

// Publisher appends an operator's changes to the control stream and confirms that
// they were applied. It is not safe for concurrent use.
type Publisher struct {
	log         spool.Log
	writer      spool.NodeID
	clock       clock.Clock
	newID       func() string
	stateLoaded bool
	state       *State
	// writers holds the writer of each batch that was read, by the offset of the
	// batch.
	writers map[spool.Offset]spool.NodeID
	// pendingBatch is the ID of the batch that Publish is publishing; empty between
	// the calls. outcome is nil until that batch has been read from the log.
	pendingBatch string
	outcome      *batchOutcome
}

// batchOutcome is the offset at which a batch was read and its rejected records.
type batchOutcome struct {
	offset   spool.Offset
	rejected []Rejection
}

// PublisherOption configures a Publisher.
type PublisherOption func(*Publisher)

// WithState makes the publisher start from a state, for example the result of
// Reader.CopyState, instead of reading the stream from its start. The publisher changes
// the state when it reads the stream. Changes are based on this state until the next
// Refresh or Publish.
func WithState(state *State) PublisherOption {
	return func(p *Publisher) { p.state, p.stateLoaded = state, true }
}

// NewPublisher returns a publisher whose batches name writer as their author.
func NewPublisher(log spool.Log, writer spool.NodeID, options ...PublisherOption) *Publisher {
	publisher := &Publisher{
		log: log, writer: writer, clock: clock.System(), newID: uuid.NewString,
		state: NewState(), writers: map[spool.Offset]spool.NodeID{},
	}
	for _, option := range options {
		option(publisher)
	}
	return publisher
}

// Refresh reads the control stream to its end. Changes that are published later are
// based on the state that it read. If it fails, the state includes the batches that
// were read before the error.
func (p *Publisher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state, err := follow(ctx, p.log, p.state, followHooks{onBatch: p.recordBatch})
	p.state = state
	p.stateLoaded = p.stateLoaded || err == nil
	return err
}

// recordBatch records the writer of a batch. If the batch is a copy of the pending
// batch, recordBatch also records its outcome. It never replaces an outcome without
// rejections, because later copies of an applied batch are always rejected.
func (p *Publisher) recordBatch(batch spool.Batch, rejected []Rejection) {
	p.writers[batch.Offset] = batch.Writer
	if p.pendingBatch == "" || batch.ID != p.pendingBatch || (p.outcome != nil && len(p.outcome.rejected) == 0) {
		return
	}
	p.outcome = &batchOutcome{offset: batch.Offset, rejected: rejected}
}

// State returns the state as of the last read of the stream by Refresh or Publish, or
// that of WithState if there was no read. Callers must not change it.
func (p *Publisher) State() *State { return p.state }

// Now returns the current time of the publisher's clock.
func (p *Publisher) Now() clock.Millis { return p.clock.Now() }

// Validate checks contents as Publish does before it appends them. It does not read or
// write the log, and does not check for conflicts. The error wraps ErrInvalid and lists
// all problems.
func (p *Publisher) Validate(contents ...any) error {
	var problems error
	var changes []settings.Change
	createdAccounts := map[spool.AccountID]bool{}
	for _, content := range contents {
		if account, ok := content.(Account); ok {
			createdAccounts[account.ID] = true
		}
	}
	for _, content := range contents {
		if change, ok := content.(settings.Change); ok {
			changes = append(changes, change)
			continue
		}
		if key, ok := content.(keyring.StoredKey); ok && !createdAccounts[key.Account] {
			problems = multierr.Append(problems, p.checkAccount(key.Account))
		}
		record, err := NewRecord(content)
		if err == nil {
			_, err = DecodeRecord(record)
		}
		problems = multierr.Append(problems, err)
	}
	problems = multierr.Append(problems, settings.Validate(changes))
	if problems == nil {
		return nil
	}
	return &invalidError{problems: problems}
}

// invalidError lists all problems of the changes of one batch. It wraps ErrInvalid.
type invalidError struct{ problems error }

func (e *invalidError) Error() string {
	text := ErrInvalid.Error() + ":"
	for _, problem := range multierr.Errors(e.problems) {
		text += "\n  " + problem.Error()
	}
	return text
}

func (e *invalidError) Unwrap() error { return ErrInvalid }

// checkAccount returns an error if the account does not exist in the state or is
// closed.
func (p *Publisher) checkAccount(id spool.AccountID) error {
	account, ok := p.state.Account(id)
	switch {
	case !ok:
		return errors.Errorf("account %q does not exist", id)
	case account.Closed:
		return errors.Errorf("account %q is closed", id)
	}
	return nil
}

// Publish validates contents, appends them as one batch and returns the offset of
// the batch once the batch was read back from the log and all its records were applied.
// Contents whose base is 0 get the offset of the publisher's state as base. If the
// stream was never read, Publish first calls Refresh. Publish fails with ErrInvalid,
// *ConflictError, ErrNotPublished or ErrUnresolved. It retries failed requests to the
// log until ctx ends. A retry cannot apply the change twice, because the
// compare-and-set rejects the second copy.
func (p *Publisher) Publish(ctx context.Context, contents ...any) (offset spool.Offset, err error) {
	var retry backoff
	for !p.stateLoaded {
		if err := p.Refresh(ctx); err != nil && !clock.Pause(ctx, retry.nextDelay(0.5)) {
			return 0, errors.Wrap(ErrNotPublished, err.Error())
		}
	}
	if err := p.Validate(contents...); err != nil {
		return 0, err
	}
	batch := spool.Batch{ID: p.newID(), Writer: p.writer, At: p.clock.Now()}
	for _, content := range contents {
		record, err := NewRecord(withBase(content, p.state.offset))
		if err != nil {
			return 0, errors.Wrap(ErrInvalid, err.Error())
		}
		batch.Records = append(batch.Records, record)
	}
	if len(batch.Records) == 0 {
		return 0, errors.Wrap(ErrInvalid, "no changes are given")
	}
	p.pendingBatch, p.outcome = batch.ID, nil
	defer func() { p.pendingBatch = "" }()
	return p.appendAndConfirm(ctx, batch)
}

// withBase returns content with the given base, or unchanged if its base is not 0 or
// its type has no base.
func withBase(content any, base spool.Offset) any {
	if _, existingBase := PathOf(content); existingBase != 0 {
		return content
	}
	switch content := content.(type) {
	case settings.Change:
		content.Base = base
		return content
	case keyring.StoredKey:
		content.Base = base
		return content
	case Account:
		content.Base = base
		return content
	case Service:
		content.Base = base
		return content
	case Order:
		content.Base = base
		return content
	default:
		return content
	}
}

// appendAndConfirm repeats the append of the batch until an append succeeds. After an
// append that succeeded or may have succeeded, it reads the stream. It returns the
// result of the batch once it has read a copy of the batch, and fails with
// ErrNotPublished or ErrUnresolved when ctx ends before.
func (p *Publisher) appendAndConfirm(ctx context.Context, batch spool.Batch) (spool.Offset, error) {
	var retry backoff
	var lastErr error
	appended, mayBeAppended := false, false
	for {
		if !appended {
			_, err := p.appendOnce(ctx, batch)
			switch {
			case err == nil:
				appended = true
			case !errors.Is(err, spool.ErrLogUnavailable):
				mayBeAppended = true
				lastErr = err
			default:
				lastErr = err
			}
		}
		if appended || mayBeAppended {
			readCtx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
			err := p.Refresh(readCtx)
			cancel()
			if p.outcome != nil {
				return p.pendingResult()
			}
			if err != nil {
				lastErr = err
			}
		}
		if !clock.Pause(ctx, retry.nextDelay(0.5)) {
			break
		}
	}
	if appended || mayBeAppended {
		return 0, errors.Wrapf(ErrUnresolved, "batch %s: %v", batch.ID, lastErr)
	}
	return 0, errors.Wrapf(ErrNotPublished, "%v", lastErr)
}

// appendOnce makes one attempt to append the batch, bounded by appendTimeout.
func (p *Publisher) appendOnce(ctx context.Context, batch spool.Batch) (spool.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	return p.log.Append(ctx, spool.ControlStream, batch)
}

// pendingResult converts the outcome of the pending batch to the result of Publish.
func (p *Publisher) pendingResult() (spool.Offset, error) {
	var problems error
	for _, rejection := range p.outcome.rejected {
		if conflictErr := (&settings.ConflictError{}); errors.As(rejection.Err, &conflictErr) {
			return 0, &ConflictError{Cause: conflictErr, Writer: p.writers[conflictErr.ChangedAt]}
		}
		problems = multierr.Append(problems, rejection.Err)
	}
	if problems != nil {
		return 0, &invalidError{problems: problems}
	}
	return p.outcome.offset, nil
}
