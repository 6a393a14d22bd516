// Package standin simulates the services of the platform: the log, the list of
// VMs, the topic store, model engines, plain services and endpoints behind
// gateways. The simulated services implement the protocols that package platform
// expects, model only the behaviour that affects the system's decisions, and can
// inject faults. Only cmd/standin, the measurement programs and tests use them.
package standin

import (
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxRequestBody bounds the body of a request, in bytes.
const maxRequestBody = 64 << 20

// Server is a running stand-in with a service port and, optionally, a control
// port.
type Server struct {
	service net.Listener
	control net.Listener
	servers []*fasthttp.Server
}

// Serve starts a stand-in. handler serves the requests at address, and controlHandler
// those at control, unless control is empty. Port 0 picks a free port.
func Serve(address, control string, handler, controlHandler fasthttp.RequestHandler) (server *Server, err error) {
	defer func() { err = errors.Wrap(err, "start stand-in") }()
	server = &Server{}
	if server.service, err = server.listen(address, handler); err != nil {
		return nil, err
	}
	if control == "" {
		return server, nil
	}
	if server.control, err = server.listen(control, controlHandler); err != nil {
		server.Close()
		return nil, err
	}
	return server, nil
}

// listen starts an HTTP server with the handler.
func (s *Server) listen(address string, handler fasthttp.RequestHandler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxRequestBody, NoDefaultServerHeader: true}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener, nil
}

// Address returns the host:port of the service.
func (s *Server) Address() string { return s.service.Addr().String() }

// ControlAddress returns the host:port of the control port, or "".
func (s *Server) ControlAddress() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// Close closes the listeners. Connections that are already open stay open.
func (s *Server) Close() {
	if s.service != nil {
		_ = s.service.Close()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
}

// controlHandler returns a handler that responds with the value of get as JSON. On POST,
// it first decodes the JSON body over this value and passes the result to set. Fields
// that are absent from the body keep their value.
func controlHandler[T any](get func() T, set func(T)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		value := get()
		if ctx.IsPost() {
			if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			set(value)
		}
		reply(ctx, value)
	}
}

// reply responds with value as JSON.
func reply(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
