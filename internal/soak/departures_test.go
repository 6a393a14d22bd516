package soak_test

import (
	"sync"
	"time"
)

// drainTime is the time of the settings after which an endpoint that leaves must get no
// requests.
const drainTime = 2 * time.Second

// departure is an endpoint as one gateway sees it.
type departure struct{ front, endpoint string }

// departures contains when a gateway first passed on an answer that says that an endpoint
// leaves.
type departures struct {
	mu    sync.Mutex
	known map[departure]time.Time
	// startedAt contains when a gateway, by its address, or an endpoint last started. Answers
	// to requests that were sent before are of an earlier process.
	startedAt map[string]time.Time
}

func newDepartures() *departures {
	return &departures{known: map[departure]time.Time{}, startedAt: map[string]time.Time{}}
}

// record records the answer to a request that was sent at sentAt.
func (d *departures) record(front, endpoint string, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sentAt.Before(d.startedAt[front]) || sentAt.Before(d.startedAt[endpoint]) {
		return
	}
	key := departure{front, endpoint}
	if _, ok := d.known[key]; !ok {
		d.known[key] = time.Now()
	}
}

// isLate reports whether a request was sent too late for an endpoint that leaves.
func (d *departures) isLate(sent *call, endpoint string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	heardAt, ok := d.known[departure{sent.front, endpoint}]
	return ok && sent.sentAt.After(heardAt.Add(drainTime))
}

// forgetGateway forgets what a gateway knew before it was started again or paused.
func (d *departures) forgetGateway(front string) {
	d.forget(front, func(known departure) bool { return known.front == front })
}

// forgetEndpoint forgets an endpoint that starts again.
func (d *departures) forgetEndpoint(endpoint string) {
	d.forget(endpoint, func(known departure) bool { return known.endpoint == endpoint })
}

func (d *departures) forget(name string, isGone func(departure) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startedAt[name] = time.Now()
	for known := range d.known {
		if isGone(known) {
			delete(d.known, known)
		}
	}
}
