package quota

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// poolLevels holds the number of tokens in each pool of a released stream, in the
// format of the release record. Accounts whose pool had no authority to grant are
// missing.
type poolLevels map[spool.AccountID]float64

// handoverCall asks the loop to stop the grants of a stream's pools and to return
// their levels.
type handoverCall struct {
	stream spool.Stream
	epoch  spool.Epoch
	reply  chan json.RawMessage
}

// HandOver stops the grants of a stream that this entry is about to release or has
// released. It returns the levels of the pools for the next owner; nil if this
// entry closes.
func (m *Manager) HandOver(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	call := handoverCall{stream: stream, epoch: epoch, reply: make(chan json.RawMessage, 1)}
	if !m.enqueue(m.ctx, call) {
		return nil
	}
	select {
	case data := <-call.reply:
		return data
	case <-m.ctx.Done():
		return nil
	}
}

func (h handoverCall) apply(m *Manager, now clock.Millis) {
	m.released[h.stream] = h.epoch
	byAccount := poolLevels{}
	for id, state := range m.accounts {
		if spool.StreamOfAccount(id, m.config.StreamCount) != h.stream {
			continue
		}
		if state.epoch == h.epoch {
			state.release(now)
		}
		if state.releasedEpoch == h.epoch {
			byAccount[id] = state.releasedLevel
		}
	}
	data, err := json.Marshal(byAccount)
	if err != nil {
		// This cannot happen, because a level is a finite number. Without levels,
		// the next owner waits before it grants.
		data = nil
	}
	h.reply <- data
}

// takeOver starts the ownership of a pool, from the released level if there is one.
func (m *Manager) takeOver(now clock.Millis, stream spool.Stream, epoch spool.Epoch, id spool.AccountID, owner *limit.Owner) {
	byAccount := poolLevels{}
	if data := m.streams.HandoverData(stream, epoch); data != nil && json.Unmarshal(data, &byAccount) != nil {
		m.telemetry.CountEvent("quota.handoverMalformed")
		byAccount = poolLevels{}
	}
	if level, ok := byAccount[id]; ok {
		m.telemetry.CountEvent("quota.poolHandedOver")
		owner.TakeOverReleased(now, epoch, level)
		return
	}
	owner.TakeOver(now, epoch)
}
