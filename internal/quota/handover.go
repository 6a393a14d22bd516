package quota

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// poolLevels contains the number of tokens in each pool of a released stream. Its
// JSON encoding is part of the release record. An account is missing if its pool
// was not allowed to grant at the release.
type poolLevels map[spool.AccountID]float64

// handoverCall asks the loop to release the pools of a stream that are owned under
// epoch. reply receives their encoded poolLevels.
type handoverCall struct {
	stream spool.Stream
	epoch  spool.Epoch
	reply  chan json.RawMessage
}

// HandOver releases the pools of a stream that this entry owns under the claim with
// epoch, so that they grant nothing more. It returns the levels of the pools for
// the next owner, as JSON; nil if the manager is closed. It may be called before or
// after the release of the stream, and again with the same result.
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

// takeOver starts the ownership of a pool. If the previous owner published the
// level of the pool, the pool starts with it and grants at once. Otherwise it
// starts empty, and grants begin after Timing.Authority.
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
