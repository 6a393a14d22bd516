package journal

import (
	"fmt"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// snapshotProgress tracks the snapshot that is requested or being appended.
type snapshotProgress struct {
	requested bool
	// throughSequence is the highest sequence that the snapshot reflects.
	throughSequence uint64
	parts           [][]spool.Record
	// nextPart is the index of the part to append next. isPartTurn makes parts
	// and units alternate.
	nextPart   int
	isPartTurn bool
}

// requestSnapshot requests a snapshot at half of the retention time.
func (j *Journal) requestSnapshot(now clock.Millis) {
	s := j.snapshot
	if j.phase != PhaseServing || s.requested || now-j.fold.state.Since < j.config.Retention/2 {
		return
	}
	s.requested, s.throughSequence = true, j.appliedSequence
	j.emit(Snapshot{Epoch: j.epoch})
}

// SnapshotTaken handles the result of a Snapshot command: the user's state in
// compact form.
func (j *Journal) SnapshotTaken(now clock.Millis, epoch spool.Epoch, records []spool.Record) []Command {
	s := j.snapshot
	if j.phase != PhaseServing || epoch != j.epoch || !s.requested || s.parts != nil {
		return j.flush()
	}
	state := j.fold.State()
	state.Applied[j.epoch] = s.throughSequence
	id := fmt.Sprintf("%s/%d/%d", j.config.Node, j.epoch, now)
	chunks := splitRecords(records, j.config.BatchBytes)
	for i, chunk := range chunks {
		header := encode(KindSnapshot, snapshotHeader{ID: id, Part: i + 1, Parts: len(chunks), State: state})
		s.parts = append(s.parts, append([]spool.Record{header}, chunk...))
	}
	return j.Tick(now)
}

func splitRecords(records []spool.Record, limit int) (chunks [][]spool.Record) {
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

// isPartDue reports whether the next append is a snapshot part. All units that
// the snapshot reflects must be on the stream first: a unit that only replicas
// have can still be lost with them, and the snapshot would then contradict the
// stream.
func (s *snapshotProgress) isPartDue(waiting bool, committed uint64) bool {
	return s != nil && s.nextPart < len(s.parts) && committed >= s.throughSequence && (!waiting || s.isPartTurn)
}

func (s *snapshotProgress) takePart(pending *pendingAppend) []spool.Record {
	pending.snapshotPart = s.nextPart + 1
	return s.parts[s.nextPart]
}

// confirmAppend records that a part is on the stream; part 0 is a batch of
// units.
func (s *snapshotProgress) confirmAppend(part int) {
	if s == nil {
		return
	}
	s.isPartTurn = part == 0
	if part == 0 {
		return
	}
	s.nextPart = part
	if s.nextPart == len(s.parts) {
		*s = snapshotProgress{}
	}
}
