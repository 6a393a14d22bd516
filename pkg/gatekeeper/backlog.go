package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// serviceTimeWeight is the weight of the newest call in the moving average of
	// the service time.
	serviceTimeWeight = 0.1
	// startIntervalWeight is the same for the time between two starts.
	startIntervalWeight = 0.2
)

// Backlog estimates how long calls wait in front of an endpoint, from the rates
// at which it has served them. A call that begins a program waits behind calls
// that have not arrived yet, those of the programs that have begun, so its wait
// follows from the rate of such starts and not from the rate of calls.
type Backlog struct {
	// perCall is the moving average of the service time in milliseconds.
	perCall float64
	// perStart is that of the time between two starts while starts waited.
	perStart float64
	// starts counts the waiting calls that begin a program.
	starts int
	// startedAt is when the last one was served, or when the first one of the
	// waiting arrived.
	startedAt clock.Millis
}

// NewBacklog returns an estimate that assumes a service time until the first
// call has ended.
func NewBacklog(expectedCall float64) Backlog { return Backlog{perCall: expectedCall} }

// Pushed notes a call that begins to wait.
func (b *Backlog) Pushed(now clock.Millis, call spool.CallView) {
	if !call.Start() {
		return
	}
	if b.starts == 0 {
		b.startedAt = now
	}
	b.starts++
}

// Popped notes a call that no longer waits. served is false when it was taken
// out without being served.
func (b *Backlog) Popped(now clock.Millis, call spool.CallView, served bool) {
	if !call.Start() {
		return
	}
	b.starts--
	if served {
		b.perStart += startIntervalWeight * (float64(now-b.startedAt) - b.perStart)
		b.startedAt = now
	}
}

// Ended takes the service time of a call in.
func (b *Backlog) Ended(took float64) { b.perCall += serviceTimeWeight * (took - b.perCall) }

// MillisPerCall is the moving average of the service time.
func (b *Backlog) MillisPerCall() float64 { return b.perCall }

// Starts counts the waiting calls that begin a program.
func (b *Backlog) Starts() int { return b.starts }

// DrainTime is the time in which a window of calls at a time ends that many.
func (b *Backlog) DrainTime(calls, window int) clock.Millis {
	if calls <= 0 {
		return 0
	}
	return max(clock.Millis(b.perCall*float64(calls)/float64(max(window, 1))), 1)
}

// Wait estimates the wait of a call that arrives now. ahead counts the waiting
// calls that go before it.
func (b *Backlog) Wait(now clock.Millis, call spool.CallView, ahead, running, window int) clock.Millis {
	wait := b.DrainTime(running+ahead+1-window, window)
	if !call.Start() || b.starts == 0 {
		return wait
	}
	interval := max(b.perStart, float64(now-b.startedAt))
	return max(wait, clock.Millis(interval*float64(b.starts+1)))
}
