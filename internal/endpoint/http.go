package endpoint

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
)

// registerGauges exposes the agent's state as metrics.
func (a *Agent) registerGauges() error {
	for name, read := range map[string]func(gatekeeper.Status) int{
		"baobabspool_window":  func(s gatekeeper.Status) int { return s.Window },
		"baobabspool_running": func(s gatekeeper.Status) int { return s.Running },
		"baobabspool_queued":  func(s gatekeeper.Status) int { return s.Queued },
	} {
		err := a.telemetry.Gauge(name, func() int64 {
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

// serveHTTP listens for /metrics, /healthz and /readyz.
func (a *Agent) serveHTTP() (err error) {
	defer func() { err = errors.Wrap(err, "listen for HTTP") }()
	if a.config.HTTPListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", a.config.HTTPListen)
	if err != nil {
		return err
	}
	a.httpAddress = listener.Addr().String()
	a.http = &fasthttp.Server{Handler: a.handleHTTP, NoDefaultServerHeader: true}
	a.goroutines.Go(func() { _ = a.http.Serve(listener) })
	return nil
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

// handleReady answers 200 while new calls can be served.
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
