package quota

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// account is the state of one client account at this entry.
type account struct {
	// config is the configuration that was last passed to share and owner. It is
	// compared with a new one because passing the same configuration again would
	// restart the growth delay of their allocations.
	config limit.Config
	share  *limit.Share
	queue  *limit.Queue
	owner  *limit.Owner
	// epoch is the epoch of the claim under which this entry owns the pool of the
	// account; 0 if it does not own the pool.
	epoch spool.Epoch
	// releasedLevel is the number of tokens in the pool when this entry released it
	// under the claim with epoch releasedEpoch. Both are 0 if this entry has never
	// released the pool while it was allowed to grant.
	releasedLevel float64
	releasedEpoch spool.Epoch
}

// message is an input of the loop. apply runs in the goroutine of the loop.
type message interface {
	apply(m *Manager, now clock.Millis)
}

// admission requests one token for a request of an account.
type admission struct {
	account spool.AccountID
	class   limit.Class
	// id identifies the admission in the queue of the account; the loop sets it.
	id string
	// done receives one value: nil if the request is admitted, otherwise a
	// *spool.Refusal.
	done chan error
}

// cancellation removes an admission from the queue because its caller has stopped
// waiting.
type cancellation struct{ admission *admission }

// leaseCall is a request for tokens, sent by another entry or by this one, from a
// pool that this entry owns.
type leaseCall struct {
	request wire.LeaseRequest
	reply   chan limit.Grant
}

// grantReceived is the owner's answer to a request for tokens of this entry.
type grantReceived struct {
	account spool.AccountID
	grant   limit.Grant
}

// leaseFailed reports that a request for tokens of this entry failed or was not
// answered.
type leaseFailed struct {
	account  spool.AccountID
	sequence uint64
}

func (a *admission) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, a.account)
	a.id = m.nextID()
	decision, queued := state.queue.SubmitAs(now, a.id, a.class)
	m.sendRequest(decision.Request)
	switch {
	case decision.Admitted:
		a.done <- nil
	case queued:
		m.queued[a.id] = a
	default:
		a.done <- m.rateLimitRefusal(a.account, decision.RetryAfter)
	}
}

func (c cancellation) apply(m *Manager, now clock.Millis) {
	if _, isQueued := m.queued[c.admission.id]; !isQueued {
		return
	}
	delete(m.queued, c.admission.id)
	m.currentAccount(now, c.admission.account).queue.Remove(c.admission.id)
}

func (c leaseCall) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, c.request.Account)
	c.reply <- state.owner.Lease(now, limit.Request{
		Account: c.request.Account, Node: c.request.Node, Sequence: c.request.Sequence,
		Requested: c.request.Requested, Returned: c.request.Returned, Epoch: c.request.Epoch, Urgent: c.request.Urgent, MaxDelay: c.request.MaxDelay,
	})
}

func (g grantReceived) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, g.account)
	state.share.HandleGrant(now, g.grant)
	if onShort := m.config.OnShortGrant; onShort != nil && g.grant.RetryAfter > 0 && !g.grant.Withheld {
		onShort(g.account)
	}
	m.advanceQueue(now, state, g.account)
}

func (l leaseFailed) apply(m *Manager, now clock.Millis) {
	m.currentAccount(now, l.account).share.HandleLoss(now, l.sequence)
}

// currentAccount returns the state of an account. It first applies the versions
// that have arrived and then updates the freshness and the ownership of the
// account.
func (m *Manager) currentAccount(now clock.Millis, id spool.AccountID) *account {
	age := m.stateAge()
	m.applyVersions(now)
	state := m.ensureAccount(now, id)
	m.refresh(now, age, id, state)
	return state
}

// ensureAccount returns the state of an account and creates it if there is none
// yet.
func (m *Manager) ensureAccount(now clock.Millis, id spool.AccountID) *account {
	state := m.accounts[id]
	if state == nil {
		config := m.limitsFor(id)
		share := limit.NewShare(now, id, m.config.Node, m.config.Timing, config)
		share.SetView(now, m.members)
		state = &account{
			config: config, share: share, queue: limit.NewQueue(share), owner: limit.NewOwner(m.config.Timing, config),
		}
		m.accounts[id] = state
	}
	return state
}

func (m *Manager) limitsFor(id spool.AccountID) limit.Config {
	if config, ok := m.limits[id]; ok {
		return config
	}
	return m.defaultLimits
}

// refresh sets the time until which the account's static allocation may be used and
// its pool may grant, and updates the ownership of the pool. age is the age of the
// control state. It must have been read before the pending versions were applied:
// an age that is read later may be that of a newer version that has not been
// applied yet.
func (m *Manager) refresh(now, age clock.Millis, id spool.AccountID, state *account) {
	if age >= 0 {
		state.share.SetFreshUntil(now, now-age+m.config.Timing.View)
		state.owner.SetFreshUntil(now, now-age+m.config.Timing.View)
	}
	m.updateOwnership(now, id, state)
}

// applyVersions applies the versions that have been passed to Observe since the
// last call, in order.
func (m *Manager) applyVersions(now clock.Millis) {
	m.versionsMu.Lock()
	versions := m.versions
	m.versions = nil
	m.versionsMu.Unlock()
	for _, version := range versions {
		m.applyVersion(now, version)
	}
}

func (m *Manager) applyVersion(now clock.Millis, version Version) {
	m.defaultLimits = version.DefaultLimits
	maps.Copy(m.limits, version.Limits)
	membersChanged := version.Skipped || version.Members != nil && !slices.Equal(version.Members, m.members)
	if version.Members != nil {
		m.members = version.Members
	}
	// Create the accounts now, before their first request, because a new owner of a
	// pool must wait before it grants.
	for id := range version.Limits {
		m.ensureAccount(now, id)
	}
	for id, state := range m.accounts {
		// A skipped version may have had smaller allocations. All allocations are
		// therefore reset to zero, from which they grow after the growth delay.
		if version.Skipped {
			state.share.SetView(now, nil)
			state.configure(now, limit.Config{})
		}
		if config := m.limitsFor(id); config != state.config {
			state.configure(now, config)
		}
		if membersChanged {
			state.share.SetView(now, m.members)
		}
		if version.Resumed {
			state.share.Resume(now)
		}
	}
}

func (a *account) configure(now clock.Millis, config limit.Config) {
	a.config = config
	a.share.Configure(now, config)
	a.owner.Configure(now, config)
}

// release ends the ownership of the pool. If this entry was allowed to grant, it
// keeps the level for the next owner.
func (a *account) release(now clock.Millis) {
	if level, ok := a.owner.Release(now); ok {
		a.releasedLevel, a.releasedEpoch = level, a.epoch
	}
	a.epoch = 0
}

// updateOwnership compares the ownership of the account's pool with that of its
// stream: it takes over or releases the pool if they differ, and renews the
// authority of an owner.
func (m *Manager) updateOwnership(now clock.Millis, id spool.AccountID, state *account) {
	stream := spool.StreamOfAccount(id, m.config.StreamCount)
	epoch, owned := m.streams.Epoch(stream)
	owned = owned && m.released[stream] != epoch
	switch {
	case !owned && state.epoch != 0:
		state.release(now)
	case owned && epoch != state.epoch:
		m.takeOver(now, stream, epoch, id, state.owner)
		state.epoch = epoch
	}
	if confirmedUntil, ok := m.streams.ConfirmedUntil(stream); owned && ok {
		state.owner.SetAuthorityUntil(now, confirmedUntil+m.config.Timing.Authority)
	}
	state.owner.Tick(now)
}

// tick applies pending versions and the passage of time to every account.
func (m *Manager) tick(now clock.Millis) {
	age := m.stateAge()
	m.applyVersions(now)
	for id, state := range m.accounts {
		m.refresh(now, age, id, state)
		m.advanceQueue(now, state, id)
	}
}

// advanceQueue answers the queued requests of an account that are now admitted or
// refused.
func (m *Manager) advanceQueue(now clock.Millis, state *account, id spool.AccountID) {
	outcomes, request := state.queue.Advance(now)
	m.sendRequest(request)
	for _, outcome := range outcomes {
		admission := m.queued[outcome.ID]
		if admission == nil {
			continue
		}
		delete(m.queued, outcome.ID)
		if outcome.Admitted {
			admission.done <- nil
			continue
		}
		admission.done <- m.rateLimitRefusal(id, outcome.RetryAfter)
	}
}

// sendRequest sends a request to the owner of the pool in the background; nil is
// ignored.
func (m *Manager) sendRequest(request *limit.Request) {
	if request != nil {
		m.requestLease(*request)
	}
}
