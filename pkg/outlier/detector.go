// Package outlier decides which endpoints of a service are not used for a while, because
// they fail or are late compared with the other endpoints of the service. It takes the time
// as an argument and does no input or output.
package outlier

import (
	"slices"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// MaxEjectedShare bounds the instances of a service that are ejected or on probation. It
	// is rounded down, so that services with up to three endpoints keep all of them.
	MaxEjectedShare = 0.3
	// usableLoad is the part of the slots up to which the other instances may be loaded by an
	// ejection. An instance that fails a part of its requests answers the others, which is
	// better than a queue in which all requests are late.
	usableLoad = 0.8
	// judgeInterval is the least time between two judgements of a service.
	judgeInterval = 100 * clock.Millis(1)
	// defaultViewWindow is the time in which a result counts 1/e in the counters of a
	// load.View. A wrong value shifts the weight of good results only: see evidence.
	defaultViewWindow = 2 * clock.Second
	// stateRetention is how long an instance is remembered that is no member. Records of
	// endpoints come and go in an outage; its history must not end with them.
	stateRetention = clock.Minute
)

// State says how an instance may be used.
type State int

const (
	// InUse is an instance without restriction.
	InUse State = iota
	// Probation is an instance that gets single requests, one at a time.
	Probation
	// Ejected is an instance that gets no requests.
	Ejected
)

// Member is an instance of a service that may get requests, apart from the detector.
type Member struct {
	Instance load.Instance
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Domain is the failure domain in which the instance runs.
	Domain spool.FailureDomain
}

// Detector judges the instances of all services from the results of the requests of its
// gateway, which it gets as a load.Observer, and from a load.View. It is safe for concurrent
// use.
type Detector struct {
	view       load.View
	viewWindow clock.Millis
	report     func(Event)
	// seed differs between gateways, so that they do not probe an instance together.
	seed string

	mu       sync.Mutex
	gateways int
	services map[spool.ServiceName]*service
}

var _ load.Observer = (*Detector)(nil)

// Option changes a Detector during New.
type Option func(*Detector)

// WithReport sets a function that is called for each change. It is called under the lock of
// the detector, so that it must neither block nor call the detector.
func WithReport(report func(Event)) Option {
	return func(d *Detector) { d.report = report }
}

// WithSeed sets a text that differs between gateways.
func WithSeed(seed string) Option {
	return func(d *Detector) { d.seed = seed }
}

// WithViewWindow sets the time in which a result counts 1/e in the counters of the view.
func WithViewWindow(window clock.Millis) Option {
	return func(d *Detector) { d.viewWindow = window }
}

// New returns a detector without history. view may be nil. It is called under the lock of the
// detector, which endpoints.Table calls under its own, so that it must call neither.
func New(view load.View, options ...Option) *Detector {
	d := &Detector{
		view: view, viewWindow: defaultViewWindow, report: func(Event) {}, gateways: 1,
		services: map[spool.ServiceName]*service{},
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// SetGatewayCount sets the number of gateways, which share the probes of an instance.
func (d *Detector) SetGatewayCount(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways = max(1, count)
}

// SetLoad sets the part of the slots of a service that is in use; 0, if it is never called.
func (d *Detector) SetLoad(name spool.ServiceName, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(name).load = load
}

// Started implements load.Observer.
func (d *Detector) Started(now clock.Millis, name spool.ServiceName, id load.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.service(name).instance(now, id)
	i.inFlight++
	i.nextProbe = now + d.probeSpacing()
}

// Ended implements load.Observer.
func (d *Detector) Ended(now clock.Millis, name spool.ServiceName, id load.Instance, sample load.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	i := s.instance(now, id)
	i.inFlight = max(0, i.inFlight-1)
	if sample.Outcome != load.Good && sample.Outcome != load.Failed {
		return
	}
	i.own.record(now, sample)
	if sample.Outcome == load.Failed {
		i.isTrusted = false
	}
	s.isUrgent = s.isUrgent || i.state == InUse && sample.Outcome == load.Failed && s.isFailing(now, i)
	if i.stateAt(now) == Probation {
		d.recordProbe(now, s, i, sample)
	}
}

// Due reports whether the service should be judged: judgeInterval has passed, or own results
// suffice for an ejection.
func (d *Detector) Due(now clock.Millis, name spool.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(name).isDue(now)
}

// Judge decides anew about the instances of a service. It does nothing if the service is not
// due. Instances that are no members keep their history for stateRetention.
func (d *Detector) Judge(now clock.Millis, name spool.ServiceName, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	if !s.isDue(now) {
		return
	}
	s.judgedAt, s.isUrgent = now, false
	s.members = s.members[:0]
	for _, member := range members {
		i := s.instance(now, member.Instance)
		i.seenAt, i.slots, i.domain = now, max(1, member.Slots), member.Domain
		i.observe(now, d.stats(now, member.Instance), d.viewWindow)
		s.members = append(s.members, i)
	}
	s.updateMedians()
	s.updateCommonFailures(now)
	for _, i := range s.members {
		i.updateLateness(now, s)
		d.advance(now, s, i)
	}
	d.ejectWorst(now, s)
	s.forgetOld(now)
}

// Allows reports whether an instance may get a request now. isRepeatable says whether the
// request may run at another endpoint if it fails; on probation, others wait for repeatDelay.
func (d *Detector) Allows(now clock.Millis, name spool.ServiceName, id load.Instance, isRepeatable bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.service(name).instances[id]
	if i == nil {
		return true
	}
	switch i.stateAt(now) {
	case Ejected:
		return false
	case Probation:
		return i.inFlight == 0 && (now >= i.nextProbe+repeatDelay || isRepeatable && now >= i.nextProbe)
	default:
		return true
	}
}

// State returns how an instance may be used, and until when it is ejected; 0 if it is not.
func (d *Detector) State(now clock.Millis, name spool.ServiceName, id load.Instance) (state State, until clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.service(name).instances[id]
	if i == nil {
		return InUse, 0
	}
	state = i.stateAt(now)
	if state == Ejected {
		until = i.until
	}
	return state, until
}

func (d *Detector) service(name spool.ServiceName) *service {
	s := d.services[name]
	if s == nil {
		s = newService(name)
		d.services[name] = s
	}
	return s
}

func (d *Detector) stats(now clock.Millis, id load.Instance) load.Stats {
	if d.view == nil {
		return load.Stats{}
	}
	return d.view.Instance(now, id)
}

// ejectWorst ejects the worst candidates, as far as maxEjected allows. Instances that
// fail displace those that are only late.
func (d *Detector) ejectWorst(now clock.Millis, s *service) {
	var candidates, held []*instance
	for _, i := range s.members {
		switch {
		case i.state != InUse:
			held = append(held, i)
		case s.causeAgainst(now, i) != "":
			candidates = append(candidates, i)
		}
	}
	free := s.maxEjected() - len(held)
	slices.SortStableFunc(candidates, func(a, b *instance) int { return s.compareSeverity(now, b, a) })
	slices.SortStableFunc(held, func(a, b *instance) int { return compareCauses(a.cause, b.cause) })
	for ; free < 0 && len(held) > 0; free++ {
		d.release(now, s, held[0], KindDisplaced)
		held = held[1:]
	}
	for _, i := range candidates {
		cause := s.causeAgainst(now, i)
		if free == 0 {
			if len(held) == 0 || compareCauses(held[0].cause, cause) >= 0 {
				return
			}
			d.release(now, s, held[0], KindDisplaced)
			held = held[1:]
			free++
		}
		i.isShared = cause == CauseFailures && i.own.score.value < maxScore
		d.eject(now, s, i, cause)
		free--
	}
}
