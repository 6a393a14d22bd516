package adapters_test

import (
	"context"
	"io"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// startBrokenServer starts a server that answers each request with the given head and a body,
// and closes the connection.
func startBrokenServer(head, body string) (address string) {
	server, err := standin.NewUpstream("e1", func(conn io.Writer, _ standin.UpstreamRequest) bool {
		_, _ = io.WriteString(conn, head+body)
		return false
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Close)
	return server.Address()
}

// headOf returns a head with a status line and a further line, which need not be valid.
func headOf(statusLine, line string) string {
	return statusLine + "\r\n" + adapters.HeaderCorrelation + ": c1\r\n" + line + "Transfer-Encoding: chunked\r\n\r\n"
}

var _ = ginkgo.Describe("An answer with a broken head", func() {
	const (
		stream = "24\r\ndata: {\"result\":{\"text\":\"broken\"}}\n\n\r\n0\r\n\r\n"
		object = "2\r\n{}\r\n0\r\n\r\n"
	)

	// expectNoAnswer expects that each kind of call fails, and not like one that did not run.
	expectNoAnswer := func(head, stream, object string) {
		ctx := context.Background()
		_, generateErr := adapters.NewEngine(startBrokenServer(head, stream)).Generate(ctx, spool.EngineCall{Correlation: "c1"}, func(spool.Chunk) error { return nil })
		address := startBrokenServer(head, object)
		_, serviceErr := adapters.NewService(address).Call(ctx, spool.ServiceCall{Correlation: "c1", Method: "POST", Path: "/payouts"})
		_, loadErr := adapters.NewEngine(address).Load(ctx)
		orderErr := adapters.NewEngine(address).Order(ctx, spool.EngineOrder{Fence: 1})
		_, appendErr := adapters.NewLog(address).Append(ctx, "s", spool.Batch{ID: "a"})
		for _, err := range []error{generateErr, serviceErr, loadErr, orderErr, appendErr} {
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(err).NotTo(gomega.Or(gomega.MatchError(spool.ErrNotSent), gomega.MatchError(spool.ErrRejected), gomega.MatchError(spool.ErrLogUnavailable)))
		}
	}

	// Guards against an answer that is not valid HTTP and that counts as one of the endpoint: as
	// a success, or as a refusal, after which the call would be repeated elsewhere.
	ginkgo.DescribeTable("is no answer of an engine, a service or the log", func(head string) {
		expectNoAnswer(head, stream, object)
	},
		ginkgo.Entry("with the status zero", headOf("HTTP/1.1 000 Odd", "")),
		ginkgo.Entry("with a status below the least", headOf("HTTP/1.1 042 Odd", "")),
		ginkgo.Entry("with a status above the most", headOf("HTTP/1.1 600 Odd", "")),
		ginkgo.Entry("with a blank in the name of a field", headOf("HTTP/1.1 200 OK", "X-Od d: 1\r\n")),
		ginkgo.Entry("with a blank before the colon of a field", headOf("HTTP/1.1 200 OK", "X-Odd : 1\r\n")),
		ginkgo.Entry("with a blank at the start of a field", headOf("HTTP/1.1 200 OK", " X-Odd: 1\r\n")),
		ginkgo.Entry("with a control byte in the name of a field", headOf("HTTP/1.1 200 OK", "X-Od\x01d: 1\r\n")),
		ginkgo.Entry("with a line feed at the start of a field", headOf("HTTP/1.1 200 OK", "\nX-Odd: 1\r\n")),
		ginkgo.Entry("that refuses the call", headOf("HTTP/1.1 503 Busy", "X-Od d: 1\r\n")),
	)

	ginkgo.It("is no answer if it is cut off anywhere", func() {
		head := headOf("HTTP/1.1 200 OK", "")
		for end := range len(head) {
			expectNoAnswer(head[:end], "", "")
		}
	})
})
