package journal

import (
	"fmt"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// snapshotting is the snapshot that is asked for or being appended.
type snapshotting struct {
	asked bool
	// through is the highest sequence that the snapshot reflects.
	through uint64
	parts   [][]spool.Record
	// next is the index of the part to append; turn makes parts and units take
	// turns.
	next int
	turn bool
}

// snapshotDue asks for a snapshot at half of the retention time.
func (j *Journal) snapshotDue(now clock.Millis) {
	s := j.snapshots
	if j.phase != PhaseServing || s.asked || now-j.fold.state.Since < j.config.Retention/2 {
		return
	}
	s.asked, s.through = true, j.applied
	j.emit(Snapshot{Epoch: j.epoch})
}

// SnapshotTaken takes the user's compact state.
func (j *Journal) SnapshotTaken(now clock.Millis, epoch spool.Epoch, records []spool.Record) []Command {
	s := j.snapshots
	if j.phase != PhaseServing || epoch != j.epoch || !s.asked || s.parts != nil {
		return j.flush()
	}
	state := j.fold.State()
	state.Applied[j.epoch] = s.through
	id := fmt.Sprintf("%s/%d/%d", j.config.Node, j.epoch, now)
	chunks := split(records, j.config.BatchBytes)
	for i, chunk := range chunks {
		header := encode(KindSnapshot, snapshotHeader{ID: id, Part: i + 1, Parts: len(chunks), State: state})
		s.parts = append(s.parts, append([]spool.Record{header}, chunk...))
	}
	return j.Tick(now)
}

func split(records []spool.Record, limit int) (chunks [][]spool.Record) {
	start, size := 0, 0
	for i := range records {
		added := Size(records[i : i+1])
		if size+added > limit && i > start {
			chunks = append(chunks, records[start:i])
			start, size = i, 0
		}
		size += added
	}
	return append(chunks, records[start:])
}

// due reports whether the next append is a part. Everything that the snapshot
// reflects must be on the stream before it: a unit that only holders have can
// still be lost with them, and the snapshot would then contradict the stream.
func (s *snapshotting) due(waiting bool, committed uint64) bool {
	return s != nil && s.next < len(s.parts) && committed >= s.through && (!waiting || s.turn)
}

func (s *snapshotting) take(next *attempt) []spool.Record {
	next.part = s.next + 1
	return s.parts[s.next]
}

// confirm notes that a part is on the stream; part 0 is a batch of units.
func (s *snapshotting) confirm(part int) {
	if s == nil {
		return
	}
	s.turn = part == 0
	if part == 0 {
		return
	}
	s.next = part
	if s.next == len(s.parts) {
		*s = snapshotting{}
	}
}
