package chain

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// retentionMargin extends the retention of a turn, because the clocks of gateways
// differ and a turn ends shortly after its record is created.
const retentionMargin = 15 * clock.Second

// Index holds turns by ID. It is safe for concurrent use.
type Index struct {
	mu    sync.Mutex
	turns map[string]*Turn
	// arrivals holds the IDs of the turns in the order in which they were added,
	// for expiry.
	arrivals   []arrival
	totalBytes int64
}

type arrival struct {
	id string
	at clock.Millis
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{turns: map[string]*Turn{}} }

// Add adds a turn. A second copy of a turn is ignored, since a turn does not change
// once it has ended.
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

func (t *Turn) textBytes() int64 { return int64(len(t.Input) + len(t.Output)) }

// Line returns the history of a turn that continues the turn id: the turns up to
// and including id, oldest first. missing holds the IDs that are not in the index.
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

// Expire drops the turns whose retention has ended. Turns are checked in the order
// of their arrival, so a turn with a longer retention delays the expiry of later
// ones.
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

// Bytes returns the total size of the inputs and outputs in the index.
func (x *Index) Bytes() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.totalBytes
}

// Prompt returns the prompt of a turn with the given history and input.
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
