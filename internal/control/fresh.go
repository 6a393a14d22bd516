package control

import "github.com/baobabspool/baobabspool/pkg/clock"

// freshness tells how far the state may lag behind the log. All instants are of
// this node's clock and are lower bounds: an answer of the log counts from the
// moment when its request was sent, one of a peer from when it was given.
type freshness struct {
	// loaded is set once the state has been complete.
	loaded bool
	// log is when the state was last known to be the log's, directly or through
	// others.
	currentAt clock.Millis
	// direct is when the log itself last answered.
	logReadAt clock.Millis
	// contact is when the node last reached the log or a peer that proves that
	// it is not cut off.
	contactAt clock.Millis
}

func newFreshness(now clock.Millis) freshness { return freshness{currentAt: now, logReadAt: now, contactAt: now} }

// heardLog takes in an answer of the log after which the state was complete.
func (f *freshness) recordLogRead(sentAt clock.Millis) {
	f.loaded = true
	f.logReadAt = max(f.logReadAt, sentAt)
	f.currentAt = max(f.currentAt, sentAt)
	f.contactAt = max(f.contactAt, sentAt)
}

// heardPeer takes in a peer's answer after which the state equalled the peer's.
// answered is a lower bound of when the peer answered. proves tells that the
// peer could not have been reached by a node that is cut off together with its
// failure domain or region.
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

// freshFor returns the age of the state, or -1 when it was never complete.
func (f *freshness) age(now clock.Millis) clock.Millis {
	if !f.loaded {
		return -1
	}
	return max(0, now-f.currentAt)
}

func (f *freshness) isIsolated(now, limit clock.Millis) bool {
	return !f.loaded || now-f.contactAt > limit
}
