package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// methodExchangeLoad takes the load report of a gateway and answers with what the other
	// gateways know.
	methodExchangeLoad = "gateway.load"
	// loadInterval is the base time between two reports. A gateway without requests reports
	// every idleLoadInterval, and no interval is longer: collectors drop reports after 1 s.
	loadInterval     = 250 * clock.Millis(1)
	idleLoadInterval = 750 * clock.Millis(1)
	// minLoadInterval is the least time between two reports of which the second is sent
	// early, because an answer was late or failed.
	minLoadInterval = 100 * clock.Millis(1)
	// loadTimeout bounds one call to a collector. It leaves time for the second candidate
	// within loadInterval of most deployments, and exceeds the pauses of a busy VM.
	loadTimeout = 150 * clock.Millis(1)
	// collectorBackoff is how long a collector that did not answer is asked only after the
	// other candidate.
	collectorBackoff = 2 * clock.Second
	// newCollectorPeriod is how long all gateways report at the usual interval after they have
	// changed the collector.
	newCollectorPeriod = clock.Second
	// loadPingInterval and loadSilenceTimeout are the heartbeats of the connections to
	// collectors. They are rare, because each call has a timeout of its own.
	loadPingInterval   = clock.Second
	loadSilenceTimeout = 2 * clock.Second
	// loadIdleTimeout is the time after which the connection to a former collector is
	// closed.
	loadIdleTimeout = 2 * clock.Second
)

// collectorRole is the name under which the collector is chosen among the gateways.
var collectorRole = spool.Partition{Topic: "loadReports"}

// errCollectorForgets is the error of a collector that asks for a full report in reply to
// one.
var errCollectorForgets = errors.New("collector does not keep reports")

// loadRequest is the request of methodExchangeLoad; see load.Client and load.Collector. The
// JSON names are short because the frames are as long as the reports.
type loadRequest struct {
	Report []byte `json:"r"`
}

// loadReply is the answer to a loadRequest.
type loadReply struct {
	Others []byte `json:"o"`
}

// loadExchange tells a collector what this gateway knows of endpoints and learns what the
// others know. It also is the collector if this gateway is chosen.
type loadExchange struct {
	homes     *homes.Table
	call      homeCaller
	clock     clock.Clock
	bootClock clock.Clock
	// interval returns the time between two reports.
	interval func() clock.Millis
	// news receives a value when an answer was late or failed.
	news      <-chan struct{}
	view      *load.Merged
	client    *load.Client
	collector *load.Collector
	telemetry *telemetry.Telemetry
	log       *zap.Logger

	// mu protects the following fields. It is held during an exchange, so that there is one
	// report at a time.
	mu sync.Mutex
	// current is the collector that answered last; empty if none has.
	current spool.NodeID
	// changedAt is when current last changed.
	changedAt clock.Millis
	// failedAt holds the time of the last failure of each collector whose last call failed.
	failedAt map[spool.NodeID]clock.Millis
	// reportedAt is when the last report was sent.
	reportedAt clock.Millis
	// isLost is set while no collector has answered for so long that the view contains only
	// what this gateway knows.
	isLost bool
	// hasLeft is set when this gateway has told the collector that it leaves.
	hasLeft bool
}

// newLoadTracker returns a tracker, and a channel that receives a value when an answer was
// late or failed.
func newLoadTracker() (*load.Tracker, <-chan struct{}) {
	news := make(chan struct{}, 1)
	return load.NewTracker(load.WithNotify(func() {
		select {
		case news <- struct{}{}:
		default:
		}
	})), news
}

// newLoadExchange returns the exchange of a gateway, which puts what it learns into view.
func newLoadExchange(g *Gateway, view *load.Merged, bootClock clock.Clock) *loadExchange {
	return &loadExchange{
		homes: g.homes, call: g.callCollector, clock: g.clock, bootClock: bootClock, news: g.loadNews,
		interval: func() clock.Millis { return loadInterval * g.shared.intervalFactor() }, view: view,
		client: load.NewClient(rand.Uint32(), g.loadTracker, view), collector: load.NewCollector(rand.Uint64()),
		telemetry: g.telemetry, log: g.telemetry.Logger("load"), failedAt: map[spool.NodeID]clock.Millis{},
	}
}

// run reports until ctx ends.
func (e *loadExchange) run(ctx context.Context) {
	// Gateways that start together must not all report at the same time.
	clock.Pause(ctx, clock.Millis(rand.Int64N(int64(loadInterval))))
	for ctx.Err() == nil {
		if e.isDue() {
			e.exchange(ctx)
		}
		e.awaitReport(ctx, min(idleLoadInterval, e.interval()))
	}
}

// awaitReport waits for interval, and after minLoadInterval only for a late or failed
// answer, or until ctx ends.
func (e *loadExchange) awaitReport(ctx context.Context, interval clock.Millis) {
	if !clock.Pause(ctx, minLoadInterval) {
		return
	}
	timer := time.NewTimer((interval - minLoadInterval).Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.news:
	}
}

// isDue reports whether to send a report now. A gateway without requests skips some, except
// after a change of the collector: the first reply of the next one lacks the gateways that
// have not found it yet.
func (e *loadExchange) isDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock.Now()-e.changedAt < newCollectorPeriod {
		return true
	}
	// Timers fire a little early or late: the interval counts as over shortly before.
	return !e.client.IsIdle() || e.clock.Now()-e.reportedAt >= idleLoadInterval-loadInterval/2
}

// exchange reports to the first candidate that answers.
func (e *loadExchange) exchange(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasLeft {
		return
	}
	e.reportedAt = e.clock.Now()
	for _, candidate := range e.candidates() {
		err := e.report(ctx, candidate)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			e.recordAnswer(candidate.Node)
			return
		}
		e.failedAt[candidate.Node] = e.clock.Now()
		e.telemetry.CountEvent("loadReportFailed")
		e.log.Debug("collector does not answer", zap.String("collector", string(candidate.Node)), zap.Error(err))
	}
	if !e.isLost && e.current != "" && !e.view.HasOthers(e.clock.Now()) {
		e.isLost = true
		e.log.Warn("load of other gateways is not known", zap.String("collector", string(e.current)))
	}
}

// candidates returns the gateways that may be the collector, in the order in which to ask
// them: those that have failed within collectorBackoff come last.
func (e *loadExchange) candidates() (order []homes.Gateway) {
	var failed []homes.Gateway
	now := e.clock.Now()
	for _, candidate := range e.homes.Candidates(collectorRole) {
		if at, ok := e.failedAt[candidate.Node]; ok && now-at < collectorBackoff {
			failed = append(failed, candidate)
			continue
		}
		order = append(order, candidate)
	}
	return append(order, failed...)
}

// report sends a report to a collector and takes its reply. A collector that does not know
// this gateway gets a second, full report.
func (e *loadExchange) report(ctx context.Context, collector homes.Gateway) error {
	for range 2 {
		sentAt := e.clock.Now()
		e.telemetry.CountEvent("loadReportSent")
		reply, err := e.send(ctx, collector, e.client.Report(sentAt))
		if err != nil {
			return err
		}
		again, err := e.client.Accept(sentAt, e.clock.Now(), reply)
		if err != nil || !again {
			return err
		}
	}
	return errCollectorForgets
}

// send returns a collector's reply to a report.
func (e *loadExchange) send(ctx context.Context, collector homes.Gateway, report []byte) ([]byte, error) {
	if collector.Address == "" {
		return e.collector.Exchange(e.bootClock.Now(), report)
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	var reply loadReply
	err := e.call(ctx, collector.Address, methodExchangeLoad, loadRequest{Report: report}, &reply)
	return reply.Others, err
}

// recordAnswer records that a collector has answered. The caller holds mu.
func (e *loadExchange) recordAnswer(node spool.NodeID) {
	e.telemetry.CountEvent("loadReportAnswered")
	delete(e.failedAt, node)
	if e.current != node {
		if e.current != "" {
			e.telemetry.CountEvent("loadCollectorChanged")
		}
		e.log.Info("collector of load reports changes", zap.String("collector", string(node)), zap.String("before", string(e.current)))
		e.current, e.changedAt = node, e.clock.Now()
	}
	if e.isLost {
		e.isLost = false
		e.log.Info("load of other gateways is known again", zap.String("collector", string(node)))
	}
}

// leave makes the collectors forget this gateway, which has no requests any more. An error
// is ignored: the last report expires soon.
func (e *loadExchange) leave(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasLeft = true
	for _, candidate := range e.candidates() {
		if candidate.Node == e.current {
			_, _ = e.send(ctx, candidate, e.client.LeaveReport())
		}
	}
}

// handlers returns the handler of the collector.
func (e *loadExchange) handlers() wire.Mux {
	return wire.Mux{
		methodExchangeLoad: wire.Handle(func(_ context.Context, request loadRequest, _ wire.Send) (any, error) {
			others, err := e.collector.Exchange(e.bootClock.Now(), request.Report)
			if err != nil {
				return nil, spool.Refuse(spool.CodeBadRequest, "%v", err)
			}
			e.telemetry.CountEvent("loadReportMerged")
			return loadReply{Others: others}, nil
		}),
	}
}
