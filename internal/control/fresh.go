package control

import "github.com/baobabspool/baobabspool/pkg/clock"

// freshness tracks how far the state may lag behind the log. All times are lower
// bounds on this node's clock: an answer of the log counts from the time at which
// the request was sent, and an answer of a peer from the earliest time at which the
// peer can have sent it. They start at the time at which the node was created.
type freshness struct {
	// loaded is set once the state has been complete and stays set.
	loaded bool
	// currentAt is the last time at which the state was known to match the log,
	// directly or through peers.
	currentAt clock.Millis
	// logReadAt is the time of the last read of the log after which the state was
	// complete.
	logReadAt clock.Millis
	// contactAt is the last time at which the node was known not to be cut off:
	// it, or the source of its state, reached the log, or it reached a peer that
	// proves contact.
	contactAt clock.Millis
}

func newFreshness(now clock.Millis) freshness {
	return freshness{currentAt: now, logReadAt: now, contactAt: now}
}

// recordLogRead records a read of the log after which the state was complete.
func (f *freshness) recordLogRead(sentAt clock.Millis) {
	f.loaded = true
	f.logReadAt = max(f.logReadAt, sentAt)
	f.currentAt = max(f.currentAt, sentAt)
	f.contactAt = max(f.contactAt, sentAt)
}

// recordPeerReply records a peer's reply after which the state was at least as
// recent as the peer's. answeredAt is a lower bound of the time at which the peer
// answered, and stateAge is the age of the peer's state, negative if it has none.
// provesContact is set if a node that is cut off together with its failure domain or
// region could not have reached the peer.
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

// age returns the age of the state, or -1 if the state was never complete.
func (f *freshness) age(now clock.Millis) clock.Millis {
	if !f.loaded {
		return -1
	}
	return max(0, now-f.currentAt)
}

func (f *freshness) isIsolated(now, limit clock.Millis) bool {
	return !f.loaded || now-f.contactAt > limit
}
