package standin

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// ServiceFaults are the fault settings of a plain service.
type ServiceFaults struct {
	// SlowMs is the delay of every response.
	SlowMs clock.Millis `json:"slowMs"`
	// Hang delays the response to each request by hangDuration. The request is counted
	// as executed at once. DropAnswers then has no effect.
	Hang bool `json:"hang"`
	// DropAnswers closes the connection without a response after the request has
	// run.
	DropAnswers bool `json:"dropAnswers"`
}

// ServiceStats holds the counters of a plain service.
type ServiceStats struct {
	// Executions holds the number of executions of each call, by call identifier.
	Executions map[string]int `json:"executions"`
	// KeysSeen counts requests that contained a caller's key.
	KeysSeen int `json:"keysSeen"`
}

// Service simulates a plain service. It does not deduplicate calls, so that a call that
// the system sends twice has two executions in the counters.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	stats  ServiceStats
}

// NewService returns a service without faults.
func NewService() *Service {
	return &Service{stats: ServiceStats{Executions: map[string]int{}}}
}

// Faults returns the current fault settings.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stats returns a copy of the counters.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := ServiceStats{KeysSeen: s.stats.KeysSeen, Executions: map[string]int{}}
	for call, count := range s.stats.Executions {
		stats.Executions[call] = count
	}
	return stats
}

// ServeService serves the service over HTTP. The control port serves the fault
// settings at / and the counters at /stats.
func ServeService(service *Service, address, control string) (*Server, error) {
	faults := controlHandler(service.Faults, service.SetFaults)
	return Serve(address, control, service.handle, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/stats" {
			reply(ctx, service.Stats())
			return
		}
		faults(ctx)
	})
}

// hangDuration is the delay of responses with ServiceFaults.Hang. It is longer than the
// timeout of any caller.
const hangDuration = 10 * time.Minute

// handle counts an execution and responds with a description of the request, according to
// the fault settings.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	call := string(ctx.Request.Header.Peek(adapters.HeaderCall))
	correlation := string(ctx.Request.Header.Peek(adapters.HeaderCorrelation))
	s.mu.Lock()
	s.stats.Executions[call]++
	if containsKey(ctx) {
		s.stats.KeysSeen++
	}
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Hang:
		time.Sleep(hangDuration)
	case faults.DropAnswers:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	time.Sleep(faults.SlowMs.Duration())
	ctx.Response.Header.Set(adapters.HeaderCorrelation, correlation)
	reply(ctx, serviceAnswer{Call: call, Path: string(ctx.Path()), Bytes: len(ctx.PostBody())})
}

// serviceAnswer is the response to a call: its identifier, and the path and the body length
// in bytes of the request.
type serviceAnswer struct {
	Call  string `json:"call"`
	Path  string `json:"path"`
	Bytes int    `json:"bytes"`
}

// keyPrefix is the prefix of the API key of every caller.
const keyPrefix = "bsk_"

// containsKey reports whether the headers or the body of a request contain the API key
// of a caller. The system must not pass keys on to endpoints.
func containsKey(ctx *fasthttp.RequestCtx) bool {
	return strings.Contains(ctx.Request.Header.String(), keyPrefix) ||
		strings.Contains(string(ctx.PostBody()), keyPrefix)
}
