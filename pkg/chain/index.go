package chain

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// retentionMargin is added to the retention of a turn, because the record of a turn
// is created shortly before the turn ends, and the clocks of gateways differ.
const retentionMargin = 15 * clock.Second

// Index contains the turns that one gateway knows, by ID. It is safe for concurrent
// use.
type Index struct {
	mu      sync.Mutex
	entries map[string]*entry
	// expiries contains a time for each turn at which Expire examines it, in the order
	// in which they were added.
	expiries []expiry
	// totalBytes is the sum of Turn.TextBytes over all turns. It exceeds maxBytes only by
	// the turn that was added last.
	totalBytes, maxBytes int64
}

// entry is a turn in an index.
type entry struct {
	turn *Turn
	// keepUntil is the time until which the turn, or a later turn that continues it, is
	// retained.
	keepUntil clock.Millis
}

// expiry is the time at which Expire examines a turn.
type expiry struct {
	id string
	at clock.Millis
}

// NewIndex returns an empty index for turns of maxBytes altogether.
func NewIndex(maxBytes int64) *Index {
	return &Index{entries: map[string]*entry{}, maxBytes: maxBytes}
}

// Add adds a turn, and retains those earlier turns of its history that are in the index
// for as long as this one. If the index already contains a turn with this ID, Add only
// replaces it by one that was written later, since a turn does not change after its end.
// If the turns exceed the bound of the index, Add evicts those that have been in it for
// longest, and returns how many. The caller must not change the turn afterwards.
func (x *Index) Add(now clock.Millis, turn *Turn) (evicted int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	keepUntil := now + turn.Retention + retentionMargin
	for _, id := range turn.History {
		if earlier := x.entries[id]; earlier != nil {
			earlier.keepUntil = max(earlier.keepUntil, keepUntil)
		}
	}
	known := x.entries[turn.ID]
	switch {
	case known == nil:
		x.entries[turn.ID] = &entry{turn: turn, keepUntil: keepUntil}
		x.totalBytes += turn.TextBytes()
		x.expiries = append(x.expiries, expiry{id: turn.ID, at: keepUntil})
	case known.turn.WrittenAt < turn.WrittenAt:
		x.totalBytes += turn.TextBytes() - known.turn.TextBytes()
		known.turn = turn
	}
	for x.totalBytes > x.maxBytes && len(x.expiries) > 1 {
		x.removeFirstLocked()
		evicted++
	}
	return evicted
}

// removeFirstLocked removes the turn that Expire examines next. The caller holds mu.
func (x *Index) removeFirstLocked() {
	id := x.expiries[0].id
	x.expiries = x.expiries[1:]
	x.totalBytes -= x.entries[id].turn.TextBytes()
	delete(x.entries, id)
}

// TextBytes returns the size of the input and the output, in bytes.
func (t *Turn) TextBytes() int64 { return int64(len(t.Input) + len(t.Output)) }

// History returns the history of a new turn that continues the turn with this ID:
// that turn preceded by its own history, oldest first. missing contains the IDs of
// those turns that are not in the index; the history is then incomplete. If the
// turn itself is missing, only its ID is returned.
func (x *Index) History(id string) (history []*Turn, missing []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.entries[id]
	if last == nil {
		return nil, []string{id}
	}
	for _, earlierID := range last.turn.History {
		earlier := x.entries[earlierID]
		if earlier == nil {
			missing = append(missing, earlierID)
			continue
		}
		history = append(history, earlier.turn)
	}
	return append(history, last.turn), missing
}

// Turns returns those of the turns with these IDs that are in the index, in the order of
// the IDs.
func (x *Index) Turns(ids []string) (turns []*Turn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range ids {
		if known := x.entries[id]; known != nil {
			turns = append(turns, known.turn)
		}
	}
	return turns
}

// Expire removes turns that are no longer retained, neither by themselves nor for a later
// turn. It examines them in the order in which they were added, so a turn with a long
// retention delays the removal of all turns added after it.
func (x *Index) Expire(now clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.expiries) > 0 && x.expiries[0].at <= now {
		id := x.expiries[0].id
		if keepUntil := x.entries[id].keepUntil; keepUntil > now {
			x.expiries = append(x.expiries[1:], expiry{id: id, at: keepUntil})
			continue
		}
		x.removeFirstLocked()
	}
}

// Bytes returns the total size of the inputs and outputs of all turns, in bytes.
func (x *Index) Bytes() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.totalBytes
}
