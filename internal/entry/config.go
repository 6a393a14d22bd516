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

// Config holds the settings of an entry process. They are fixed while it runs.
type Config struct {
	// Node is the unique name of the process.
	Node spool.NodeID
	// FailureDomain is the failure domain that the process runs in.
	FailureDomain spool.FailureDomain
	// HTTPAddress and WireAddress are the host:port pairs to listen on.
	HTTPAddress string
	WireAddress string
	// Streams is the number of program streams of the deployment, K. It must be the
	// same at all entries, because it determines the stream of a program.
	Streams int
	// MaxConnections is the maximum number of simultaneous HTTP connections.
	MaxConnections int
	// MaxConnectionsPerIP is the maximum number of simultaneous HTTP connections
	// from one IP address; 0 for no limit.
	MaxConnectionsPerIP int
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of the header and of
	// the body of an HTTP request.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// MaxCalls is the maximum number of calls that run or wait at this entry as the
	// owner of their programs. Further calls are refused with CodeOverloaded.
	MaxCalls int
	// IdleTimeout is the time after which an HTTP connection is closed if the
	// caller sends no request on it or does not read the answer. ReadTimeout is
	// the time within which a request must have been received completely.
	IdleTimeout clock.Millis
	ReadTimeout clock.Millis
	// HeartbeatEvery is the interval of heartbeat comments in a streamed answer. If
	// the write of a heartbeat fails, the caller has disconnected.
	HeartbeatEvery clock.Millis
	// RenewEvery is the interval at which the entry checks for idle programs,
	// in-doubt calls, leases to renew and memory of ended programs to free.
	// StatusEvery is the interval at which it requests load reports.
	RenewEvery  clock.Millis
	StatusEvery clock.Millis
	// StatusPolls is the maximum number of endpoints that are polled for a load
	// report per StatusEvery, those with the oldest reports first. Endpoints also
	// report their load with the answer to each call.
	StatusPolls int
	// ForwardFor is the maximum time for which an entry repeats an operation
	// because the owner of the program has changed or is unknown, or because the
	// outcome of the call is still being determined.
	ForwardFor clock.Millis
	// LameDuckFor is the delay at shutdown from the time when /readyz reports
	// failure to the closing of the listener, so that load balancers stop sending
	// requests first. 0 closes the listener at once.
	LameDuckFor clock.Millis
	// ForgetAfter is the time for which a program and its sub-agents can still be
	// queried after the root program has ended.
	ForgetAfter clock.Millis
	// Seed seeds the random number generators of the policies.
	Seed uint64
}

// DefaultConfig holds the default settings. Node and FailureDomain are empty and
// must be set. Plain numbers in duration fields are milliseconds.
var DefaultConfig = Config{
	HTTPAddress: "127.0.0.1:0", WireAddress: "127.0.0.1:0", Streams: 8,
	MaxConnections: 16384, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, MaxCalls: 4096,
	IdleTimeout: 60 * clock.Second, ReadTimeout: 10 * clock.Second, HeartbeatEvery: 500,
	RenewEvery: 2 * clock.Second, StatusEvery: clock.Second, StatusPolls: 32, ForwardFor: 15 * clock.Second,
	ForgetAfter: 10 * clock.Minute, Seed: 1,
}

// Validate returns nil if the configuration is valid, otherwise all its errors
// combined into one. Each of them wraps ErrConfig.
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

// Option sets an optional part of an entry; it is an argument of New.
type Option func(*Entry)

// WithClock sets the clock; the system clock is the default.
func WithClock(source clock.Clock) Option { return func(e *Entry) { e.clock = source } }

// WithTelemetry sets the metrics and the logger. By default, logs are discarded.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(e *Entry) { e.telemetry = t } }

// WithClients sets the wire clients for calls to agents and other entries. Shutdown
// closes them. The default is new clients without options.
func WithClients(clients *wire.Clients) Option { return func(e *Entry) { e.clients = clients } }

// WithTLS sets the TLS configurations of the HTTP server and of the wire server. A
// server whose configuration is nil, the default, uses no TLS.
func WithTLS(httpTLS, wireTLS *tls.Config) Option {
	return func(e *Entry) { e.httpTLS, e.wireTLS = httpTLS, wireTLS }
}

// WithHandlers registers further methods on the wire server. They override the
// entry's own methods of the same name.
func WithHandlers(mux wire.Mux) Option {
	return func(e *Entry) {
		for method, handler := range mux {
			e.extraHandlers[method] = handler
		}
	}
}

// WithProgramLimits sets the limits on the memory that the programs of callers can
// use. Fields that are 0 have the values of program.DefaultLimits.
func WithProgramLimits(limits program.Limits) Option {
	return func(e *Entry) { e.programLimits = limits }
}
