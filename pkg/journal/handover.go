package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// handover is what the user leaves to the next owner.
type handoverState struct {
	received bool
	data  json.RawMessage
}

// HandOver stops taking submissions, appends the rest and releases the stream
// once the user has said what it leaves to the next owner.
func (j *Journal) HandOver(now clock.Millis) []Command {
	if j.phase == PhaseServing {
		j.phase = PhaseReleasing
		// The next owner asks no holder after a release.
		j.leaseUntil = 0
		j.emit(Handover{Epoch: j.epoch})
	}
	return j.Tick(now)
}

// HandoverTaken takes the answer to a Handover command. The user does nothing any
// more that data says is left to the next owner.
func (j *Journal) HandoverTaken(now clock.Millis, epoch spool.Epoch, data json.RawMessage) []Command {
	if j.phase == PhaseReleasing && epoch == j.epoch {
		j.handover = handoverState{received: true, data: data}
	}
	return j.Tick(now)
}

func (j *Journal) finishRelease() {
	for _, node := range j.replicaIDs {
		j.emit(Release{Node: node, Epoch: j.epoch + 1})
	}
	j.reset()
	j.emit(Lost{Cause: LossReleased})
}
