package chain

import "sync"

// Location is the place of a turn's record in a log partition.
type Location struct {
	// Offset is the offset of the record.
	Offset int64 `json:"offset"`
	// Bytes is the size of the record.
	Bytes int `json:"bytes"`
}

// Locations contains the places of the turns in one log partition. It lets a gateway
// read a turn again that has left its Index, for as long as the log retains the record.
// It is safe for concurrent use.
type Locations struct {
	mu     sync.Mutex
	byTurn map[string]Location
	// order contains the turns in the order of their offsets.
	order []locatedTurn
}

// locatedTurn is a turn and the offset of one of its records.
type locatedTurn struct {
	id     string
	offset int64
}

// NewLocations returns a table without turns.
func NewLocations() *Locations { return &Locations{byTurn: map[string]Location{}} }

// Add records that the record at an offset contains a turn. If there are several records
// of a turn, the last one counts, since the log retains it longest. A record that is not a
// turn is ignored.
func (l *Locations) Add(offset int64, record []byte) {
	id, err := DecodeID(record)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.byTurn[id]; ok && known.Offset >= offset {
		return
	}
	l.byTurn[id] = Location{Offset: offset, Bytes: len(record)}
	l.order = append(l.order, locatedTurn{id: id, offset: offset})
}

// Find returns the place of a turn. ok is false if it is not known.
func (l *Locations) Find(id string) (location Location, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	location, ok = l.byTurn[id]
	return location, ok
}

// Trim removes the places before first, the lowest offset that the log retains.
func (l *Locations) Trim(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.order) > 0 && l.order[0].offset < first {
		oldest := l.order[0]
		l.order = l.order[1:]
		if l.byTurn[oldest.id].Offset == oldest.offset {
			delete(l.byTurn, oldest.id)
		}
	}
}
