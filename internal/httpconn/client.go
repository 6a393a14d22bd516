package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Errors of a call. They differ in whether the peer may have received the request.
var (
	// ErrNotSent means that no byte of the request was sent, because no connection
	// could be opened.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse means that no valid response arrived. The peer may have received
	// the request.
	ErrNoResponse = errors.New("no valid response")
	// ErrInvalidResponse is an ErrNoResponse: a response arrived whose head is invalid.
	ErrInvalidResponse = errors.WithMessage(ErrNoResponse, "peer sent an invalid response")
)

const (
	// dialTimeout bounds the time for opening a connection. To a peer in the same region,
	// this takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// maxRefused is the number of refused calls that a connection remembers. A connection
	// with more is closed: a forgotten call could be sent on it again.
	maxRefused = 64
	// maxSkippedBytes is the maximum size of a body that belongs to no request.
	maxSkippedBytes = 1 << 20
)

// errSkippedTooLarge means that an unrequested body exceeds maxSkippedBytes.
var errSkippedTooLarge = errors.Errorf("unrequested response exceeds %d bytes", maxSkippedBytes)

// Client sends requests to any number of addresses and reuses idle connections.
// It is safe for concurrent use.
type Client struct {
	idle *idleConns
}

// NewClient returns a client without connections. It reads the time from system, to
// decide which idle connections have expired.
func NewClient(system clock.Clock) *Client {
	return &Client{idle: newIdleConns(system)}
}

type clientConn struct {
	conn      net.Conn
	responses *ResponseReader
	// reused is set when the connection is taken for a call after its first one.
	reused bool
	// expiresAt is the time after which the idle connection is not reused.
	expiresAt clock.Millis
	// refused contains the identities of all calls that were refused on the connection. An
	// idle connection has at most maxRefused.
	refused []string
}

// Call is one request to an address.
type Call struct {
	// Address is the host:port to connect to.
	Address string
	// Method is the HTTP method.
	Method string
	// Head is the request line and the header fields, including the empty line at
	// their end.
	Head []byte
	// Body is sent after Head. It may be empty.
	Body Body
	// AcceptResponse reports whether a response with the given header belongs to this
	// request. Other responses are read and discarded. If AcceptResponse is nil, every
	// response is accepted.
	AcceptResponse func(header http.Header) bool
	// OnHead, unless nil, receives the status and the header of each response that arrives:
	// interim ones and those that AcceptResponse rejects, too.
	OnHead func(status int, header http.Header)
	// Identity is the same for all calls that offer one request. A connection on which one
	// of them was refused is not used for another, whose response could not be told from a
	// late copy of the refusal; see Response.MarkRefused. It may be empty.
	Identity string
	// NewConnection makes Do open a new connection instead of reusing an idle one.
	NewConnection bool
}

// Body is the body of a call, in parts that are sent one after another.
type Body [][]byte

// Bytes returns the size of the body, in bytes.
func (b Body) Bytes() (size int) {
	for _, part := range b {
		size += len(part)
	}
	return size
}

// Do sends call and waits for the head of the response. It sends the request at most
// once. When ctx ends before the response has been closed, the connection is closed.
// Errors wrap ErrNotSent, ErrNoResponse or ErrInvalidResponse.
func (c *Client) Do(ctx context.Context, call *Call) (response *Response, err error) {
	conn, err := c.acquire(ctx, call)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	write := newRequestWrite(conn.conn, call)
	httpResponse, err := conn.readHead(call)
	if err != nil {
		stopWatch()
		_ = conn.conn.Close()
		cause := ErrNoResponse
		if errors.Is(err, errInvalidHead) {
			cause = ErrInvalidResponse
		}
		return nil, errors.Wrap(cause, err.Error())
	}
	if isCloseDelimited(httpResponse) {
		httpResponse.Body = &closeDelimitedBody{ReadCloser: httpResponse.Body, write: write}
	}
	response = &Response{Response: httpResponse, client: c, conn: conn, address: call.Address, identity: call.Identity, write: write, stopWatch: stopWatch}
	// The peer's kernel takes a small request whether the peer reads it or not.
	if !call.isWrittenInline() && !write.isAcknowledged() {
		response.peer = newPeerWatch(write)
	}
	return response, nil
}

// readHead reads responses until one belongs to call, and returns it without its body.
// It skips 1xx responses and those that call.AcceptResponse rejects. It fails if a head is
// malformed, or if a skipped body exceeds maxSkippedBytes.
func (c *clientConn) readHead(call *Call) (*http.Response, error) {
	for {
		response, err := c.responses.Next(call.Method, call.OnHead)
		if err != nil {
			return nil, err
		}
		if call.AcceptResponse == nil || call.AcceptResponse(response.Header) {
			return response, nil
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
}

// skipBody reads and discards the body of a response that belongs to no request.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errSkippedTooLarge
	}
	return err
}

// acquire returns an idle connection, or a new one if there is none or call requires it.
func (c *Client) acquire(ctx context.Context, call *Call) (*clientConn, error) {
	if !call.NewConnection {
		if conn := c.idle.take(call); conn != nil {
			conn.reused = true
			return conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, err
	}
	ConfigureKeepAlive(conn, keepAliveInterval)
	return &clientConn{conn: conn, responses: NewResponseReader(conn)}, nil
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) { c.idle.closeAll(address) }

// CloseExpired closes the idle connections that are too old to be reused. The client
// does not do this by itself, so the caller must call CloseExpired regularly.
func (c *Client) CloseExpired() { c.idle.closeExpired() }
