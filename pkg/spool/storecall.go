package spool

import "github.com/baobabspool/baobabspool/pkg/clock"

// StoreCallKind is the kind of a call to the store.
type StoreCallKind string

// The kinds of calls. StoreCallNewest reads the newest record of each key.
const (
	StoreCallAppend StoreCallKind = "append"
	StoreCallRead   StoreCallKind = "read"
	StoreCallNewest StoreCallKind = "newest"
)

// StoreCallOutcome is how a call to the store ended.
type StoreCallOutcome string

// The outcomes of calls.
const (
	// StoreCallAnswered means that the whole answer of the store arrived.
	StoreCallAnswered StoreCallOutcome = "answered"
	// StoreCallRejected means that the store answered with a status that says that it
	// did nothing, such as 429 or 503.
	StoreCallRejected StoreCallOutcome = "rejected"
	// StoreCallTimedOut means that this process stopped waiting for the answer.
	StoreCallTimedOut StoreCallOutcome = "timedOut"
	// StoreCallCancelled means that nobody needed the answer any more.
	StoreCallCancelled StoreCallOutcome = "cancelled"
	// StoreCallFailed means that the store was not reached, or that its answer broke off.
	StoreCallFailed StoreCallOutcome = "failed"
)

// StoreCall describes a call to the store that has ended.
type StoreCall struct {
	Kind    StoreCallKind
	Topic   Topic
	Outcome StoreCallOutcome
	// ResponseBytes is the size of the part of the response body that arrived.
	ResponseBytes int64
	// Duration is the time from the start of the call to its end.
	Duration clock.Millis
}

// StoreObserver receives each call to the store, for metrics. Its methods are called
// concurrently and must not block.
type StoreObserver interface {
	// CallStarted is called when a call starts.
	CallStarted()
	// CallEnded is called when a call that CallStarted was called for has ended.
	CallEnded(call StoreCall)
}
