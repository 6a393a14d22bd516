// Package homes assigns the partitions of a log to the gateways of a deployment. The
// home of a partition reads it and answers the questions of the other gateways about
// it, so that a partition is read about once and not by every gateway. The assignment
// saves reads; it is not needed for correctness, and gateways that see different members
// may choose different homes.
package homes

import (
	"slices"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxCandidates is the number of gateways that may be asked about one partition. The
	// second one answers while the first one is gone.
	maxCandidates = 2
	// failureBackoff is how long a gateway that did not answer is not a candidate.
	failureBackoff = 2 * clock.Second
)

// Gateway is a gateway that may be the home of partitions.
type Gateway struct {
	Node spool.NodeID
	// Address is where the gateway answers other gateways. It is empty for the gateway
	// that owns the Table.
	Address string
}

// Table holds the gateways among which partitions are shared out, and those that have
// failed recently. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	// known is closed by the first SetGateways.
	known chan struct{}

	mu       sync.Mutex
	gateways []Gateway
	// failedAt holds the time of the last failure of each gateway whose last call failed.
	failedAt map[spool.NodeID]clock.Millis
}

// NewTable returns a table without gateways.
func NewTable(systemClock clock.Clock) *Table {
	return &Table{clock: systemClock, known: make(chan struct{}), failedAt: map[spool.NodeID]clock.Millis{}}
}

// SetGateways replaces the gateways.
func (t *Table) SetGateways(gateways []Gateway) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gateways == nil {
		close(t.known)
	}
	t.gateways = append([]Gateway{}, gateways...)
}

// Known returns a channel that is closed when the table has its first gateways.
func (t *Table) Known() <-chan struct{} { return t.known }

// Candidates returns the gateways to ask about a partition, the home first. Gateways that
// have failed within failureBackoff are left out. The result may be empty.
func (t *Table) Candidates(partition spool.Partition) (gateways []Gateway) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gateway := range t.gateways {
		if at, failed := t.failedAt[gateway.Node]; !failed || now-at >= failureBackoff {
			gateways = append(gateways, gateway)
		}
	}
	name := partition.String()
	slices.SortFunc(gateways, func(a, b Gateway) int { return candidates.Compare(name, a.Node, b.Node) })
	return gateways[:min(len(gateways), maxCandidates)]
}

// RecordAnswer records that a gateway has answered.
func (t *Table) RecordAnswer(node spool.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failedAt, node)
}

// RecordFailure records that a gateway has not answered.
func (t *Table) RecordFailure(node spool.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt[node] = t.clock.Now()
}
