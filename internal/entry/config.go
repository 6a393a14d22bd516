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

// ErrConfig means that a configuration is not valid.
var ErrConfig = errors.New("configuration is not valid")

// Config holds the settings of an entry process.
type Config struct {
	// Node names the process.
	Node spool.NodeID
	// FailureDomain is where the process runs.
	FailureDomain spool.FailureDomain
	// HTTPAddress and WireAddress are the host:port pairs to listen on.
	HTTPAddress string
	WireAddress string
	// Streams is the number of program streams, K.
	Streams int
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// MaxConnectionsPerIP bounds those of one address; 0 for no bound.
	MaxConnectionsPerIP int
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// MaxCalls bounds the calls that run at a time.
	MaxCalls int
	// IdleTimeout closes a connection without requests, or whose caller reads
	// nothing of its answer; ReadTimeout one whose request does not arrive.
	IdleTimeout clock.Millis
	ReadTimeout clock.Millis
	// HeartbeatEvery is the interval of the comments on a stream, which notice
	// that the caller has left.
	HeartbeatEvery clock.Millis
	// RenewEvery is the interval of the leases and of the expiry of idle
	// programs, StatusEvery that of load reports.
	RenewEvery  clock.Millis
	StatusEvery clock.Millis
	// StatusPolls bounds the load reports asked for in one interval; the oldest
	// are asked first. Calls bring reports of the endpoints in use anyway.
	StatusPolls int
	// ForwardFor bounds the time during which an operation looks for the owner
	// of its program.
	ForwardFor clock.Millis
	// LameDuckFor is the time between readyz turning false and the end of
	// accepting, so that the balancer notices.
	LameDuckFor clock.Millis
	// ForgetAfter is the time for which ended programs are remembered.
	ForgetAfter clock.Millis
	// Seed feeds the policies' random sources.
	Seed uint64
}

// DefaultConfig holds a default for every number.
var DefaultConfig = Config{
	HTTPAddress: "127.0.0.1:0", WireAddress: "127.0.0.1:0", Streams: 8,
	MaxConnections: 16384, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, MaxCalls: 4096,
	IdleTimeout: 60 * clock.Second, ReadTimeout: 10 * clock.Second, HeartbeatEvery: 500,
	RenewEvery: 2 * clock.Second, StatusEvery: clock.Second, StatusPolls: 32, ForwardFor: 15 * clock.Second,
	ForgetAfter: 10 * clock.Minute, Seed: 1,
}

// Validate returns all errors of the configuration at once.
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

// Option changes a part of an entry.
type Option func(*Entry)

// WithClock sets the clock; the system clock is the default.
func WithClock(source clock.Clock) Option { return func(e *Entry) { e.clock = source } }

// WithTelemetry sets the counters and the logger.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(e *Entry) { e.telemetry = t } }

// WithClients sets the connections to other processes.
func WithClients(clients *wire.Clients) Option { return func(e *Entry) { e.clients = clients } }

// WithTLS makes the HTTP front and the wire server use TLS.
func WithTLS(httpTLS, wireTLS *tls.Config) Option {
	return func(e *Entry) { e.httpTLS, e.wireTLS = httpTLS, wireTLS }
}

// WithHandlers adds methods of other parts to the wire server.
func WithHandlers(mux wire.Mux) Option {
	return func(e *Entry) {
		for method, handler := range mux {
			e.extraHandlers[method] = handler
		}
	}
}

// WithProgramLimits bounds what callers can make the state hold.
func WithProgramLimits(limits program.Limits) Option {
	return func(e *Entry) { e.programLimits = limits }
}
