package httpconn

import (
	"io"
	"net/http"
	"time"
)

// isFramed reports whether the head of a response tells where its body ends, by a length or
// by chunks.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// isCloseDelimited reports whether a response has a body that ends with the connection
// (RFC 9112, section 6.3).
func isCloseDelimited(response *http.Response) bool {
	return response.Body != http.NoBody && !isFramed(response)
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	// write is the write of the request on the same connection.
	write *requestWrite
}

// Read implements io.Reader. It returns io.EOF only if the peer has ended the connection in
// order, and another error if the connection has failed.
func (b *closeDelimitedBody) Read(buffer []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if failure := b.write.connectionFailure(); failure != nil {
		return n, failure
	}
	return n, io.EOF
}

// Response is a response whose body has not been read. The caller of Do must call
// Close.
type Response struct {
	*http.Response
	client *Client
	conn   *clientConn
	// address and identity are those of the call.
	address, identity string
	// write is the write of the request.
	write *requestWrite
	// peer notices if the peer falls silent. It is nil if the request was written inline or the
	// peer had acknowledged all of it when the response arrived.
	peer *peerWatch
	// stopWatch ends the observation of the context. It returns false if the context
	// has already ended and the connection is closed.
	stopWatch func() bool
	closed    bool
	// last is set if no other call may use the connection.
	last bool
}

// RequestWritten reports whether the whole request has been written. Its body is not used any
// more then.
func (r *Response) RequestWritten() bool { return r.write.hasSucceeded() }

// ConnectionReused reports whether an earlier call was sent on the connection. A response
// that names no request may then be another copy of the response to that call.
func (r *Response) ConnectionReused() bool { return r.conn.reused }

// MarkLast makes Close close the connection instead of keeping it for reuse.
func (r *Response) MarkLast() { r.last = true }

// MarkRefused records that the peer has refused the request, so that another call with the
// same identity uses another connection. It must be called before Close.
func (r *Response) MarkRefused() {
	if r.identity != "" {
		r.conn.refused = append(r.conn.refused, r.identity)
	}
}

// Close releases the response. whole must be true only if the body has been read to the
// end. The connection is then kept for reuse, unless ctx has ended, the peer closes the
// connection, the request was not written completely, unexpected data has arrived, more
// than maxRefused calls were refused on the connection or MarkLast was called.
// Otherwise Close closes the connection. Later calls of Close have no effect.
func (r *Response) Close(whole bool) {
	if r.closed {
		return
	}
	r.closed = true
	open := r.stopWatch()
	if r.peer != nil {
		r.peer.stop()
	}
	// The peer may respond although the request has not been written completely.
	keep := whole && open && r.isReusable() && r.write.hasSucceeded()
	if !keep || r.conn.responses.Buffered() > 0 {
		_ = r.conn.conn.Close()
		return
	}
	r.client.idle.put(r.address, r.conn, r.Header)
}

// isReusable reports whether the connection may be used for another call once the body has
// been read.
func (r *Response) isReusable() bool {
	return isFramed(r.Response) && !r.Response.Close && !r.last && len(r.conn.refused) <= maxRefused
}

// SetReadDeadline sets the time after which reading the body fails. The zero time means
// no deadline.
func (r *Response) SetReadDeadline(at time.Time) { _ = r.conn.conn.SetReadDeadline(at) }
