package control

import "github.com/baobabspool/baobabspool/pkg/clock"

// freshness tracks how far the state may lag behind the log. All its times are on this
// node's clock and are lower bounds: for an answer of the log they use the time at
// which the request was sent, and for an answer of a peer the earliest time at which
// the peer can have sent the answer. Their initial value is the time at which the node
// was created.
type freshness struct {
	// loaded is set when the state first reaches the end of the log, or the offset of
	// a peer whose own state was fully loaded. It is never unset.
	loaded bool
	// currentAt is the last time at which the state was known to match the log, from
	// a read of the log or from the age that a peer reported.
	currentAt clock.Millis
	// logReadAt is the time at which the last read of the log that brought the state
	// to the end of the log was sent.
	logReadAt clock.Millis
	// contactAt is the last time at which the node was known not to be cut off. It
	// is the later of currentAt and the last answer of a peer for which ProvesContact
	// is true.
	contactAt clock.Millis
}

// newFreshness returns the freshness of a node that is created now and has no state.
func newFreshness(now clock.Millis) freshness {
	return freshness{currentAt: now, logReadAt: now, contactAt: now}
}

// recordLogRead records a read of the log that was sent at sentAt and brought the
// state to the end of the log.
func (f *freshness) recordLogRead(sentAt clock.Millis) {
	f.loaded = true
	f.logReadAt = max(f.logReadAt, sentAt)
	f.currentAt = max(f.currentAt, sentAt)
	f.contactAt = max(f.contactAt, sentAt)
}

// recordPeerReply records a peer's reply that brought the state at least to the
// offset of the peer's state. answeredAt is a lower bound of the time at which the peer
// answered. stateAge is the age of the peer's state; the reply is ignored if it is
// negative, because the peer's state was never fully loaded. provesContact is the result of
// ProvesContact for the peer.
func (f *freshness) recordPeerReply(answeredAt, stateAge clock.Millis, provesContact bool) {
	if stateAge < 0 {
		return
	}
	if !f.loaded {
		f.loaded, f.currentAt = true, answeredAt-stateAge
	}
	f.currentAt = max(f.currentAt, answeredAt-stateAge)
	f.contactAt = max(f.contactAt, f.currentAt)
	if provesContact {
		f.contactAt = max(f.contactAt, answeredAt)
	}
}

// age returns the time since the state was last known to match the log, or -1 if the
// state was never fully loaded.
func (f *freshness) age(now clock.Millis) clock.Millis {
	if !f.loaded {
		return -1
	}
	return max(0, now-f.currentAt)
}

// isIsolated reports whether the state was never fully loaded or contactAt is more than
// limit ago.
func (f *freshness) isIsolated(now, limit clock.Millis) bool {
	return !f.loaded || now-f.contactAt > limit
}
