// Package standin holds small stand-ins for the platform: the log service, the
// list of VMs, model engines and plain services. They speak the protocols that
// package platform expects, model only what the system's decisions can see, and
// have switches for their faults. Only cmd/standin, the demo and tests use it.
package standin

import (
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxRequestBody bounds what a stand-in accepts.
const maxRequestBody = 64 << 20

// Server is a running stand-in with its service port and its control port.
type Server struct {
	service net.Listener
	control net.Listener
	servers []*fasthttp.Server
}

// Serve starts a stand-in. address is where the service listens; control, which
// may be empty, is where the fault switches listen. An empty port picks a free
// one.
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

// ControlAddress returns the host:port of the fault switches, or "".
func (s *Server) ControlAddress() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// Close stops listening at once.
func (s *Server) Close() {
	if s.service != nil {
		_ = s.service.Close()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
}

// switches returns a handler that shows a value of type T on GET and sets it
// from the JSON body on POST; fields that are not in the body keep their value.
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

func reply(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
