package quota

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// account is one account's state at this entry.
type account struct {
	// config is what share and owner have been told last. Telling them again
	// would put off the growth of their parts.
	config limit.Config
	share  *limit.Share
	line   *limit.Line
	owner  *limit.Owner
	// epoch is the claim under which this entry owns the pool; 0 when it does not.
	epoch spool.Epoch
	// left is what the pool held when this entry stopped owning it under leftEpoch; 0
	// for none.
	left      float64
	leftEpoch spool.Epoch
}

// message is an input of the loop.
type message interface {
	apply(m *Manager, now clock.Millis)
}

// admission asks for one token.
type admission struct {
	account spool.AccountID
	class   limit.Class
	// id is given by the loop.
	id   string
	done chan error
}

// departure withdraws an admission that was held.
type departure struct{ admission *admission }

// leaseQuestion is another entry's request for tokens.
type leaseQuestion struct {
	request wire.LeaseRequest
	answer  chan limit.Grant
}

// granted is the answer of a pool's owner.
type granted struct {
	account spool.AccountID
	grant   limit.Grant
}

// leaseLost says that a request for tokens was not answered.
type leaseLost struct {
	account  spool.AccountID
	sequence uint64
}

func (a *admission) apply(m *Manager, now clock.Millis) {
	state := m.account(now, a.account)
	a.id = m.nextID()
	decision, held := state.line.EnterAs(now, a.id, a.class)
	m.send(decision.Ask)
	switch {
	case decision.Admitted:
		a.done <- nil
	case held:
		m.waiting[a.id] = a
	default:
		a.done <- m.refuse(a.account, decision.RetryAfter)
	}
}

func (d departure) apply(m *Manager, now clock.Millis) {
	if _, held := m.waiting[d.admission.id]; !held {
		return
	}
	delete(m.waiting, d.admission.id)
	m.account(now, d.admission.account).line.Remove(d.admission.id)
}

func (q leaseQuestion) apply(m *Manager, now clock.Millis) {
	state := m.account(now, q.request.Account)
	q.answer <- state.owner.Lease(now, limit.Request{
		Account: q.request.Account, Node: q.request.Node, Sequence: q.request.Sequence,
		Want: q.request.Want, Returned: q.request.Returned, Epoch: q.request.Epoch, Urgent: q.request.Urgent,
	})
}

func (g granted) apply(m *Manager, now clock.Millis) {
	state := m.account(now, g.account)
	state.share.Granted(now, g.grant)
	if short := m.config.Short; short != nil && g.grant.RetryAfter > 0 {
		short(g.account)
	}
	m.advance(now, state, g.account)
}

func (l leaseLost) apply(m *Manager, now clock.Millis) {
	m.account(now, l.account).share.Lost(now, l.sequence)
}

// account returns the state of an account, brought up to date.
func (m *Manager) account(now clock.Millis, id spool.AccountID) *account {
	age := m.freshFor()
	m.learn(now)
	state := m.open(now, id)
	m.refresh(now, age, id, state)
	return state
}

// open returns the state of an account, new or not.
func (m *Manager) open(now clock.Millis, id spool.AccountID) *account {
	state := m.accounts[id]
	if state == nil {
		config := m.limitsOf(id)
		share := limit.NewShare(now, id, m.config.Node, m.config.Timing, config)
		share.View(now, m.members)
		state = &account{
			config: config, share: share, line: limit.NewLine(share), owner: limit.NewOwner(m.config.Timing, config),
		}
		m.accounts[id] = state
	}
	return state
}

func (m *Manager) limitsOf(id spool.AccountID) limit.Config {
	if config, ok := m.limits[id]; ok {
		return config
	}
	return m.others
}

// refresh passes freshness and ownership on. age must have been read before the
// versions were taken in.
func (m *Manager) refresh(now, age clock.Millis, id spool.AccountID, state *account) {
	if age >= 0 {
		state.share.Fresh(now, now-age+m.config.Timing.View)
		state.owner.Fresh(now, now-age+m.config.Timing.View)
	}
	m.own(now, id, state)
}

// learn takes in the versions that have arrived, in their order.
func (m *Manager) learn(now clock.Millis) {
	m.versionsMu.Lock()
	versions := m.versions
	m.versions = nil
	m.versionsMu.Unlock()
	for _, version := range versions {
		m.take(now, version)
	}
}

func (m *Manager) take(now clock.Millis, version Version) {
	m.others = version.Others
	maps.Copy(m.limits, version.Limits)
	moved := version.Skipped || version.Members != nil && !slices.Equal(version.Members, m.members)
	if version.Members != nil {
		m.members = version.Members
	}
	// An account is opened before its first request, since its pool's owner must
	// wait before it grants.
	for id := range version.Limits {
		m.open(now, id)
	}
	for id, state := range m.accounts {
		if version.Skipped {
			state.share.View(now, nil)
			state.configure(now, limit.Config{})
		}
		if config := m.limitsOf(id); config != state.config {
			state.configure(now, config)
		}
		if moved {
			state.share.View(now, m.members)
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
		a.left, a.leftEpoch = level, a.epoch
	}
	a.epoch = 0
}

// own follows the ownership of the account's pool.
func (m *Manager) own(now clock.Millis, id spool.AccountID, state *account) {
	stream := spool.StreamOfAccount(id, m.config.StreamCount)
	epoch, serves := m.streams.Epoch(stream)
	serves = serves && m.left[stream] != epoch
	switch {
	case !serves && state.epoch != 0:
		state.release(now)
	case serves && epoch != state.epoch:
		m.takeOver(now, stream, epoch, id, state.owner)
		state.epoch = epoch
	}
	if until, ok := m.streams.Confirmed(stream); serves && ok {
		state.owner.Authority(now, until+m.config.Timing.Authority)
	}
	state.owner.Tick(now)
}

// tick lets time pass for every account.
func (m *Manager) tick(now clock.Millis) {
	age := m.freshFor()
	m.learn(now)
	for id, state := range m.accounts {
		m.refresh(now, age, id, state)
		m.advance(now, state, id)
	}
}

// advance settles the held requests of an account.
func (m *Manager) advance(now clock.Millis, state *account, id spool.AccountID) {
	outcomes, ask := state.line.Advance(now)
	m.send(ask)
	for _, outcome := range outcomes {
		held := m.waiting[outcome.ID]
		if held == nil {
			continue
		}
		delete(m.waiting, outcome.ID)
		if outcome.Admitted {
			held.done <- nil
			continue
		}
		held.done <- m.refuse(id, outcome.RetryAfter)
	}
}

func (m *Manager) send(request *limit.Request) {
	if request != nil {
		m.ask(*request)
	}
}
