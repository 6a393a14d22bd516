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
	log clock.Millis
	// direct is when the log itself last answered.
	direct clock.Millis
	// contact is when the node last reached the log or a peer that proves that
	// it is not cut off.
	contact clock.Millis
}

func newFreshness(now clock.Millis) freshness { return freshness{log: now, direct: now, contact: now} }

// heardLog takes in an answer of the log after which the state was complete.
func (f *freshness) heardLog(sent clock.Millis) {
	f.loaded = true
	f.direct = max(f.direct, sent)
	f.log = max(f.log, sent)
	f.contact = max(f.contact, sent)
}

// heardPeer takes in a peer's answer after which the state equalled the peer's.
// answered is a lower bound of when the peer answered. proves tells that the
// peer could not have been reached by a node that is cut off together with its
// failure domain or region.
func (f *freshness) heardPeer(answered, freshFor clock.Millis, proves bool) {
	if freshFor < 0 {
		return
	}
	if !f.loaded {
		f.loaded, f.log = true, answered-freshFor
	}
	f.log = max(f.log, answered-freshFor)
	f.contact = max(f.contact, f.log)
	if proves {
		f.contact = max(f.contact, answered)
	}
}

// freshFor returns the age of the state, or -1 when it was never complete.
func (f *freshness) freshFor(now clock.Millis) clock.Millis {
	if !f.loaded {
		return -1
	}
	return max(0, now-f.log)
}

func (f *freshness) isolated(now, limit clock.Millis) bool {
	return !f.loaded || now-f.contact > limit
}
