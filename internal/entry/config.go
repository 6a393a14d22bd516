package entry

import (
	"crypto/tls"

	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ErrConfig is returned for an invalid configuration.
var ErrConfig = errors.New("configuration is not valid")

// Config holds the settings of an entry process.
type Config struct {
	// Node is the unique name of the process.
	Node spool.NodeID
	// FailureDomain is the failure domain that the process runs in.
	FailureDomain spool.FailureDomain
	// HTTPAddress and WireAddress are the host:port pairs to listen on.
	HTTPAddress string
	WireAddress string
	// Streams is the number of program streams of the deployment, K.
	Streams int
	// MaxConnections is the maximum number of HTTP connections.
	MaxConnections int
	// MaxConnectionsPerIP is the maximum per client address; 0 for no limit.
	MaxConnectionsPerIP int
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of an HTTP request.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// MaxCalls is the maximum number of calls in flight, waiting ones included.
	MaxCalls int
	// IdleTimeout is the time after which a connection is closed that carries no
	// request, or whose caller does not read the answer. ReadTimeout is the time
	// within which a request must have been received.
	IdleTimeout clock.Millis
	ReadTimeout clock.Millis
	// HeartbeatEvery is the interval of heartbeat comments on an event stream. A
	// failed write of one shows that the caller has disconnected.
	HeartbeatEvery clock.Millis
	// RenewEvery is the interval at which lease renewals, idle programs and
	// in-doubt calls are checked. StatusEvery is the interval at which load
	// reports are requested.
	RenewEvery  clock.Millis
	StatusEvery clock.Millis
	// StatusPolls is the maximum number of endpoints polled per interval; those
	// with the oldest reports come first. Endpoints in use also report their load
	// with the answer to each call.
	StatusPolls int
	// ForwardFor is the maximum time for which an operation is repeated while the
	// owner of its program changes or is unknown.
	ForwardFor clock.Millis
	// LameDuckFor is the delay at shutdown between /readyz reporting failure and
	// closing the listener, so that load balancers stop sending requests first.
	LameDuckFor clock.Millis
	// ForgetAfter is the time for which ended programs are kept.
	ForgetAfter clock.Millis
	// Seed seeds the random number generators of the policies.
	Seed uint64
}

// DefaultConfig holds the default settings. Node and FailureDomain have none.
var DefaultConfig = Config{
	HTTPAddress: "127.0.0.1:0", WireAddress: "127.0.0.1:0", Streams: 8,
	MaxConnections: 16384, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, MaxCalls: 4096,
	IdleTimeout: 60 * clock.Second, ReadTimeout: 10 * clock.Second, HeartbeatEvery: 500,
	RenewEvery: 2 * clock.Second, StatusEvery: clock.Second, StatusPolls: 32, ForwardFor: 15 * clock.Second,
	ForgetAfter: 10 * clock.Minute, Seed: 1,
}

// Validate returns all errors of the configuration, combined into one.
func (c Config) Validate() (err error) {
	check := func(ok bool, message string) {
		if !ok {
			err = multierr.Append(err, errors.Wrap(ErrConfig, message))
		}
	}
	check(c.Node != "", "node is empty")
	check(c.FailureDomain != "", "failureDomain is empty")
	check(c.HTTPAddress != "", "httpAddress is empty")
	check(c.WireAddress != "", "wireAddress is empty")
	for name, number := range map[string]int{
		"streams": c.Streams, "maxConnections": c.MaxConnections, "maxHeaderBytes": c.MaxHeaderBytes,
		"maxBodyBytes": c.MaxBodyBytes, "maxCalls": c.MaxCalls, "statusPolls": c.StatusPolls,
	} {
		check(number > 0, name+" must be above 0")
	}
	for name, number := range map[string]clock.Millis{
		"idleTimeout": c.IdleTimeout, "readTimeout": c.ReadTimeout, "heartbeatEvery": c.HeartbeatEvery,
		"renewEvery": c.RenewEvery, "statusEvery": c.StatusEvery, "forwardFor": c.ForwardFor, "forgetAfter": c.ForgetAfter,
	} {
		check(number > 0, name+" must be above 0")
	}
	check(c.MaxConnectionsPerIP >= 0, "maxConnectionsPerIP must not be below 0")
	check(c.LameDuckFor >= 0, "lameDuckFor must not be below 0")
	return err
}

// Option configures an optional part of an entry.
type Option func(*Entry)

// WithClock sets the clock; the system clock is the default.
func WithClock(source clock.Clock) Option { return func(e *Entry) { e.clock = source } }

// WithTelemetry sets the metrics and the logger.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(e *Entry) { e.telemetry = t } }

// WithClients sets the clients for calls to other processes.
func WithClients(clients *wire.Clients) Option { return func(e *Entry) { e.clients = clients } }

// WithTLS sets the TLS configurations of the HTTP server and of the wire
// server; nil disables TLS.
func WithTLS(httpTLS, wireTLS *tls.Config) Option {
	return func(e *Entry) { e.httpTLS, e.wireTLS = httpTLS, wireTLS }
}

// WithHandlers registers further methods on the wire server.
func WithHandlers(mux wire.Mux) Option {
	return func(e *Entry) {
		for method, handler := range mux {
			e.extraHandlers[method] = handler
		}
	}
}

// WithProgramLimits sets the limits on the program state that callers can create.
func WithProgramLimits(limits program.Limits) Option {
	return func(e *Entry) { e.programLimits = limits }
}
