package rollout

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// peer is what the controller knows of one process of a gateway.
type peer struct {
	node spool.NodeID
	// firstSent and firstAnswered are the counts of the first report to this controller.
	// What was sent before is covered by Record.Charged.
	firstSent, firstAnswered int64
	last                     Report
	// ceiling is that of the newest reply.
	ceiling int64
	// askedAt is when the newest report arrived.
	askedAt clock.Millis
	// busyAt is when a report last contained new requests.
	busyAt clock.Millis
}

// charge returns the number of requests that this controller may have granted. Until the
// gateway reports a lower ceiling, it may use the one that it reported or the one that it
// was last answered. A report is sent only when the previous one was answered or given up,
// so no other reply can still take effect.
func (p *peer) charge() int64 { return max(p.last.Ceiling, p.ceiling, p.last.Sent) - p.firstSent }

// ledger counts the requests that were granted and the requests to the service.
type ledger struct {
	// charged and requests are those of the record at the start of this controller.
	charged, requests int64
	peers             map[string]*peer
	// rate is the number of requests to the service per second. It is computed from
	// the number countedAt.
	rate      float64
	counted   int64
	countedAt clock.Millis
}

func newLedger(charged, requests int64) *ledger {
	return &ledger{charged: charged, requests: requests, peers: map[string]*peer{}}
}

// granted returns the number of requests that may have been granted since the order.
func (l *ledger) granted() (count int64) {
	count = l.charged
	for _, p := range l.peers {
		count += p.charge()
	}
	return count
}

// unused returns the number of granted requests that gateways may still send.
func (l *ledger) unused() (count int64) {
	for _, p := range l.peers {
		count += max(p.last.Ceiling, p.ceiling) - p.last.Sent
	}
	return max(0, count)
}

// total returns the number of answered requests to the service since the order. It is
// never too high: reports repeat sums, and what an earlier controller was told is counted
// from its record or from the gateways.
func (l *ledger) total() int64 {
	since, all := l.requests, int64(0)
	for _, p := range l.peers {
		answered := p.last.answered()
		since += max(0, answered-p.firstAnswered)
		all += answered
	}
	return max(since, all)
}

// updateRate updates rate once a second.
func (l *ledger) updateRate(now clock.Millis) {
	const interval = clock.Second
	if l.countedAt == 0 {
		l.counted, l.countedAt = l.total(), now
	}
	if passed := now - l.countedAt; passed >= interval {
		total := l.total()
		current := float64(total-l.counted) / (float64(passed) / float64(clock.Second))
		if l.rate == 0 {
			l.rate = current
		}
		l.rate = (l.rate + current) / 2
		l.counted, l.countedAt = total, now
	}
}
