package adapters_test

import (
	"context"
	"io"
	"net"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("An answer without a length to an upload, whose connection is reset", func() {
	const (
		uploadBytes = 3 << 20
		answers     = 20
		head        = "HTTP/1.1 200 OK\r\n" + adapters.HeaderCorrelation + ": c1\r\nConnection: close\r\n\r\n"
	)
	upload := strings.Repeat("x", uploadBytes)

	// startServer starts a server that answers uploads with body before it reads them, and
	// resets the connection.
	startServer := func(body string) (address string) {
		server, err := standin.NewUpstream("e1", nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		server.SetEarlyAnswer(uploadBytes, func(conn *net.TCPConn, _ standin.UpstreamRequest, _ io.Reader) {
			_, _ = io.WriteString(conn, head+body)
			standin.Reset(conn)
		})
		return server.Address()
	}

	// Guards against a part of an answer that counts as the whole one, and against a call that
	// counts as one that did not run.
	ginkgo.DescribeTable("is no answer", func(body string, call func(ctx context.Context, address string) error) {
		address := startServer(body)
		for range answers {
			err := call(context.Background(), address)
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(err).NotTo(gomega.Or(gomega.MatchError(spool.ErrNotSent), gomega.MatchError(spool.ErrRejected), gomega.MatchError(spool.ErrLogUnavailable)))
		}
	},
		ginkgo.Entry("of a service", "part", func(ctx context.Context, address string) error {
			_, err := adapters.NewService(address).Call(ctx, spool.ServiceCall{Correlation: "c1", Method: "POST", Path: "/payouts", Body: []byte(upload)})
			return err
		}),
		ginkgo.Entry("of an engine", "data: {\"result\":{\"text\":\"part\"}}\n\n", func(ctx context.Context, address string) error {
			_, err := adapters.NewEngine(address).Generate(ctx, spool.EngineCall{Correlation: "c1", Model: spool.ModelName(upload)}, func(spool.Chunk) error { return nil })
			return err
		}),
		ginkgo.Entry("of the log", "{}", func(ctx context.Context, address string) error {
			_, err := adapters.NewLog(address).Append(ctx, "s", spool.Batch{ID: upload})
			return err
		}),
	)
})
