package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// homeAnswerTime is the time after which a home answers even if it has no result yet.
	// homeHedgeDelay is how long it may take before a second gateway is asked as well. So
	// only a home that is gone makes a second gateway read the partition.
	homeAnswerTime = 100 * clock.Millis(1)
	homeHedgeDelay = 150 * clock.Millis(1)
	// homeRetryTime is how long the homes of a partition are asked again while none of them
	// answers, with a pause of homeRetryDelay. Gateways that start together need that time
	// until all of them listen.
	homeRetryTime  = 300 * clock.Millis(1)
	homeRetryDelay = 40 * clock.Millis(1)
)

// homeCaller calls the gateway at an address about a partition of which it is the home.
type homeCaller func(ctx context.Context, address, method string, request, reply any) error

// remoteCall calls a method of one home.
type remoteCall func(method string, request, reply any) error

// homeOperation is an operation on a partition. local runs it at this gateway, and remote
// at another one. Both may run more than once and concurrently. They call progressed when
// they see that the home proceeds, though it has no result yet. remote must call its home
// at least every homeAnswerTime.
type homeOperation struct {
	local  func(ctx context.Context, progressed func()) error
	remote func(ctx context.Context, call remoteCall, progressed func()) error
}

// homeClient runs an operation on a partition at one of the partition's homes. It is safe
// for concurrent use.
type homeClient struct {
	homes *homes.Table
	call  homeCaller
	clock clock.Clock
	log   *zap.Logger
	// hedge asks a second home when the first one is silent. failover is used where this
	// gateway is the first one, and asks the second one only when this one fails.
	hedge, failover *hedge
}

func newHomeClient(table *homes.Table, call homeCaller, systemClock clock.Clock, log *zap.Logger) *homeClient {
	isFinal := func(err error) bool { return err == nil }
	return &homeClient{
		homes: table, call: call, clock: systemClock, log: log,
		hedge: newHedge(homeHedgeDelay, isFinal), failover: newHedge(0, isFinal),
	}
}

// run runs an operation: local if this gateway is the home, and remote otherwise. If the
// homes answer that they cannot run it, it fails. It runs local without being the home
// only if none of the homes answers for homeRetryTime, since all gateways would do so at
// the same time. Homes that have not answered for that long count as failed, so that the
// gateways next in order take their place.
func (c *homeClient) run(ctx context.Context, partition spool.Partition, operation homeOperation) error {
	c.awaitHomes(ctx)
	giveUpAt := c.clock.Now() + homeRetryTime
	for {
		candidates := c.homes.Candidates(partition)
		isHome, err := c.askHomes(ctx, candidates, operation)
		if err == nil || isHome || isRefusal(err) || ctx.Err() != nil {
			return err
		}
		if c.clock.Now() >= giveUpAt {
			if !c.replaceHomes(partition, candidates) {
				c.log.Info("partition is used without its homes", zap.Stringer("partition", partition), zap.Error(err))
				return operation.local(ctx, func() {})
			}
			giveUpAt = c.clock.Now() + homeRetryTime
			continue
		}
		if !clock.Pause(ctx, homeRetryDelay) {
			return err
		}
	}
}

// replaceHomes records that homes of a partition have failed. It reports whether there are
// others.
func (c *homeClient) replaceHomes(partition spool.Partition, failed []homes.Gateway) bool {
	for _, home := range failed {
		c.homes.RecordFailure(home.Node)
	}
	return len(c.homes.Candidates(partition)) > 0
}

// askHomes runs an operation at candidates, the homes of a partition, once. isHome reports
// that this gateway is one of them. A home that proceeds is not silent, so that no second
// one begins with the same work.
func (c *homeClient) askHomes(ctx context.Context, candidates []homes.Gateway, operation homeOperation) (isHome bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(candidates) == 0 {
		return false, errNoPeer
	}
	progress := make(chan struct{}, 1)
	progressed := func() {
		select {
		case progress <- struct{}{}:
		default:
		}
	}
	var attempts []func() error
	for _, home := range candidates {
		if home.Address == "" {
			isHome = true
			attempts = append(attempts, func() error { return operation.local(ctx, progressed) })
			continue
		}
		attempts = append(attempts, func() error { return operation.remote(ctx, c.callOf(ctx, home), progressed) })
	}
	order := c.hedge
	if candidates[0].Address == "" {
		order = c.failover
	}
	return isHome, order.runWithProgress(ctx, progress, attempts...)
}

// callOf returns a function that calls a home and records whether it answers.
func (c *homeClient) callOf(ctx context.Context, home homes.Gateway) remoteCall {
	return func(method string, request, reply any) error {
		sentAt := c.clock.Now()
		err := c.call(ctx, home.Address, method, request, reply)
		c.recordResult(home, err, c.clock.Now()-sentAt)
		return err
	}
}

// recordResult records whether a home has answered within homeHedgeDelay. A refusal is an
// answer. A home that refuses connections fails at once and costs no time, so it is asked
// again: it may just be starting.
func (c *homeClient) recordResult(home homes.Gateway, err error, elapsed clock.Millis) {
	switch {
	case err == nil || isRefusal(err):
		c.homes.RecordAnswer(home.Node)
	case elapsed >= homeHedgeDelay || isUnknownMethod(err):
		c.log.Info("home of a partition does not answer", zap.String("home", string(home.Node)), zap.Int64("elapsedMs", int64(elapsed)), zap.Error(err))
		c.homes.RecordFailure(home.Node)
	}
}

// isRefusal reports whether err is an error that another gateway has answered with. A
// gateway that does not know the method is excluded: it runs an earlier version, and is
// treated as one that does not answer.
func isRefusal(err error) bool {
	var refusal *spool.Refusal
	return errors.As(err, &refusal) && !isUnknownMethod(err)
}

// isUnknownMethod reports whether err is the answer of a gateway that does not know the
// method.
func isUnknownMethod(err error) bool {
	var refusal *spool.Refusal
	return errors.As(err, &refusal) && refusal.Code == spool.CodeBadRequest
}

// awaitHomes waits until the other gateways are known, but not longer than
// homeHedgeDelay. Without it, each gateway of a deployment that starts would use the
// partitions itself.
func (c *homeClient) awaitHomes(ctx context.Context) {
	timer := time.NewTimer(homeHedgeDelay.Duration())
	defer timer.Stop()
	select {
	case <-c.homes.Known():
	case <-timer.C:
	case <-ctx.Done():
	}
}
