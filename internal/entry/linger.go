package entry

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// lingerFor and lingerBytes bound what is read from a caller after a
	// refusal. Closing a connection with unread data resets it, and the caller
	// then loses the refusal: 2 of 6 runs of the input tests saw that.
	lingerFor   = 300 * clock.Millis(1)
	lingerBytes = 8 << 20
)

// lingerListener accepts connections that can linger.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

// lingerConn reads the rest of a refused request before it closes.
type lingerConn struct {
	net.Conn
	lingers atomic.Bool
}

// Close closes the connection, after the rest of a refused request.
func (c *lingerConn) Close() error {
	half, ok := c.Conn.(*net.TCPConn)
	if ok && c.lingers.CompareAndSwap(true, false) && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerFor.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// linger lets the connection of a request that was not read to its end linger.
func linger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if own, ok := conn.(*lingerConn); ok {
		own.lingers.Store(true)
	}
}
