package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// requestTimeout bounds one background request to an agent.
	requestTimeout = 2 * clock.Second
	// defaultLeaseFor is the lease when the settings name none.
	defaultLeaseDuration = 30 * clock.Second
)

func (e *Entry) startBackground() {
	e.runEvery(e.config.StatusEvery, e.pollEndpoints)
	e.runEvery(e.config.RenewEvery, func() {
		for _, shard := range e.shards.listServing() {
			e.expirePrograms(shard)
			e.resolveInDoubtCalls(shard)
		}
		e.renewLeases()
	})
}

func (e *Entry) runEvery(interval clock.Millis, work func()) {
	go func() {
		ticker := time.NewTicker(interval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				work()
			case <-e.ctx.Done():
				return
			}
		}
	}()
}

// each runs work for every endpoint and waits.
func (e *Entry) forEachEndpoint(vms []spool.VM, work func(spool.VM)) {
	group := e.backgroundPool.NewGroup()
	for _, vm := range vms {
		group.Submit(func() { work(vm) })
	}
	_ = group.Wait()
}

// pollAll asks the endpoints with the oldest reports for their load.
func (e *Entry) pollEndpoints() {
	var vms []spool.VM
	listed := map[spool.EndpointID]bool{}
	for _, service := range e.control.Services() {
		found := e.candidatesOf(service.Name)
		vms = append(vms, found.selected...)
		for id := range found.all {
			listed[id] = true
		}
	}
	e.endpoints.retain(listed)
	e.forEachEndpoint(e.endpoints.selectForPoll(vms, e.config.StatusPolls), func(vm spool.VM) {
		ctx, cancel := context.WithTimeout(e.ctx, requestTimeout.Duration())
		defer cancel()
		if err := e.pollEndpoint(ctx, vm); err != nil {
			e.log.Debug("endpoint does not report", zap.String("endpoint", string(vm.ID)), zap.Error(err))
		}
	})
}

func (e *Entry) pollEndpoint(ctx context.Context, vm spool.VM) error {
	var status wire.EndpointStatus
	if err := e.clients.Call(ctx, vm.Address, wire.MethodEndpointStatus, struct{}{}, &status, nil); err != nil {
		return err
	}
	e.endpoints.recordReport(spool.EndpointID(vm.ID), status)
	return nil
}

// expire ends the programs that their callers have abandoned and forgets those
// that ended long ago.
func (e *Entry) expirePrograms(shard *shard) {
	var records []spool.Record
	shard.do(func() {
		now := e.clock.Now()
		records = shard.state.Expire(now)
		shard.state.Forget(now - e.config.ForgetAfter)
	})
	if len(records) == 0 {
		return
	}
	e.telemetry.Event("programsExpired")
	if err := e.commit(shard.ctx, shard, records, false); err != nil {
		e.log.Warn("expiry was not recorded", zap.String("stream", string(shard.stream)), zap.Error(err))
	}
}

// renewalsPerLease is how often a lease is renewed before it would end.
const renewalsPerLease = 3

// renew renews the engine memory of all live programs, with one message per
// agent, and frees that of programs that have ended.
func (e *Entry) renewLeases() {
	due := e.clock.Now()-e.renewedAt >= e.leaseDuration()/renewalsPerLease
	if due {
		e.renewedAt = e.clock.Now()
	}
	requests := map[spool.EndpointID]*wire.RenewRequest{}
	requestFor := func(id spool.EndpointID) *wire.RenewRequest {
		if requests[id] == nil {
			requests[id] = &wire.RenewRequest{Entry: e.config.Node, LeaseFor: e.leaseDuration()}
		}
		return requests[id]
	}
	shards := e.shards.listServing()
	for _, shard := range shards {
		shard.do(func() {
			if due {
				shard.state.Live(func(view program.View) {
					if view.Endpoint != "" {
						renewal := requestFor(view.Endpoint)
						renewal.Programs = append(renewal.Programs, view.ID)
					}
				})
			}
			for id, endpoint := range shard.ended {
				renewal := requestFor(endpoint)
				renewal.Ended = append(renewal.Ended, id)
			}
		})
	}
	var vms []spool.VM
	for _, service := range e.control.Services() {
		for _, vm := range e.streams.Endpoints(service.Name) {
			if requests[spool.EndpointID(vm.ID)] != nil {
				vms = append(vms, vm)
			}
		}
	}
	e.forEachEndpoint(vms, func(vm spool.VM) {
		ctx, cancel := context.WithTimeout(e.ctx, requestTimeout.Duration())
		defer cancel()
		renewal := requests[spool.EndpointID(vm.ID)]
		if err := e.clients.Call(ctx, vm.Address, wire.MethodRenew, renewal, nil, nil); err != nil {
			return
		}
		for _, shard := range shards {
			shard.do(func() {
				for _, id := range renewal.Ended {
					delete(shard.ended, id)
				}
			})
		}
	})
	e.forgetEndedUnlisted(shards, vms)
}

// forgetUnlisted drops ended programs whose endpoint is gone; its memory is
// gone with it.
func (e *Entry) forgetEndedUnlisted(shards []*shard, vms []spool.VM) {
	listed := map[spool.EndpointID]bool{}
	for _, vm := range vms {
		listed[spool.EndpointID(vm.ID)] = true
	}
	for _, shard := range shards {
		shard.do(func() {
			for id, endpoint := range shard.ended {
				if !listed[endpoint] {
					delete(shard.ended, id)
				}
			}
		})
	}
}

func (e *Entry) leaseDuration() clock.Millis {
	if lease := e.control.Settings("", "").LeaseFor; lease > 0 {
		return lease
	}
	return defaultLeaseDuration
}
