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
	// requestTimeout is the timeout of one background request to an agent.
	requestTimeout = 2 * clock.Second
	// defaultLeaseDuration is the duration of a lease on a program's engine memory
	// if the settings specify none.
	defaultLeaseDuration = 30 * clock.Second
)

// startBackground starts the periodic tasks: polling the endpoints every
// StatusEvery; expiring idle programs, resolving in-doubt calls and renewing leases
// every RenewEvery. They stop when e.ctx ends.
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

// runEvery starts a goroutine that calls work once per interval until e.ctx
// ends. If work runs for longer than the interval, calls are skipped.
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

// forEachEndpoint runs work for every endpoint in vms on the background pool and
// waits until all have returned.
func (e *Entry) forEachEndpoint(vms []spool.VM, work func(spool.VM)) {
	group := e.backgroundPool.NewGroup()
	for _, vm := range vms {
		group.Submit(func() { work(vm) })
	}
	_ = group.Wait()
}

// pollEndpoints requests a load report from at most StatusPolls endpoints, those
// whose last report or poll is oldest. It also deletes the states of endpoints that
// no service lists any more.
func (e *Entry) pollEndpoints() {
	var vms []spool.VM
	listed := map[spool.EndpointID]bool{}
	for _, service := range e.control.Services() {
		candidates := e.candidatesOf(service.Name)
		vms = append(vms, candidates.selected...)
		for id := range candidates.all {
			listed[id] = true
		}
	}
	e.endpoints.retain(listed)
	e.forEachEndpoint(e.endpoints.selectForPoll(vms, e.config.StatusPolls), func(vm spool.VM) {
		ctx, cancel := context.WithTimeout(e.ctx, requestTimeout.Duration())
		defer cancel()
		if err := e.pollEndpoint(ctx, vm); err != nil {
			e.log.Debug("endpoint did not answer a status request", zap.String("endpoint", string(vm.ID)), zap.Error(err))
		}
	})
}

// pollEndpoint requests a load report from the agent of one endpoint and records
// it.
func (e *Entry) pollEndpoint(ctx context.Context, vm spool.VM) error {
	var status wire.EndpointStatus
	if err := e.clients.Call(ctx, vm.Address, wire.MethodEndpointStatus, struct{}{}, &status, nil); err != nil {
		return err
	}
	e.endpoints.recordReport(spool.EndpointID(vm.ID), status)
	return nil
}

// expirePrograms ends the programs of a shard that have been idle for longer than
// their idle timeout. It also deletes each program tree whose root program ended
// more than ForgetAfter ago and whose calls have released their reservations.
func (e *Entry) expirePrograms(shard *shard) {
	var records []spool.Record
	shard.do(func() {
		now := e.clock.Now()
		records = shard.state.ExpiryRecords(now)
		shard.state.Forget(now - e.config.ForgetAfter)
	})
	if len(records) == 0 {
		return
	}
	e.telemetry.CountEvent("programsExpired")
	if err := e.commit(shard.ctx, shard, records, false); err != nil {
		e.log.Warn("expiry of idle programs was not recorded", zap.String("stream", string(shard.stream)), zap.Error(err))
	}
}

// renewalsPerLease is the number of renewals within the duration of one lease.
const renewalsPerLease = 3

// renewLeases asks the agents to free the engine memory of ended programs. If a
// third of the lease duration has passed since the last renewal, it also renews the
// leases on the engine memory of all live programs. It sends each agent at most
// one message. If an agent does not answer, the next run sends it the ended
// programs again; the leases are renewed again only when that is due.
func (e *Entry) renewLeases() {
	due := e.clock.Now()-e.renewedAt >= e.leaseDuration()/renewalsPerLease
	if due {
		e.renewedAt = e.clock.Now()
	}
	requests := map[spool.EndpointID]*wire.RenewRequest{}
	requestFor := func(id spool.EndpointID) *wire.RenewRequest {
		if requests[id] == nil {
			requests[id] = &wire.RenewRequest{Entry: e.config.Node, LeaseDuration: e.leaseDuration()}
		}
		return requests[id]
	}
	shards := e.shards.listServing()
	for _, shard := range shards {
		shard.do(func() {
			if due {
				shard.state.EachLive(func(view program.View) {
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

// forgetEndedUnlisted deletes from shard.ended the programs whose endpoint is not
// in vms: an endpoint that has left has no memory to free.
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

// leaseDuration returns the duration of a lease on a program's engine memory: the
// one in the deployment-wide settings, or defaultLeaseDuration if that is 0.
func (e *Entry) leaseDuration() clock.Millis {
	if lease := e.control.Settings("", "").LeaseDuration; lease > 0 {
		return lease
	}
	return defaultLeaseDuration
}
