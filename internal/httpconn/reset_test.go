package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

var _ = ginkgo.Describe("A response that ends with its connection while the request is written", func() {
	const (
		uploadBytes  = 8 << 20
		closingHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"
		responseBody = "body"
		// settleTime is the time in which both sides notice the end of a connection.
		settleTime = 50 * time.Millisecond
		// silentTime is the time in which a silent peer is noticed.
		silentTime = 5 * time.Second
		// promptly is the time within which a response is read that has ended.
		promptly = time.Second
	)

	// respond starts an upstream that reads the head of one request, sends text and ends the
	// connection with end. It returns what the client gets if it reads the body only after the
	// write of the request has noticed how the connection has ended.
	respond := func(method string, requestBytes int, text string, end func(conn *net.TCPConn, rest io.Reader)) (body string, err error) {
		ended, finished := make(chan struct{}), make(chan struct{})
		defer close(finished)
		address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, text)
			time.Sleep(settleTime)
			end(conn.(*net.TCPConn), reader)
			close(ended)
			<-finished
		})
		response, err := httpconn.NewClient(clock.System()).Do(context.Background(), uploadCall(address, method, requestBytes))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		<-ended
		time.Sleep(settleTime)
		begun := time.Now()
		// A read that never ends must fail the check below and not hang.
		response.SetReadDeadline(begun.Add(2 * promptly))
		data, err := io.ReadAll(response.Body)
		response.Close(err == nil)
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", promptly))
		return string(data), err
	}
	reset := func(conn *net.TCPConn, _ io.Reader) { standin.Reset(conn) }
	closeUnread := func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }
	closeWrite := func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite() }

	// Guards against a part of a response that passes for the whole one. The kernel reports a
	// reset once. If the write of the request gets it, the read sees the end of the response.
	ginkgo.DescribeTable("is incomplete if the connection fails", func(requestBytes int, end func(*net.TCPConn, io.Reader)) {
		body, err := respond(http.MethodPost, requestBytes, closingHead+responseBody, end)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal(responseBody))
	},
		ginkgo.Entry("with a reset during the write", uploadBytes, reset),
		ginkgo.Entry("with a reset during the write, because bytes of the request are unread", uploadBytes, closeUnread),
		ginkgo.Entry("with a reset during the write, after a part of the request was read", uploadBytes, func(conn *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, uploadBytes/4)
			reset(conn, rest)
		}),
		ginkgo.Entry("with a reset after the write", 1, reset),
		ginkgo.Entry("with a timeout, because the peer has fallen silent", uploadBytes, func(conn *net.TCPConn, _ io.Reader) {
			fallSilent(conn)
			time.Sleep(silentTime)
		}),
		ginkgo.Entry("with a timeout, because the peer has fallen silent while it read", uploadBytes, func(conn *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, uploadBytes/4)
			go func() { _, _ = io.Copy(io.Discard, rest) }()
			fallSilent(conn)
			time.Sleep(silentTime)
		}),
	)

	// Guards against a complete response that is taken for a broken one, or read only once the
	// request has been written. The peer ends it and need not read the rest of the request.
	ginkgo.DescribeTable("is complete if the peer has ended it", func(requestBytes int, end func(*net.TCPConn, io.Reader)) {
		body, err := respond(http.MethodPost, requestBytes, closingHead+responseBody, end)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal(responseBody))
	},
		ginkgo.Entry("and reads the rest of the request", uploadBytes, func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, rest) }()
		}),
		ginkgo.Entry("and does not read on", uploadBytes, closeWrite),
		ginkgo.Entry("and resets the connection later", uploadBytes, func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(settleTime)
			reset(conn, rest)
		}),
		ginkgo.Entry("after the write", 1, closeWrite),
	)

	// Guards against a complete response that is taken for a broken one, because the connection
	// fails after it.
	ginkgo.It("is complete if its head tells where it ends, whatever happens to the connection", func() {
		body, err := respond(http.MethodPost, uploadBytes, responseText("1", responseBody), reset)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal(responseBody))
		_, err = respond(http.MethodHead, uploadBytes, closingHead, reset)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
})
