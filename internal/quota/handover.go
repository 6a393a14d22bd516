package quota

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// levels are the tokens in the pools of a released stream, as the release record
// carries them. Accounts that are missing had no authority.
type levels map[spool.AccountID]float64

// handover asks for the levels of a stream's pools, which grant no more.
type handover struct {
	stream spool.Stream
	epoch  spool.Epoch
	answer chan json.RawMessage
}

// HandOver stops the grants of a stream that this entry is about to release, or has
// released, and returns the levels of its pools for the next owner; nil when this
// entry closes.
func (m *Manager) HandOver(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	question := handover{stream: stream, epoch: epoch, answer: make(chan json.RawMessage, 1)}
	if !m.post(m.ctx, question) {
		return nil
	}
	select {
	case data := <-question.answer:
		return data
	case <-m.ctx.Done():
		return nil
	}
}

func (h handover) apply(m *Manager, now clock.Millis) {
	m.left[h.stream] = h.epoch
	kept := levels{}
	for id, state := range m.accounts {
		if spool.StreamOfAccount(id, m.config.StreamCount) != h.stream {
			continue
		}
		if state.epoch == h.epoch {
			state.release(now)
		}
		if state.leftEpoch == h.epoch {
			kept[id] = state.left
		}
	}
	data, err := json.Marshal(kept)
	if err != nil {
		// A level is a finite number, so this does not happen; the next owner waits.
		data = nil
	}
	h.answer <- data
}

// takeOver starts the ownership of a pool, from the level that a release has left.
func (m *Manager) takeOver(now clock.Millis, stream spool.Stream, epoch spool.Epoch, id spool.AccountID, owner *limit.Owner) {
	kept := levels{}
	if data := m.streams.Inherited(stream, epoch); data != nil && json.Unmarshal(data, &kept) != nil {
		m.telemetry.Event("quota.handoverMalformed")
		kept = levels{}
	}
	if level, ok := kept[id]; ok {
		m.telemetry.Event("quota.poolHandedOver")
		owner.TakeReleased(now, epoch, level)
		return
	}
	owner.Take(now, epoch)
}
