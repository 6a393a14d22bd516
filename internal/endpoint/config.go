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
	// Endpoint names the endpoint and this agent.
	Endpoint spool.EndpointID
	// Listen is the host:port for messages between our processes.
	Listen string
	// HTTPListen is the host:port of /metrics, /healthz and /readyz; empty for
	// none.
	HTTPListen string
	// Queue, Gate and Pause name the plug-ins; the options are passed to them.
	Queue, Gate, Pause                      string
	QueueOptions, GateOptions, PauseOptions spool.Options
	// Seed feeds the random sources of the plug-ins.
	Seed uint64
	// Kernel holds the bounds of the decisions.
	Kernel gatekeeper.Config
	// TickEvery is how often deadlines and leases are looked at.
	TickEvery clock.Millis
	// LoadEvery, EventsEvery and ReconcileEvery are how often the engine is
	// asked for its load, its cache events and its sessions.
	LoadEvery, EventsEvery, ReconcileEvery clock.Millis
	// PollTimeout bounds each of these questions and each release of memory.
	PollTimeout clock.Millis
	// StallAfter is how long a run may go without a sign of life before it is
	// given up. It must be longer than the computation of the longest prompt.
	StallAfter clock.Millis
}

// DefaultConfig returns the values that are used when nothing else is set. The
// caller sets Endpoint and Listen.
func DefaultConfig() Config {
	return Config{
		Queue:          "fair",
		Gate:           "adaptive",
		Pause:          "export",
		Kernel:         gatekeeper.DefaultConfig(),
		TickEvery:      50,
		LoadEvery:      500,
		EventsEvery:    1 * clock.Second,
		ReconcileEvery: 10 * clock.Second,
		PollTimeout:    2 * clock.Second,
		StallAfter:     60 * clock.Second,
	}
}

// Validate returns every error of the settings at once.
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
		{"tickEveryMs", c.TickEvery},
		{"loadEveryMs", c.LoadEvery},
		{"eventsEveryMs", c.EventsEvery},
		{"reconcileEveryMs", c.ReconcileEvery},
		{"pollTimeoutMs", c.PollTimeout},
		{"stallAfterMs", c.StallAfter},
	} {
		if interval.value <= 0 {
			err = multierr.Append(err, errors.Errorf("%s is %d, must be above 0", interval.name, interval.value))
		}
	}
	return multierr.Append(err, errors.WithMessage(c.Kernel.Validate(), "kernel"))
}

// Option sets a part of an agent.
type Option func(*Agent)

// WithEngine puts the agent in front of a model engine.
func WithEngine(engine spool.Engine) Option { return func(a *Agent) { a.engine = engine } }

// WithService puts the agent in front of a plain service.
func WithService(service spool.Service) Option { return func(a *Agent) { a.service = service } }

// WithInTouch tells the agent whether it can learn of later orders; it sends the
// engine no commands while it cannot.
func WithInTouch(receivesOrders func() bool) Option { return func(a *Agent) { a.receivesOrders = receivesOrders } }

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithTelemetry sets the counters and the logger; without it they go nowhere.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(a *Agent) { a.telemetry = t } }

// WithTLS makes the agent's server use TLS.
func WithTLS(config *tls.Config) Option { return func(a *Agent) { a.tlsConfig = config } }
