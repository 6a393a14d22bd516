package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

func TestHTTPConn(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httpconn")
}

const readTimeout = 5 * time.Second

func startServer(handler httpconn.Handler) *httpconn.Server {
	server, err := httpconn.NewServer("127.0.0.1:0", handler)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Stop(ctx)
	})
	return server
}

func echo(_ context.Context, exchange *httpconn.Exchange) {
	_ = exchange.Respond(http.StatusOK, nil, []byte(exchange.Request().RequestURI+string(exchange.Body())))
}

// testClient is a client's TCP connection with a buffered reader for the responses.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) *testClient {
	conn, err := net.Dial("tcp4", address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	return &testClient{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	_, err := io.WriteString(c, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

func (c *testClient) receive() (response *http.Response, body string) {
	response, err := http.ReadResponse(c.reader, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	data, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, string(data)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

var _ = ginkgo.Describe("Server", func() {
	ginkgo.It("answers requests of one connection in turn, also pipelined ones", func() {
		c := dial(startServer(echo).Address())
		c.send(getRequest("/a") + getRequest("/b"))
		for _, want := range []string{"/a", "/b"} {
			_, body := c.receive()
			gomega.Expect(body).To(gomega.Equal(want))
		}
	})

	ginkgo.It("reads bodies with a length and in chunks", func() {
		c := dial(startServer(echo).Address())
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxyPOST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n")
		_, body := c.receive()
		gomega.Expect(body).To(gomega.Equal("/axy"))
		_, body = c.receive()
		gomega.Expect(body).To(gomega.Equal("/bxyz"))
	})

	ginkgo.It("ends the context of a request whose caller leaves", func() {
		cancelled := make(chan struct{})
		server := startServer(func(ctx context.Context, _ *httpconn.Exchange) {
			<-ctx.Done()
			close(cancelled)
		})
		c := dial(server.Address())
		c.send(getRequest("/a"))
		_ = c.Close()
		gomega.Eventually(cancelled, "300ms").Should(gomega.BeClosed())
	})

	ginkgo.It("does not let an unfinished stream pass for a whole one", func() {
		c := dial(startServer(func(_ context.Context, exchange *httpconn.Exchange) {
			exchange.StartStream(http.StatusOK, nil)
			_ = exchange.WriteChunk([]byte("part"))
		}).Address())
		c.send(getRequest("/a"))
		response, err := http.ReadResponse(c.reader, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(response.Body)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against bytes of a body after a response that has none. The caller would take them
	// for the next response of the connection.
	ginkgo.DescribeTable("writes no chunks in a response without a body", func(method string, status int) {
		c := dial(startServer(func(_ context.Context, exchange *httpconn.Exchange) {
			exchange.StartStream(status, nil)
			_ = exchange.WriteChunk([]byte("event"))
			_ = exchange.EndStream([]byte("rest"))
		}).Address())
		for range 2 {
			c.send(method + " /a HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(status))
			gomega.Expect(io.ReadAll(response.Body)).To(gomega.BeEmpty())
		}
	},
		ginkgo.Entry("to a HEAD request", http.MethodHead, http.StatusOK),
		ginkgo.Entry("with status 204", http.MethodGet, http.StatusNoContent),
	)

	// Guards against a Drain after which the server closes an open connection without
	// answering its next request, although an earlier response has announced that the
	// connection stays open. Also guards against a Stop that never returns because of
	// such a connection.
	ginkgo.It("closes waiting connections when it drains, and answers those that have asked", func() {
		release := make(chan struct{})
		server := startServer(func(ctx context.Context, exchange *httpconn.Exchange) {
			if exchange.Request().RequestURI == "/slow" {
				<-release
			}
			echo(ctx, exchange)
		})
		idle, unused, busy := dial(server.Address()), dial(server.Address()), dial(server.Address())
		idle.send(getRequest("/a"))
		idle.receive()
		busy.send(getRequest("/slow"))
		time.Sleep(50 * time.Millisecond)
		server.Drain()
		_, err := idle.reader.ReadByte()
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		close(release)
		for _, c := range []*testClient{unused, busy} {
			if c == unused {
				c.send(getRequest("/b"))
			}
			response, _ := c.receive()
			gomega.Expect(response.Close).To(gomega.BeTrue())
		}
		start := time.Now()
		server.Stop(context.Background())
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("rejects a request that takes too long", func() {
		server := startServer(echo)
		limits := httpconn.DefaultLimits()
		limits.HeaderTimeout = 100
		server.SetLimits(limits)
		c := dial(server.Address())
		c.send("GET /slow HTTP/1.1\r\n")
		response, _ := c.receive()
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	})
})

// startUpstream starts a TCP server that calls script for each connection and closes
// the connection when script returns. accepted is the number of accepted connections.
func startUpstream(script func(conn net.Conn, reader *bufio.Reader)) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

func getCall(address, id string) *httpconn.Call {
	return &httpconn.Call{
		Address: address, Method: http.MethodGet, Head: []byte(getRequest("/" + id)),
		AcceptResponse: func(header http.Header) bool { return header.Get("Id") == id },
	}
}

// uploadCall returns a call with the identifier 1 and a body of bodyBytes.
func uploadCall(address, method string, bodyBytes int) *httpconn.Call {
	call := getCall(address, "1")
	call.Method, call.Body = method, [][]byte{make([]byte, bodyBytes)}
	call.Head = fmt.Appendf(nil, "%s /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", method, bodyBytes)
	return call
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func readBody(response *httpconn.Response) string {
	body, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(body)
}

var _ = ginkgo.Describe("Client", func() {
	client := func() *httpconn.Client { return httpconn.NewClient(clock.System()) }

	ginkgo.It("keeps a connection for the next call", func() {
		address, accepted := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, responseText(strings.TrimPrefix(request.RequestURI, "/"), "x"))
			}
		})
		c := client()
		for i := range 5 {
			response, err := c.Do(context.Background(), getCall(address, fmt.Sprint(i)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(readBody(response)).To(gomega.Equal("x"))
		}
		gomega.Expect(accepted.Load()).To(gomega.Equal(int64(1)))
	})

	ginkgo.It("drops answers to other requests", func() {
		address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, responseText("other", "not mine")+responseText("1", "mine"))
			_, _ = reader.ReadByte()
		})
		response, err := client().Do(context.Background(), getCall(address, "1"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(readBody(response)).To(gomega.Equal("mine"))
	})

	// Guards against an endpoint that sends header fields, interim responses or bodies
	// of other requests without end and fills the memory or the time of its caller.
	ginkgo.DescribeTable("fails soon on a response whose head does not end", func(opening, repeated string) {
		address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, err := io.WriteString(conn, opening)
			for err == nil {
				_, err = io.WriteString(conn, repeated)
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := client().Do(ctx, getCall(address, "1"))
		gomega.Expect(err).To(gomega.MatchError(httpconn.ErrNoResponse))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("exceeds")))
	},
		ginkgo.Entry("of header fields", "HTTP/1.1 200 OK\r\n", "Noise: "+strings.Repeat("x", 4096)+"\r\n"),
		ginkgo.Entry("of one line", "HTTP/1.1 200 OK\r\nNoise: ", strings.Repeat("x", 4096)),
		ginkgo.Entry("of interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		ginkgo.Entry("of a body for another request", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
	)

	// Guards against an answer whose head is cut off and that the caller gets as a complete
	// answer, with an empty or short body.
	ginkgo.It("fails on a response whose head is cut off anywhere", func() {
		head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nSeal: s\r\n\r\n"
		for end := range len(head) {
			address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, head[:end])
			})
			_, err := client().Do(context.Background(), getCall(address, "1"))
			gomega.Expect(err).To(gomega.MatchError(httpconn.ErrNoResponse), "%q", head[:end])
		}
	})

	// Guards against an operator who cannot tell an endpoint that sends invalid responses from
	// one that closes its connections.
	ginkgo.DescribeTable("tells an invalid response from none", func(head string, invalid bool) {
		address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, head)
		})
		_, err := client().Do(context.Background(), getCall(address, "1"))
		gomega.Expect(err).To(gomega.MatchError(httpconn.ErrNoResponse))
		gomega.Expect(errors.Is(err, httpconn.ErrInvalidResponse)).To(gomega.Equal(invalid), "%v", err)
	},
		ginkgo.Entry("with an invalid status", "HTTP/1.1 000 Odd\r\n\r\n", true),
		ginkgo.Entry("with a line feed alone after the status", "HTTP/1.1 200 OK\nId: 1\r\nContent-Length: 0\r\n\r\n", true),
		ginkgo.Entry("of another major version", "HTTP/2.0 200 OK\r\n\r\n", true),
		ginkgo.Entry("with an invalid field name", "HTTP/1.1 200 OK\r\nOd d: 1\r\n\r\n", true),
		ginkgo.Entry("with an invalid field value", "HTTP/1.1 200 OK\r\nOdd: \x01\r\n\r\n", true),
		ginkgo.Entry("with an invalid length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", true),
		ginkgo.Entry("that is cut off", "HTTP/1.1 200 OK\r\nOdd", false),
		ginkgo.Entry("that is empty", "", false),
	)

	ginkgo.It("does not use a connection with bytes that nobody asked for", func() {
		address, accepted := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := strings.TrimPrefix(request.RequestURI, "/")
			_, _ = io.WriteString(conn, responseText(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, responseText("2", "stale"))
			_, _ = reader.ReadByte()
		})
		c := client()
		for _, id := range []string{"1", "2"} {
			response, err := c.Do(context.Background(), getCall(address, id))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(readBody(response)).To(gomega.Equal("x"))
			time.Sleep(60 * time.Millisecond)
		}
		gomega.Expect(accepted.Load()).To(gomega.Equal(int64(2)))
	})

	// Guards against the reuse of a connection whose peer has responded before it
	// has read the whole body. The peer would read the start of the next request as the
	// rest of that body.
	ginkgo.It("does not keep a connection whose request was not written whole", func() {
		address, accepted := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseText(strings.TrimPrefix(request.RequestURI, "/"), "early"))
			time.Sleep(200 * time.Millisecond)
		})
		c := client()
		for _, id := range []string{"1", "2"} {
			long := getCall(address, id)
			long.Method, long.Body = http.MethodPost, [][]byte{make([]byte, 8<<20)}
			long.Head = fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", id, len(long.Body[0]))
			response, err := c.Do(context.Background(), long)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(readBody(response)).To(gomega.Equal("early"))
		}
		gomega.Expect(accepted.Load()).To(gomega.Equal(int64(2)))
	})

	ginkgo.It("tells a request that was not sent from one that may have been received", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		closedAddress := listener.Addr().String()
		_ = listener.Close()
		_, err = client().Do(context.Background(), getCall(closedAddress, "1"))
		gomega.Expect(errors.Is(err, httpconn.ErrNotSent)).To(gomega.BeTrue())

		address, _ := startUpstream(func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) })
		_, err = client().Do(context.Background(), getCall(address, "1"))
		gomega.Expect(errors.Is(err, httpconn.ErrNoResponse)).To(gomega.BeTrue())
	})

	ginkgo.It("breaks the connection when its context ends", func() {
		closed := make(chan struct{})
		address, _ := startUpstream(func(_ net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = reader.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := client().Do(ctx, getCall(address, "1"))
		gomega.Expect(errors.Is(err, httpconn.ErrNoResponse)).To(gomega.BeTrue())
		gomega.Eventually(closed, "500ms").Should(gomega.BeClosed())
	})
})
