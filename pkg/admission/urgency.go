package admission

import "github.com/baobabspool/baobabspool/pkg/clock"

// Levels of urgency. Engines know the levels from 0, the most urgent, to 9. Few levels are
// used, because an engine without memory preempts less urgent requests for more urgent
// ones, and reads their prompts again. Turns of programs that have begun come before new
// programs, whose prompts are the shortest and cheapest to read again.
const (
	// levelTight is for programs that have begun and have little slack, levelBegun for the
	// others that have begun.
	levelTight = 1
	levelBegun = 2
	// levelNew is for new programs.
	levelNew = 5
	// lowPriority is added for programs of other priorities than 0. Programs of priority 0
	// that have begun thus come before all others, and before new ones of their priority.
	lowPriority = 2
	// levelLast is for requests that will be late in any case.
	levelLast = 9
)

// tightTurns is the number of turn times below which the slack of a program is little: it
// cannot wait for others in a queue of the target load in more than a few turns.
const tightTurns = 3

// Request describes a request of a program for its urgency and its offers.
type Request struct {
	// Priority is 0 for the most urgent accounts and routes.
	Priority int
	// Begun tells whether a turn of the program has run before.
	Begun bool
	// FinishIn is the time within which the program should be finished; 0 if unknown.
	FinishIn clock.Millis
	// Overdue tells that this time has passed.
	Overdue bool
	// TimeLeft is the time for which the caller waits for this request.
	TimeLeft clock.Millis
}

// Urgency returns the urgency level of a request, from 0 for the most urgent to 9.
func (c *Controller) Urgency(now clock.Millis, request Request) int {
	if !c.usesSlack {
		return min(levelLast, max(0, request.Priority))
	}
	c.advance(now)
	turn := c.estimate.turnTime()
	isTight := request.FinishIn > 0 && request.FinishIn < tightTurns*turn
	extra := 0
	if request.Priority > 0 {
		extra = lowPriority
	}
	switch {
	case request.Overdue || request.TimeLeft < turn/2 || isTight && c.isAbove(shedLoad):
		return levelLast
	case request.Begun && isTight:
		return levelTight + extra
	case request.Begun:
		return levelBegun + extra
	default:
		return levelNew + extra
	}
}
