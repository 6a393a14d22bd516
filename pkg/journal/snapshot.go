package journal

import (
	"fmt"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// snapshotProgress tracks the snapshot that is requested or being appended. The
// zero value means that there is none.
type snapshotProgress struct {
	// requested means that a Snapshot command was emitted and that not all parts
	// were read back.
	requested bool
	// throughSequence is the highest sequence that the snapshot reflects.
	throughSequence uint64
	// parts holds the records of each part. It is nil until SnapshotTaken.
	parts [][]spool.Record
	// nextPart is the index in parts of the part to append next. isPartTurn means
	// that the latest batch read back had no part, so that the next batch may have
	// one even if units are waiting. Parts and units thus alternate.
	nextPart   int
	isPartTurn bool
}

// requestSnapshot requests a snapshot when half of the retention time has passed
// since the latest one or, if there is none, since the first batch.
func (j *Journal) requestSnapshot(now clock.Millis) {
	s := j.snapshot
	if j.phase != PhaseServing || s.requested || now-j.fold.state.Since < j.config.Retention/2 {
		return
	}
	s.requested, s.throughSequence = true, j.appliedSequence
	j.emit(Snapshot{Epoch: j.epoch})
}

// SnapshotTaken handles the result of a Snapshot command: records that describe
// the user's state. It splits them into parts to append. It ignores a result
// that was not requested by the present claim.
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

// splitRecords splits records into chunks of at most limit bytes. A larger
// record forms a chunk of its own. There is always at least one chunk, even if
// empty.
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

// isPartDue reports whether the next append is a snapshot part. waiting means
// that units wait for an append; committed is the highest sequence on the
// stream. All units that the snapshot reflects must be on the stream first: if
// only replicas have a unit, it is lost when they fail, and the snapshot would
// then reflect a unit that the stream does not have.
func (s *snapshotProgress) isPartDue(waiting bool, committed uint64) bool {
	return s != nil && s.nextPart < len(s.parts) && committed >= s.throughSequence && (!waiting || s.isPartTurn)
}

func (s *snapshotProgress) takePart(pending *pendingAppend) []spool.Record {
	pending.snapshotPart = s.nextPart + 1
	return s.parts[s.nextPart]
}

// confirmAppend records that a batch with the given part was read back; part is
// 0 for a batch without one. After the last part, it resets s to the zero
// value.
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
