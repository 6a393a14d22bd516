package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/telemetry"
)

// MetricsPath is the path of the metrics on the address ReadyListen. Every other path
// on that address answers the readiness check.
const MetricsPath = "/metrics"

// readyIdleTimeout is how long a connection without a request stays open.
const readyIdleTimeout = 30 * time.Second

// readyStopTimeout bounds how long stop waits for open connections.
const readyStopTimeout = 50 * time.Millisecond

// readyServer answers the readiness checks of the balancer and serves the metrics.
type readyServer struct {
	server *fasthttp.Server
	done   chan error
}

// newReadyServer starts the server. A readiness check is answered with 200 if ready
// returns true, and with 503 otherwise.
func newReadyServer(address string, ready func() bool, t *telemetry.Telemetry) (server *readyServer, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", address) }()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	metrics := t.Handler()
	handler := func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) == MetricsPath:
			metrics(ctx)
		case ready():
			ctx.SetStatusCode(fasthttp.StatusOK)
		default:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	server = &readyServer{
		server: &fasthttp.Server{Handler: handler, IdleTimeout: readyIdleTimeout, NoDefaultServerHeader: true},
		done:   make(chan error, 1),
	}
	go func() { server.done <- server.server.Serve(listener) }()
	return server, nil
}

// stop closes the listener. It does not wait longer than readyStopTimeout for
// connections that the balancer or a reader of the metrics keeps open; those end with
// the process.
func (s *readyServer) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyStopTimeout)
	defer cancel()
	err := s.server.ShutdownWithContext(ctx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return <-s.done
}
