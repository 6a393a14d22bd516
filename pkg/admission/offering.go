package admission

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// fullRejected is the part of the requests that must be rejected for the service to
	// count as full.
	fullRejected = 0.1
	// shedLoad is the load above which requests of overdue programs are refused. They would
	// fill the queues in which programs wait that can still finish in time.
	shedLoad = 1.75
	// For each time that all slots are taken once more than at hopelessLoad, a program needs
	// hopelessTurns turn times to be finished in time; it has some turns left, and each waits.
	// In trials with programs of 4 to 9 turns, fewer finished with 2 and 3 turn times.
	hopelessLoad  = 1.5
	hopelessTurns = 4
	// triesPerRound bounds the number of endpoints to which one request is sent in a round,
	// including endpoints that refuse it. pause is the delay before the second round, after
	// all endpoints tried in the first one were full; it doubles with each round, up to
	// maxPause. A slot usually becomes free within the duration of one request.
	triesPerRound = 5
	pause         = 15 * clock.Millis(1)
	maxPause      = 60 * clock.Millis(1)
	// The same while the service is full. A rejected offer costs a connection or the time of
	// a slot at the endpoint, so there are fewer, with longer pauses. In the longest one
	// about half of the slots become free.
	triesWhenFull    = 2
	pauseWhenFull    = 40 * clock.Millis(1)
	maxPauseWhenFull = 160 * clock.Millis(1)
	// newShare and begunShare are the shares of a request's remaining time during which new
	// rounds are started, for requests in general and for turns of programs that have
	// begun: those are offered for longer, because a refused turn ends its program. A
	// caller that is refused early has the time to return.
	newShare   = 0.4
	begunShare = 0.8
)

// Offering says how a request is offered again that found every endpoint full.
type Offering struct {
	// Tries bounds the number of endpoints in a round.
	Tries int
	// Pause is the time before the second round. It doubles with each further round, up to
	// MaxPause.
	Pause, MaxPause clock.Millis
	// TimeShare is the part of the request's time during which rounds begin. It is 0 if
	// the request cannot be answered in time and should be refused at once.
	TimeShare float64
}

// DefaultOffering returns how a request is offered to endpoints of which nothing is known.
func DefaultOffering() Offering {
	return Offering{Tries: triesPerRound, Pause: pause, MaxPause: maxPause, TimeShare: newShare}
}

// Offering returns how a request is offered to endpoints at present.
func (c *Controller) Offering(now clock.Millis, request Request) Offering {
	c.advance(now)
	o := DefaultOffering()
	if request.Begun && !request.Overdue {
		o.TimeShare = begunShare
	}
	if c.isHopeless(request) {
		o.TimeShare = 0
	}
	if !c.isFull(now) {
		return o
	}
	o.Tries, o.Pause, o.MaxPause = triesWhenFull, pauseWhenFull, maxPauseWhenFull
	if c.viewKnown && c.cannotFinish(request) {
		o.TimeShare = 0
	}
	return o
}

// isHopeless reports whether the program of a request will be late, while others wait that
// can still finish in time. Just above shedLoad only a part of the programs is given up, so
// that a chance peak of the load does not end them all.
func (c *Controller) isHopeless(request Request) bool {
	if !c.isAbove(shedLoad + c.random()) {
		return false
	}
	queues := max(0, c.estimate.load()-hopelessLoad)
	return request.Overdue || request.FinishIn > 0 && request.FinishIn < clock.Millis(queues*hopelessTurns*float64(c.estimate.turnTime()))
}

// isAbove reports whether the load is known from all gateways and above a value.
func (c *Controller) isAbove(value float64) bool {
	return c.viewKnown && c.estimate.load() > value
}

// isFull reports whether endpoints reject a part of the requests for lack of room.
func (c *Controller) isFull(now clock.Millis) bool {
	if c.viewKnown {
		return c.estimate.rejectedShare() > fullRejected
	}
	return !c.fallback.Unlimited(now)
}

// cannotFinish reports whether the time of a request is too short for the wait in a
// queue. It assumes half of the mean wait, since waits differ between endpoints and urgent
// requests overtake others.
func (c *Controller) cannotFinish(request Request) bool {
	return request.TimeLeft < c.estimate.turnTime()+c.estimate.queueTime()/2
}
