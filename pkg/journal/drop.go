package journal

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// drops takes holders that were replaced off the stream. Until then the next
// owner waits for each of them: one that has died is gone only when the VM list
// says so, and the previous owner then has to be gone by the list as well.
type drops struct {
	// dismissed holds the former holders and the sequence that must be on the
	// stream before their copies are not needed.
	dismissed map[spool.NodeID]uint64
	// sent holds what records of this epoch have dropped.
	sent map[spool.NodeID]sentDrop
}

// sentDrop is a holder that batches of this owner drop.
type sentDrop struct {
	incarnation string
	batches     int
}

func newDrops() drops {
	return drops{dismissed: map[spool.NodeID]uint64{}, sent: map[spool.NodeID]sentDrop{}}
}

// mayName reports whether a node may be named as a holder again. A batch whose
// answer was lost may take effect much later and would drop the holder anew,
// unless its process has restarted since; a single batch that was read back
// cannot.
func (j *Journal) mayName(node spool.NodeID, incarnation string) bool {
	sent, ok := j.drops.sent[node]
	if !ok || sent.incarnation != incarnation {
		return true
	}
	return sent.batches == 1 && !j.fold.named(node)
}

// dropDue returns the former holders that the next batch may drop. Everything
// that only they may hold is on the stream by then, and no promise that they gave
// still counts.
func (j *Journal) dropDue(now clock.Millis) (dropped Claim) {
	if j.phase != PhaseServing || now < j.promised || j.fold.state.Recovered != j.epoch {
		return dropped
	}
	for _, node := range sorted(j.drops.dismissed) {
		incarnation := j.fold.state.Incarnations[node]
		if j.committed < j.drops.dismissed[node] || j.peers[node] != nil || incarnation == changed {
			continue
		}
		if !j.fold.named(node) {
			delete(j.drops.dismissed, node)
			continue
		}
		dropped.Holders = append(dropped.Holders, node)
		if incarnation != "" {
			if dropped.Incarnations == nil {
				dropped.Incarnations = map[spool.NodeID]string{}
			}
			dropped.Incarnations[node] = incarnation
		}
		sent := j.drops.sent[node]
		if sent.incarnation != incarnation {
			sent = sentDrop{incarnation: incarnation}
		}
		sent.batches++
		j.drops.sent[node] = sent
	}
	return dropped
}
