package adapters

import (
	"context"
	"fmt"
	"net/url"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Log is an HTTP client for the platform's log service.
type Log struct {
	transport *transport
}

var _ spool.Log = (*Log)(nil)

// NewLog returns a client for the log service at address, a host:port.
func NewLog(address string) *Log { return &Log{transport: newTransport(address)} }

type appendReply struct {
	Offset spool.Offset `json:"offset"`
}

// Append appends batch to stream and returns the offset of batch. The error wraps
// spool.ErrLogUnavailable if the batch was not appended, and
// spool.ErrOutcomeUnknown if the batch may have been appended.
func (l *Log) Append(ctx context.Context, stream spool.Stream, batch spool.Batch) (offset spool.Offset, err error) {
	defer func() { err = errors.Wrapf(err, "append to %s", stream) }()
	var reply appendReply
	err = l.transport.send(ctx, fasthttp.MethodPost, "/v1/streams/"+url.PathEscape(string(stream)), batch, &reply)
	status := &statusError{}
	switch {
	case err == nil:
		return reply.Offset, nil
	case errors.Is(err, spool.ErrNotSent), errors.As(err, &status):
		return 0, errors.Wrap(spool.ErrLogUnavailable, err.Error())
	default:
		return 0, errors.Wrap(spool.ErrOutcomeUnknown, err.Error())
	}
}

// Read returns the batches of stream after the offset after. If there are none, it waits
// for up to wait. If retention has removed the batch at offset after+1, Read returns the
// page together with spool.ErrTrimmed. Any other error wraps spool.ErrLogUnavailable.
func (l *Log) Read(ctx context.Context, stream spool.Stream, after spool.Offset, wait clock.Millis) (page spool.Page, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", stream) }()
	path := fmt.Sprintf("/v1/streams/%s?after=%d&waitMs=%d", url.PathEscape(string(stream)), after, int64(wait))
	if err := l.transport.get(ctx, path, wait, &page); err != nil {
		return spool.Page{}, errors.Wrap(spool.ErrLogUnavailable, err.Error())
	}
	if page.First > after+1 {
		return page, spool.ErrTrimmed
	}
	return page, nil
}
