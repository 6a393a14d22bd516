package endpoint

import (
	"crypto/tls"

	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Config holds the settings of an agent.
type Config struct {
	// Endpoint identifies the endpoint and its agent.
	Endpoint spool.EndpointID
	// Listen is the host:port on which the agent serves other processes of the
	// system.
	Listen string
	// HTTPListen is the host:port of /metrics, /healthz and /readyz. Empty turns
	// the HTTP server off.
	HTTPListen string
	// Queue, Gate and Pause name registered policies. The options are passed to
	// the policy of the same kind.
	Queue, Gate, Pause                      string
	QueueOptions, GateOptions, PauseOptions spool.Options
	// Seed seeds the random sources of the policies.
	Seed uint64
	// Kernel configures the decisions made by package gatekeeper.
	Kernel gatekeeper.Config
	// TickEvery is the interval at which deadlines and leases are checked.
	TickInterval clock.Millis
	// LoadEvery, EventsEvery and ReconcileEvery are the intervals at which the
	// engine is polled for its load, its cache events and its sessions.
	LoadInterval, EventsInterval, ReconcileInterval clock.Millis
	// PollTimeout bounds each of these polls and each other administrative
	// request to the engine, such as an order or a release of memory.
	PollTimeout clock.Millis
	// StallAfter is the time without a chunk after which a run is cancelled. It
	// must be longer than the computation of the longest prompt.
	StallTimeout clock.Millis
}

// DefaultConfig returns the default configuration. The caller must set Endpoint
// and Listen.
func DefaultConfig() Config {
	return Config{
		Queue:             "fair",
		Gate:              "adaptive",
		Pause:             "export",
		Kernel:            gatekeeper.DefaultConfig(),
		TickInterval:      50,
		LoadInterval:      500,
		EventsInterval:    1 * clock.Second,
		ReconcileInterval: 10 * clock.Second,
		PollTimeout:       2 * clock.Second,
		StallTimeout:      60 * clock.Second,
	}
}

// Validate returns all invalid settings as one combined error.
func (c Config) Validate() (err error) {
	if c.Endpoint == "" {
		err = multierr.Append(err, errors.New("endpoint is empty"))
	}
	if c.Listen == "" {
		err = multierr.Append(err, errors.New("listen is empty"))
	}
	for _, interval := range []struct {
		name  string
		value clock.Millis
	}{
		{"tickEveryMs", c.TickInterval},
		{"loadEveryMs", c.LoadInterval},
		{"eventsEveryMs", c.EventsInterval},
		{"reconcileEveryMs", c.ReconcileInterval},
		{"pollTimeoutMs", c.PollTimeout},
		{"stallAfterMs", c.StallTimeout},
	} {
		if interval.value <= 0 {
			err = multierr.Append(err, errors.Errorf("%s is %d, must be above 0", interval.name, interval.value))
		}
	}
	return multierr.Append(err, errors.WithMessage(c.Kernel.Validate(), "kernel"))
}

// Option configures an Agent.
type Option func(*Agent)

// WithEngine sets the model engine that the agent serves. An agent has either an
// engine or a service.
func WithEngine(engine spool.Engine) Option { return func(a *Agent) { a.engine = engine } }

// WithService sets the plain service that the agent serves. An agent has either
// an engine or a service.
func WithService(service spool.Service) Option { return func(a *Agent) { a.service = service } }

// WithInTouch sets the function that reports whether the process can currently
// learn of later orders. While it returns false, the agent sends no orders to
// the engine. The default always returns true.
func WithReceivesOrders(receivesOrders func() bool) Option {
	return func(a *Agent) { a.receivesOrders = receivesOrders }
}

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithTelemetry sets the metrics and the logger. By default the agent uses
// metrics of its own and discards its log.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(a *Agent) { a.telemetry = t } }

// WithTLS makes the agent's server use TLS.
func WithTLS(config *tls.Config) Option { return func(a *Agent) { a.tlsConfig = config } }
