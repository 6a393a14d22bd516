package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/chain"
)

// turnSearch holds the turns that one lookup has found. The index may evict a turn as soon
// as it has been added, so a lookup must not rely on finding it there again. It is safe for
// concurrent use.
type turnSearch struct {
	index *chain.Index
	// reservation is the memory of the turns; nil if the search only answers another
	// gateway.
	reservation *historyReservation

	mu sync.Mutex
	// found contains the turns by ID. A turn is never removed.
	found map[string]*chain.Turn
}

func newTurnSearch(index *chain.Index, reservation *historyReservation) *turnSearch {
	return &turnSearch{index: index, reservation: reservation, found: map[string]*chain.Turn{}}
}

// add adds a turn to the search.
func (s *turnSearch) add(turn *chain.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[turn.ID] = turn
}

// missing returns the IDs of those turns that are neither in the search nor in the index.
// It adds the turns to the search that it finds in the index.
func (s *turnSearch) missing(ids []string) (missing []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if s.found[id] == nil {
			missing = append(missing, id)
		}
	}
	indexed := s.index.Turns(missing)
	if len(indexed) == 0 {
		return missing
	}
	for _, turn := range indexed {
		s.found[turn.ID] = turn
	}
	missing = missing[:0]
	for _, id := range ids {
		if s.found[id] == nil {
			missing = append(missing, id)
		}
	}
	return missing
}

// hasAll reports whether all turns are in the search or in the index.
func (s *turnSearch) hasAll(ids []string) bool { return len(s.missing(ids)) == 0 }

// turns returns those of the turns that are in the search, in the order of the IDs.
func (s *turnSearch) turns(ids []string) (turns []*chain.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if turn := s.found[id]; turn != nil {
			turns = append(turns, turn)
		}
	}
	return turns
}

// textBytes returns the size of the inputs and outputs of all turns of the search.
func (s *turnSearch) textBytes() (size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, turn := range s.found {
		size += turn.TextBytes()
	}
	return size
}
