package adapters

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// HTTP headers of a call to a plain service.
const (
	// HeaderCorrelation contains the correlation id of the dispatch. The service must
	// repeat it in its response.
	HeaderCorrelation = "X-Correlation-Id"
	// HeaderCall contains the identifier of the call, which is the same in each
	// dispatch of the call.
	HeaderCall = "X-Call-Id"
)

// ErrCorrelationMismatch means that a response does not have the correlation id of the
// request.
var ErrCorrelationMismatch = errors.New("answer belongs to another call")

// Service is an HTTP client for one plain service.
type Service struct {
	transport *transport
}

var _ spool.Service = (*Service)(nil)

// NewService returns a client for the service at address, a host:port.
func NewService(address string) *Service { return &Service{transport: newTransport(address)} }

// Call sends a request at most once, on a new connection, and returns the response,
// whatever its HTTP status is. The error wraps spool.ErrNotSent if no connection could
// be opened, and ErrCorrelationMismatch if the response has another correlation id. If
// ctx ends after the connection was opened, the error wraps the cause of ctx.
func (s *Service) Call(ctx context.Context, call spool.ServiceCall) (result spool.ServiceResult, err error) {
	defer func() { err = errors.Wrap(err, "call service") }()
	request := s.transport.newRequest(call.Method, call.Path, call.Body)
	defer fasthttp.ReleaseRequest(request)
	request.Header.Set(HeaderCorrelation, call.Correlation)
	request.Header.Set(HeaderCall, call.Call)
	c, err := s.transport.dial(ctx)
	if err != nil {
		return result, err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	response, err := c.exchange(request)
	if err != nil {
		return result, contextCause(ctx, err)
	}
	body, err := readBody(response)
	if err != nil {
		return result, contextCause(ctx, err)
	}
	if response.Header.Get(HeaderCorrelation) != call.Correlation {
		return result, ErrCorrelationMismatch
	}
	return spool.ServiceResult{Correlation: call.Correlation, Status: response.StatusCode, Body: body}, nil
}
