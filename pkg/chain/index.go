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
	mu    sync.Mutex
	turns map[string]*Turn
	// arrivals contains the turns in the order in which they were added; Expire
	// removes them from the front.
	arrivals []arrival
	// totalBytes is the sum of Turn.textBytes over all turns.
	totalBytes int64
}

// arrival is the ID of a turn and the time at which it was added.
type arrival struct {
	id string
	at clock.Millis
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{turns: map[string]*Turn{}} }

// Add adds a turn. If the index already contains a turn with this ID, Add does
// nothing, since a turn does not change after its end. The caller must not change
// the turn afterwards.
func (x *Index) Add(now clock.Millis, turn *Turn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.turns[turn.ID] != nil {
		return
	}
	x.turns[turn.ID] = turn
	x.totalBytes += turn.textBytes()
	x.arrivals = append(x.arrivals, arrival{id: turn.ID, at: now})
}

// textBytes returns the size of the input and the output.
func (t *Turn) textBytes() int64 { return int64(len(t.Input) + len(t.Output)) }

// History returns the history of a new turn that continues the turn with this ID:
// that turn preceded by its own history, oldest first. missing contains the IDs of
// those turns that are not in the index; the history is then incomplete. If the
// turn itself is missing, only its ID is returned.
func (x *Index) History(id string) (history []*Turn, missing []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.turns[id]
	if last == nil {
		return nil, []string{id}
	}
	for _, earlierID := range last.History {
		turn := x.turns[earlierID]
		if turn == nil {
			missing = append(missing, earlierID)
			continue
		}
		history = append(history, turn)
	}
	return append(history, last), missing
}

// Turns returns those of the turns with these IDs that are in the index, in the order of
// the IDs.
func (x *Index) Turns(ids []string) (turns []*Turn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range ids {
		if turn := x.turns[id]; turn != nil {
			turns = append(turns, turn)
		}
	}
	return turns
}

// Expire removes turns whose retention and retentionMargin have passed since they
// were added. Turns are removed in the order in which they were added, so a turn
// with a long retention delays the removal of all turns added after it.
func (x *Index) Expire(now clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.arrivals) > 0 {
		oldest := x.arrivals[0]
		turn := x.turns[oldest.id]
		if now < oldest.at+turn.Retention+retentionMargin {
			return
		}
		delete(x.turns, oldest.id)
		x.totalBytes -= turn.textBytes()
		x.arrivals = x.arrivals[1:]
	}
}

// Bytes returns the total size of the inputs and outputs of all turns, in bytes.
func (x *Index) Bytes() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.totalBytes
}

// Prompt returns the prompt of a turn: the input and the output of each turn of
// history, in order, followed by input.
func Prompt(history []*Turn, input []byte) []byte {
	size := len(input)
	for _, turn := range history {
		size += len(turn.Input) + len(turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, turn := range history {
		prompt = append(prompt, turn.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}
