package quota

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// account is the state of one account at this entry.
type account struct {
	// config is the configuration last passed to share and owner. Passing it again
	// would delay the growth of their allocations.
	config limit.Config
	share  *limit.Share
	queue  *limit.Queue
	owner  *limit.Owner
	// epoch is the epoch of the claim under which this entry owns the pool; 0 if it
	// does not.
	epoch spool.Epoch
	// releasedLevel is the level of the pool when this entry stopped owning it
	// under releasedEpoch. Both are 0 if there was no such release.
	releasedLevel float64
	releasedEpoch spool.Epoch
}

// message is an input of the loop.
type message interface {
	apply(m *Manager, now clock.Millis)
}

// admission is a request for one token.
type admission struct {
	account spool.AccountID
	class   limit.Class
	// id is assigned by the loop.
	id   string
	done chan error
}

// cancellation withdraws a queued admission.
type cancellation struct{ admission *admission }

// leaseCall is another entry's request for tokens.
type leaseCall struct {
	request wire.LeaseRequest
	reply   chan limit.Grant
}

// grantReceived is the answer of a pool's owner.
type grantReceived struct {
	account spool.AccountID
	grant   limit.Grant
}

// leaseFailed reports that a request for tokens was not answered.
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

func (d cancellation) apply(m *Manager, now clock.Millis) {
	if _, isQueued := m.queued[d.admission.id]; !isQueued {
		return
	}
	delete(m.queued, d.admission.id)
	m.currentAccount(now, d.admission.account).queue.Remove(d.admission.id)
}

func (c leaseCall) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, c.request.Account)
	c.reply <- state.owner.Lease(now, limit.Request{
		Account: c.request.Account, Node: c.request.Node, Sequence: c.request.Sequence,
		Requested: c.request.Requested, Returned: c.request.Returned, Epoch: c.request.Epoch, Urgent: c.request.Urgent,
	})
}

func (g grantReceived) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, g.account)
	state.share.HandleGrant(now, g.grant)
	if onShort := m.config.OnShortGrant; onShort != nil && g.grant.RetryAfter > 0 {
		onShort(g.account)
	}
	m.advanceQueue(now, state, g.account)
}

func (l leaseFailed) apply(m *Manager, now clock.Millis) {
	m.currentAccount(now, l.account).share.HandleLoss(now, l.sequence)
}

// currentAccount returns the state of an account after applying pending versions,
// freshness and ownership.
func (m *Manager) currentAccount(now clock.Millis, id spool.AccountID) *account {
	age := m.stateAge()
	m.applyVersions(now)
	state := m.ensureAccount(now, id)
	m.refresh(now, age, id, state)
	return state
}

// ensureAccount returns the state of an account, which it creates if necessary.
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

// refresh passes freshness and ownership to an account. age must have been read
// before pending versions were applied.
func (m *Manager) refresh(now, age clock.Millis, id spool.AccountID, state *account) {
	if age >= 0 {
		state.share.SetFreshUntil(now, now-age+m.config.Timing.View)
		state.owner.SetFreshUntil(now, now-age+m.config.Timing.View)
	}
	m.updateOwnership(now, id, state)
}

// applyVersions applies the versions that have arrived, in order.
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
	// Create accounts before their first request, because the owner of a pool must
	// wait before it grants.
	for id := range version.Limits {
		m.ensureAccount(now, id)
	}
	for id, state := range m.accounts {
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

// release ends the ownership of the pool and keeps its level for the next owner.
func (a *account) release(now clock.Millis) {
	if level, ok := a.owner.Release(now); ok {
		a.releasedLevel, a.releasedEpoch = level, a.epoch
	}
	a.epoch = 0
}

// updateOwnership follows the ownership of the account's stream: it takes over or
// releases the pool and renews its authority.
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
	if until, ok := m.streams.ConfirmedUntil(stream); owned && ok {
		state.owner.SetAuthorityUntil(now, until+m.config.Timing.Authority)
	}
	state.owner.Tick(now)
}

// tick applies the passage of time to every account.
func (m *Manager) tick(now clock.Millis) {
	age := m.stateAge()
	m.applyVersions(now)
	for id, state := range m.accounts {
		m.refresh(now, age, id, state)
		m.advanceQueue(now, state, id)
	}
}

// advanceQueue completes the queued requests of an account that have an outcome.
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

func (m *Manager) sendRequest(request *limit.Request) {
	if request != nil {
		m.requestLease(*request)
	}
}
