package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// handoverState holds the data that the user passes to the next owner.
type handoverState struct {
	// ready is set by HandoverReady. data may be nil even then.
	ready bool
	data  json.RawMessage
}

// ReleaseStream starts to release the stream: the journal refuses submissions
// and asks the user for the handover data. The release record is appended once
// the data is there and all units are in the same or earlier batches.
// ReleaseStream does nothing unless the journal serves.
func (j *Journal) ReleaseStream(now clock.Millis) []Command {
	if j.phase == PhaseServing {
		j.phase = PhaseReleasing
		// After a release, the next owner serves without asking the replicas, so
		// their lease no longer proves that no other node serves.
		j.leaseUntil = 0
		j.emit(Handover{Epoch: j.epoch})
	}
	return j.Tick(now)
}

// HandoverReady handles the result of a Handover command. The user must have
// stopped using whatever data grants to the next owner, or both would use it.
func (j *Journal) HandoverReady(now clock.Millis, epoch spool.Epoch, data json.RawMessage) []Command {
	if j.phase == PhaseReleasing && epoch == j.epoch {
		j.handover = handoverState{ready: true, data: data}
	}
	return j.Tick(now)
}

func (j *Journal) finishRelease() {
	for _, node := range j.replicaIDs {
		j.emit(Discard{Node: node, Epoch: j.epoch + 1})
	}
	j.reset()
	j.emit(Lost{Cause: LossReleased})
}
