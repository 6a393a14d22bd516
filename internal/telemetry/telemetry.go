// Package telemetry provides the logger and the OpenTelemetry counters of a process.
// There is one counter for each refusal code, each failure that causes retries, each
// violated invariant and each named event, and a histogram of durations for each named
// operation.
package telemetry

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Telemetry holds the counters and the logger of one process. It is safe for
// concurrent use.
type Telemetry struct {
	logger     *zap.Logger
	handler    fasthttp.RequestHandler
	meter      metric.Meter
	refusals   metric.Int64Counter
	retries    metric.Int64Counter
	violations metric.Int64Counter
	events     metric.Int64Counter
	durations  metric.Int64Histogram

	mu sync.Mutex
	// totals holds the values of the counters a second time, because OpenTelemetry
	// counters cannot be read. mu guards totals and gauges.
	totals map[Series]int64
	// gauges is the set of the names of the registered gauges.
	gauges map[string]struct{}
}

// Series identifies one counter by its kind, one of the Kind constants, and its label:
// the refusal code, failure, invariant or event.
type Series struct {
	Kind  string `json:"kind"`
	Label string `json:"label"`
}

// The kinds of counters: refused requests, retries, violated invariants and named
// events.
const (
	KindRefusal   = "refusal"
	KindRetry     = "retry"
	KindViolation = "violation"
	KindEvent     = "event"
)

const (
	// sampleFirst is the number of lines with the same level and message that are
	// written in each second before sampling starts. Each message is sampled on its own,
	// so that frequent lines about successful requests do not displace others.
	sampleFirst = 100
	// sampleEvery is the sampling rate for further lines with that message in the same
	// second: one in sampleEvery is written.
	sampleEvery = 100
)

// durationBounds are the upper bounds of the histogram buckets, in milliseconds.
var durationBounds = []float64{2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// NewLogger returns a logger that writes to standard output. Logging never blocks; lines
// beyond the buffer of BoundedWriter are dropped. format is "json" or "console". level
// is the lowest level that is logged, one of zap's level names.
func NewLogger(format, level string) (logger *zap.Logger, err error) {
	defer func() { err = errors.Wrap(err, "build logger") }()
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	var encoder zapcore.Encoder
	switch format {
	case "json":
		encoder = zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	case "console":
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	default:
		return nil, errors.Errorf("log format %q is neither json nor console", format)
	}
	core := zapcore.NewCore(encoder, NewBoundedWriter(os.Stdout), minLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery)), nil
}

// New returns the telemetry of the process named node. Every log line gets the field
// "node" with this name.
func New(node spool.NodeID, logger *zap.Logger) (t *Telemetry, err error) {
	defer func() { err = errors.Wrap(err, "start telemetry") }()
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("baobabspool")
	t = &Telemetry{
		logger:  logger.With(zap.String("node", string(node))),
		handler: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		meter:   meter,
		totals:  map[Series]int64{},
		gauges:  map[string]struct{}{},
	}
	for name, counter := range map[string]*metric.Int64Counter{
		"baobabspool_refusals": &t.refusals, "baobabspool_retries": &t.retries,
		"baobabspool_violations": &t.violations, "baobabspool_events": &t.events,
	} {
		if *counter, err = meter.Int64Counter(name); err != nil {
			return nil, err
		}
	}
	t.durations, err = meter.Int64Histogram("baobabspool_duration", metric.WithUnit("ms"), metric.WithExplicitBucketBoundaries(durationBounds...))
	return t, err
}

// Logger returns the logger of one component. Its messages start with part, the name of
// the component, in brackets.
func (t *Telemetry) Logger(part string) *zap.Logger {
	return t.logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return prefixCore{Core: core, prefix: "[" + part + "] "}
	}))
}

// CountRefusal counts one refused request by its refusal code.
func (t *Telemetry) CountRefusal(code spool.Code) {
	t.add(t.refusals, KindRefusal, "code", string(code), 1)
}

// CountRetry counts one retry by the failure that caused it.
func (t *Telemetry) CountRetry(failure spool.Failure) {
	t.add(t.retries, KindRetry, "reason", string(failure), 1)
}

// CountViolation counts one violation of the named invariant and logs it as an error with
// the given fields.
func (t *Telemetry) CountViolation(invariant string, fields ...zap.Field) {
	t.add(t.violations, KindViolation, "invariant", invariant, 1)
	t.Logger("invariant").Error("invariant was violated", append(fields, zap.String("invariant", invariant))...)
}

// CountEvent counts one occurrence of the event with the given name.
func (t *Telemetry) CountEvent(name string) { t.CountEvents(name, 1) }

// CountEvents counts n occurrences of the event with the given name, or n bytes if the
// name says so.
func (t *Telemetry) CountEvents(name string, n int64) {
	t.add(t.events, KindEvent, "event", name, n)
}

// RecordDuration adds a duration to the histogram of the operation with the given name.
func (t *Telemetry) RecordDuration(operation string, duration clock.Millis) {
	t.durations.Record(context.Background(), int64(duration), metric.WithAttributes(attribute.String("operation", operation)))
}

// RegisterGauge registers a gauge. read is called at every collection of the metrics and
// returns the value. If the name is already registered, the first read function stays
// in use and RegisterGauge returns nil.
func (t *Telemetry) RegisterGauge(name string, read func() int64) (err error) {
	defer func() { err = errors.Wrapf(err, "register gauge %s", name) }()
	t.mu.Lock()
	_, registered := t.gauges[name]
	t.gauges[name] = struct{}{}
	t.mu.Unlock()
	if registered {
		return nil
	}
	_, err = t.meter.Int64ObservableGauge(name, metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return err
}

// Totals returns the current values of all counters that are above 0, as a copy.
func (t *Telemetry) Totals() map[Series]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[Series]int64, len(t.totals))
	for series, count := range t.totals {
		totals[series] = count
	}
	return totals
}

// Handler returns the HTTP handler of /metrics, which responds in the Prometheus text
// format.
func (t *Telemetry) Handler() fasthttp.RequestHandler { return t.handler }

// add adds n to a counter and to its value in totals. key is the name of the label in
// OpenTelemetry.
func (t *Telemetry) add(counter metric.Int64Counter, kind, key, label string, n int64) {
	counter.Add(context.Background(), n, metric.WithAttributes(attribute.String(key, label)))
	t.mu.Lock()
	t.totals[Series{Kind: kind, Label: label}] += n
	t.mu.Unlock()
}

// prefixCore is a zap core that adds a fixed prefix to every message. It writes only the
// messages of errors, since their stack traces would fill the log during an outage.
type prefixCore struct {
	zapcore.Core
	prefix string
}

func (c prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{Core: c.Core.With(withoutStackTraces(fields)), prefix: c.prefix}
}

func (c prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

func (c prefixCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	entry.Message = c.prefix + entry.Message
	return c.Core.Write(entry, withoutStackTraces(fields))
}

// withoutStackTraces replaces error fields by string fields with the error's message.
func withoutStackTraces(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		plain[i] = field
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			plain[i] = zap.String(field.Key, err.Error())
		}
	}
	return plain
}
