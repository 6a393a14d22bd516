package chain

import (
	"slices"
	"sync"
)

// Location is the place of a record in a log partition.
type Location struct {
	// Offset is the offset of the record.
	Offset int64 `json:"offset"`
	// Bytes is the size of the record.
	Bytes int `json:"bytes"`
}

// Locations contains the places of the turns in one log partition. It lets a gateway
// read a turn again that has left its Index, for as long as the log retains the records.
// It is safe for concurrent use.
type Locations struct {
	mu     sync.Mutex
	byTurn map[string]*turnRecords
	// order contains the records in the order of their offsets.
	order []recordOffset
}

// turnRecords contains the places of the records of one turn.
type turnRecords struct {
	// places contains the last place of each record, by the index of the record. A record
	// that has not been read, or that the log has removed, has the size 0.
	places []Location
	// found is the number of places of a size above 0.
	found int
}

// recordOffset is the offset of one record of a turn.
type recordOffset struct {
	id     string
	index  int
	offset int64
}

// NewLocations returns a table without turns.
func NewLocations() *Locations { return &Locations{byTurn: map[string]*turnRecords{}} }

// Add records that the record at an offset contains a turn or a part of one. If there are
// several copies of it, the last one counts, since the log retains it longest. Add must be
// called in the order of the offsets; a repeated or an earlier one is ignored, as is a
// record that is not of a turn.
func (l *Locations) Add(offset int64, record []byte) {
	key, _, err := decodeKey(record)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := len(l.order) - 1; last >= 0 && l.order[last].offset >= offset {
		return
	}
	turn := l.byTurn[key.id]
	if turn == nil || len(turn.places) != key.count {
		turn = &turnRecords{places: make([]Location, key.count)}
		l.byTurn[key.id] = turn
	}
	if turn.places[key.index].Bytes == 0 {
		turn.found++
	}
	turn.places[key.index] = Location{Offset: offset, Bytes: len(record)}
	l.order = append(l.order, recordOffset{id: key.id, index: key.index, offset: offset})
}

// Find returns the places of the records of a turn, for DecodeRecords; nil unless all of
// them are known.
func (l *Locations) Find(id string) (places []Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := l.byTurn[id]
	if turn == nil || turn.found < len(turn.places) {
		return nil
	}
	return slices.Clone(turn.places)
}

// Trim removes the places before first, the lowest offset that the log retains.
func (l *Locations) Trim(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.order) > 0 && l.order[0].offset < first {
		l.removeLocked(l.order[0])
		l.order = l.order[1:]
	}
}

// removeLocked removes the place of a record unless a later copy of it has been read. The
// caller holds mu.
func (l *Locations) removeLocked(record recordOffset) {
	turn := l.byTurn[record.id]
	if turn == nil || record.index >= len(turn.places) || turn.places[record.index].Offset != record.offset {
		return
	}
	turn.places[record.index] = Location{}
	if turn.found--; turn.found == 0 {
		delete(l.byTurn, record.id)
	}
}
