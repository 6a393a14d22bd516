package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// handoverState holds the data that the user passes to the next owner, once it
// is received.
type handoverState struct {
	received bool
	data     json.RawMessage
}

// HandOver stops accepting submissions, appends the remaining units and
// releases the stream once the user has provided the data for the next owner.
func (j *Journal) ReleaseStream(now clock.Millis) []Command {
	if j.phase == PhaseServing {
		j.phase = PhaseReleasing
		// The next owner asks no replica after a release, so the lease no longer
		// proves ownership.
		j.leaseUntil = 0
		j.emit(Handover{Epoch: j.epoch})
	}
	return j.Tick(now)
}

// HandoverTaken handles the result of a Handover command. The user must no
// longer use anything that data passes to the next owner.
func (j *Journal) HandoverReady(now clock.Millis, epoch spool.Epoch, data json.RawMessage) []Command {
	if j.phase == PhaseReleasing && epoch == j.epoch {
		j.handover = handoverState{received: true, data: data}
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
