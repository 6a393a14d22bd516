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
	// Endpoint identifies the endpoint and its agent. It must not be empty.
	Endpoint spool.EndpointID
	// Listen is the host:port of the RPC server, which answers other processes of
	// the system.
	Listen string
	// HTTPListen is the host:port of /metrics, /healthz and /readyz. Empty turns
	// the HTTP server off.
	HTTPListen string
	// Queue, Gate and Pause are the names of policies that are registered in
	// spool.Queues, spool.Gates and spool.Pauses. QueueOptions, GateOptions and
	// PauseOptions are passed to the respective policy.
	Queue, Gate, Pause                      string
	QueueOptions, GateOptions, PauseOptions spool.Options
	// Seed is passed to the three policies to seed their random sources.
	Seed uint64
	// Kernel is the configuration of the gatekeeper.Kernel.
	Kernel gatekeeper.Config
	// TickInterval is the interval at which the control loop sends a
	// gatekeeper.Tick to the kernel, which then checks deadlines and leases.
	TickInterval clock.Millis
	// LoadInterval, EventsInterval and ReconcileInterval are the intervals at
	// which the agent polls the engine for its load, for its cache events, and for
	// its sessions and exports. LoadInterval is also the interval at which the agent
	// compares the engine's state with the operators' orders.
	LoadInterval, EventsInterval, ReconcileInterval clock.Millis
	// PollTimeout bounds each poll and each other request to the engine that is not
	// a generation, such as an order or a release of memory.
	PollTimeout clock.Millis
	// StallTimeout is the time after which a run is cancelled, measured from its
	// start or its latest chunk. It must be longer than an engine needs to process
	// the longest prompt, because no chunk arrives before that. For a service call,
	// which has no chunks, it bounds the whole call.
	StallTimeout clock.Millis
}

// DefaultConfig returns the default configuration, which is invalid until the
// caller has set Endpoint and Listen.
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

// WithEngine sets the model engine to which the agent passes its calls. New
// requires either WithEngine or WithService.
func WithEngine(engine spool.Engine) Option { return func(a *Agent) { a.engine = engine } }

// WithService sets the plain service to which the agent passes its calls. New
// requires either WithEngine or WithService.
func WithService(service spool.Service) Option { return func(a *Agent) { a.service = service } }

// WithReceivesOrders sets the function that reports whether the process currently
// receives new orders of the operators. While it returns false, the agent sends no
// orders to the engine, because the ones it knows may be outdated. The default
// always returns true.
func WithReceivesOrders(receivesOrders func() bool) Option {
	return func(a *Agent) { a.receivesOrders = receivesOrders }
}

// WithClock sets the clock from which the agent reads the time. The default is the
// system clock. The intervals of Config always follow the system clock.
func WithClock(c clock.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithTelemetry sets the metrics and the logger. By default the agent uses
// metrics of its own and discards its log.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(a *Agent) { a.telemetry = t } }

// WithTLS makes the agent's RPC server use TLS. The HTTP server is not affected.
func WithTLS(config *tls.Config) Option { return func(a *Agent) { a.tlsConfig = config } }
