package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// fuzzTimeout bounds one input; a connection that is still open then hangs.
const fuzzTimeout = 5 * time.Second

// FuzzServer guards against bytes of a caller that end the process, keep a connection
// whose caller has ended, or break the requests of other connections.
func FuzzServer(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n", getRequest("/a"), getRequest("/a") + getRequest("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nxyz",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nfffffffff\r\nx",
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
		"GET /a HTTP/9.9\r\n\r\n", "GET  HTTP/1.1\r\nHost:\r\n\r\n", "\x00\xff\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	server, err := httpconn.NewServer("127.0.0.1:0", echo)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Stop(ctx)
	})
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := net.Dial("tcp4", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(input)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(fuzzTimeout))
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Fatal("the server keeps a connection whose caller has ended")
		}
		response, err := http.Get("http://" + server.Address() + "/other")
		if err != nil {
			t.Fatalf("a request of another connection failed: %v", err)
		}
		_ = response.Body.Close()
	})
}

// FuzzClient guards against bytes of an endpoint that end the process, that keep a call
// beyond its time, or that are taken for a response although they are not valid.
func FuzzClient(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999999999999\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999\r\n\r\n", "HTTP/2 200\r\n\r\n", "\xff\x00\r\n\r\n", "HTTP/1.1 200 OK\r\nX",
		"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", "HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	client := httpconn.NewClient(clock.System())
	f.Fuzz(func(t *testing.T, answer []byte) {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(answer)
			_ = conn.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), fuzzTimeout)
		defer cancel()
		response, err := client.Do(ctx, &httpconn.Call{Address: listener.Addr().String(), Method: http.MethodGet, Head: []byte(getRequest("/a")), NewConnection: true})
		if err == nil {
			if response.StatusCode < 200 || response.StatusCode > 599 {
				t.Fatalf("status %d", response.StatusCode)
			}
			for name := range response.Header {
				if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == ':' }) {
					t.Fatalf("field name %q", name)
				}
			}
			_, err = io.Copy(io.Discard, response.Body)
			response.Close(err == nil)
		}
		if ctx.Err() != nil {
			t.Fatal("a call goes on after its connection has ended")
		}
	})
}

func isTimeout(err error) bool {
	netError, ok := err.(net.Error)
	return ok && netError.Timeout()
}
