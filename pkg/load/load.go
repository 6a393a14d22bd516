// Package load describes the load and the speed of endpoints, as the gateways observe them
// from their own requests.
package load

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Instance identifies one start of an endpoint. An endpoint that restarts under the same
// identifier is a new instance.
type Instance struct {
	ID spool.EndpointID
	// StartedAt is the start of the instance on its own clock; 0 if it is unknown.
	StartedAt clock.Millis
}

// Sample is the timing of one request at an endpoint. Durations count from the time at
// which the request was sent.
type Sample struct {
	// Outcome is how the request ended.
	Outcome Outcome
	// Took is the duration until the answer was complete, for answers that are not streamed.
	Took clock.Millis
	// FirstEvent and LastEvent are the durations until the first and the last event of a
	// stream arrived, and Events is their number; 0 for other answers.
	FirstEvent, LastEvent clock.Millis
	Events                int
}

// Outcome is the way in which a request ended, as far as it concerns the load.
type Outcome int

const (
	// Good is a complete answer.
	Good Outcome = iota
	// Rejected is a refusal because the endpoint had no capacity.
	Rejected
	// Failed is a missing or unusable answer, or an answer with a server error.
	Failed
	// Ignored is a request that says nothing of the endpoint, for example because its
	// caller left.
	Ignored
)

// Observer records the requests of a gateway at endpoints. It is safe for concurrent use.
type Observer interface {
	// Started records that a request has been assigned to an instance.
	Started(now clock.Millis, service spool.ServiceName, instance Instance)
	// Ended records the end of a request for which Started was called.
	Ended(now clock.Millis, service spool.ServiceName, instance Instance, sample Sample)
}

// Stats is what is known of an instance from the requests of all gateways. Durations are
// moving averages in milliseconds, and 0 if they are unknown.
type Stats struct {
	// InFlight is the number of requests that other gateways have at the instance.
	InFlight int
	// EventMillis is the time between two events of a stream.
	EventMillis float64
	// FirstEventMillis is the time to the first event of a stream, and CallMillis the time
	// of an answer that is not streamed. They include the wait for a slot.
	FirstEventMillis, CallMillis float64
	// IdleFirstEventMillis is the time to the first event without a wait for a slot: the
	// least one of the last seconds.
	IdleFirstEventMillis float64
	// Good, Failed and Late are the numbers of requests that ended in the last seconds, with
	// older ones counted less. Late ones are Good ones that took much longer than at other
	// instances.
	Good, Failed, Late float64
}

// ServiceStats is what is known of a service from the requests of all gateways.
type ServiceStats struct {
	// InFlight is the number of requests at the endpoints of the service, those of this
	// gateway included, and Slots the number that they can run at once.
	InFlight, Slots int
	// EndedPerSecond and RejectedPerSecond are the rates at which requests were answered,
	// and refused for lack of capacity.
	EndedPerSecond, RejectedPerSecond float64
	// StartsPerSecond and OfferedPerSecond are the rates at which programs began, and asked
	// to begin, in requests that they are expected to send.
	StartsPerSecond, OfferedPerSecond float64
}

// View gives what is known of endpoints and services. It is safe for concurrent use.
type View interface {
	// Instance returns what is known of an instance; zero if nothing is.
	Instance(now clock.Millis, instance Instance) Stats
	// Service returns what is known of a service; zero if nothing is.
	Service(now clock.Millis, service spool.ServiceName) ServiceStats
}
