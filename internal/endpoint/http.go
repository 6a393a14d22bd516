package endpoint

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
)

// Timeouts of the HTTP server. httpTimeout bounds the reading of a request and the
// writing of a response. httpIdleTimeout bounds the time between two requests on a
// connection. httpShutdownTimeout is explained at stopHTTP.
const (
	httpTimeout         = 5 * clock.Second
	httpIdleTimeout     = 30 * clock.Second
	httpShutdownTimeout = 200 * clock.Millis(1)
)

// registerGauges registers metrics for the concurrency limit and the numbers of
// running and queued calls. They are 0 until the kernel has processed a message.
func (a *Agent) registerGauges() error {
	for name, read := range map[string]func(gatekeeper.Status) int{
		"baobabspool_window":  func(s gatekeeper.Status) int { return s.Window },
		"baobabspool_running": func(s gatekeeper.Status) int { return s.Running },
		"baobabspool_queued":  func(s gatekeeper.Status) int { return s.Queued },
	} {
		err := a.telemetry.RegisterGauge(name, func() int64 {
			status := a.status.Load()
			if status == nil {
				return 0
			}
			return int64(read(*status))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP starts the HTTP server for /metrics, /healthz and /readyz, unless
// Config.HTTPListen is empty.
func (a *Agent) serveHTTP() (err error) {
	defer func() { err = errors.Wrap(err, "listen for HTTP") }()
	if a.config.HTTPListen == "" {
		return nil
	}
	a.httpListener, err = net.Listen("tcp", a.config.HTTPListen)
	if err != nil {
		return err
	}
	a.httpServer = &fasthttp.Server{
		Handler:               a.handleHTTP,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ReadTimeout:           httpTimeout.Duration(),
		WriteTimeout:          httpTimeout.Duration(),
		IdleTimeout:           httpIdleTimeout.Duration(),
	}
	a.background.Go(func() { _ = a.httpServer.Serve(a.httpListener) })
	return nil
}

// stopHTTP shuts the HTTP server down. It closes the listener explicitly, because
// fasthttp's Shutdown has no effect before Serve has begun. It waits at most
// httpShutdownTimeout for open connections, because clients may leave keep-alive
// connections open.
func (a *Agent) stopHTTP() {
	if a.httpServer == nil {
		return
	}
	_ = a.httpListener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout.Duration())
	defer cancel()
	_ = a.httpServer.ShutdownWithContext(ctx)
}

func (a *Agent) handleHTTP(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		a.telemetry.Handler()(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		a.handleReady(ctx)
	default:
		ctx.Error("not found\n", fasthttp.StatusNotFound)
	}
}

// handleReady answers 200 while the agent admits calls and the endpoint is
// reachable, and 503 while it drains, before the kernel's first status, or after the
// engine has failed to answer the latest load request.
func (a *Agent) handleReady(ctx *fasthttp.RequestCtx) {
	status := a.status.Load()
	switch {
	case status == nil || !a.reachable.Load():
		ctx.Error("endpoint has not answered\n", fasthttp.StatusServiceUnavailable)
	case status.Draining:
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}
