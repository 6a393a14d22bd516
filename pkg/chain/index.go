package chain

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// retentionMargin is kept beyond the retention, since the clocks of gateways
// differ and a turn ends a little after its record is made.
const retentionMargin = 15 * clock.Second

// Index holds turns by their identifier. It is safe for concurrent use.
type Index struct {
	mu    sync.Mutex
	turns map[string]*Turn
	// order holds the identifiers in the order of arrival, for expiry.
	order []arrival
	bytes int64
}

type arrival struct {
	id string
	at clock.Millis
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{turns: map[string]*Turn{}} }

// Add takes a turn in. A second copy of a turn changes nothing, since a turn does
// not change once it has ended.
func (x *Index) Add(now clock.Millis, turn *Turn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.turns[turn.ID] != nil {
		return
	}
	x.turns[turn.ID] = turn
	x.bytes += turn.size()
	x.order = append(x.order, arrival{id: turn.ID, at: now})
}

func (t *Turn) size() int64 { return int64(len(t.Input) + len(t.Output)) }

// Line returns the turns that a successor of the turn id continues, oldest first,
// and the identifiers that are not in the index.
func (x *Index) Line(id string) (line []*Turn, missing []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.turns[id]
	if last == nil {
		return nil, []string{id}
	}
	for _, earlier := range last.Line {
		turn := x.turns[earlier]
		if turn == nil {
			missing = append(missing, earlier)
			continue
		}
		line = append(line, turn)
	}
	return append(line, last), missing
}

// Expire drops the turns whose retention is over.
func (x *Index) Expire(now clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.order) > 0 {
		oldest := x.order[0]
		turn := x.turns[oldest.id]
		if now < oldest.at+turn.Retention+retentionMargin {
			return
		}
		delete(x.turns, oldest.id)
		x.bytes -= turn.size()
		x.order = x.order[1:]
	}
}

// Bytes returns the size of the texts in the index.
func (x *Index) Bytes() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bytes
}

// Prompt returns the text that an endpoint gets for a turn with the given input
// after line.
func Prompt(line []*Turn, input []byte) []byte {
	size := len(input)
	for _, turn := range line {
		size += len(turn.Input) + len(turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, turn := range line {
		prompt = append(prompt, turn.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}
