package httpconn

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxInlineWrite is the size in bytes up to which a request is written completely before
// the response is read. A larger request is written by another goroutine, because a peer
// may respond before it has read the whole request.
const maxInlineWrite = 16 << 10

// errConnectionFailed means that a connection was reset or timed out before the response on
// it had ended.
var errConnectionFailed = errors.New("connection failed before the response ended")

// requestWrite is the write of one request, which may go on while the response is read.
type requestWrite struct {
	conn net.Conn
	// ended is closed when the write has ended. err is set before and does not change after.
	ended chan struct{}
	err   error
}

// isWrittenInline reports whether the request is written completely before the response is
// read.
func (c *Call) isWrittenInline() bool { return len(c.Head)+c.Body.Bytes() <= maxInlineWrite }

// newRequestWrite starts to write the request of call to conn.
func newRequestWrite(conn net.Conn, call *Call) *requestWrite {
	w := &requestWrite{conn: conn, ended: make(chan struct{})}
	if call.isWrittenInline() {
		defer close(w.ended)
		_, w.err = conn.Write(slices.Concat(append([][]byte{call.Head}, call.Body...)...))
		return w
	}
	go func() {
		defer close(w.ended)
		parts := append(net.Buffers{call.Head}, call.Body...)
		_, w.err = parts.WriteTo(conn)
	}()
	return w
}

// hasSucceeded reports whether the whole request has been written.
func (w *requestWrite) hasSucceeded() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// isAcknowledged reports whether the whole request has been written and the peer has
// acknowledged it.
func (w *requestWrite) isAcknowledged() bool {
	// The order matters: once the write has ended, no further data can become unsent.
	if !w.hasSucceeded() {
		return false
	}
	state, ok := readSendState(w.conn)
	return ok && state.isDone()
}

// stop ends the write if it still goes on, by a deadline in the past, and returns its error.
// The connection must not be used for another request.
func (w *requestWrite) stop() error {
	_ = w.conn.SetWriteDeadline(time.Unix(0, 0))
	<-w.ended
	return w.err
}

// connectionFailure is called when a read has seen the end of the connection. It stops the
// write and returns nil if the peer has ended the connection in order, and
// errConnectionFailed if the connection has failed.
//
// The kernel reports a reset or a timeout of a connection to only one call. If the write has
// got it, a read sees the same as if the peer had ended the connection.
func (w *requestWrite) connectionFailure() error {
	err := w.stop()
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(err, unix.EPIPE):
		// A reset causes EPIPE instead of ECONNRESET if the peer had ended its side of the
		// connection before, so that the whole response has arrived.
		return nil
	default:
		return errors.Wrap(errConnectionFailed, err.Error())
	}
}
