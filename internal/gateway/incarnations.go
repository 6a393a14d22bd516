package gateway

import "github.com/baobabspool/baobabspool/pkg/clock"

// incarnationTracker tells incarnations that have ended from those whose records have not
// been read yet. It is not safe for concurrent use.
type incarnationTracker struct {
	// ended holds the incarnations that have been replaced by a later one of their node,
	// and those that were missing for long enough. There are as many as restarts.
	ended map[string]bool
	// askedAt holds, for each other incarnation without a record, when it was first asked
	// for.
	askedAt map[string]clock.Millis
}

func newIncarnationTracker() incarnationTracker {
	return incarnationTracker{ended: map[string]bool{}, askedAt: map[string]clock.Millis{}}
}

// markEnded records that an incarnation has ended.
func (t *incarnationTracker) markEnded(incarnation string) {
	t.ended[incarnation] = true
	delete(t.askedAt, incarnation)
}

// hasEnded reports whether an incarnation without a record has ended. A gateway writes
// its record every heartbeatInterval, and a write takes less than memberInterval, so a
// running one is found by a read that is sent that long after the first call for it.
// confirmedAt is when the newest read was sent.
func (t *incarnationTracker) hasEnded(incarnation string, now, confirmedAt clock.Millis) bool {
	if t.ended[incarnation] {
		return true
	}
	askedAt, ok := t.askedAt[incarnation]
	if !ok {
		t.askedAt[incarnation] = now
		return false
	}
	if confirmedAt-askedAt <= heartbeatInterval+memberInterval {
		return false
	}
	t.markEnded(incarnation)
	return true
}
