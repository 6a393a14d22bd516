// Package spend enforces the token budget of a program across all gateways. A
// gateway obtains grants from the program's budget before its turns generate
// tokens, and returns unused tokens when the program moves elsewhere. The size of
// each grant is computed from a log partition that all gateways read in the same
// order.
package spend

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// programRetention is how long a program is remembered after its last record. A
// program that stopped may continue while its turns are retained.
const programRetention = 10 * clock.Minute

// programSpending is the spending of one program.
type programSpending struct {
	// grants contains the tokens charged for each grant: its size until an end
	// record is applied, and the Used of the last end record afterwards.
	grants map[string]int64
	// openGrants contains the grants that are larger than 0 and have no end record.
	openGrants map[string]bool
	// endedAt contains, by grant, when its newest end record was applied.
	endedAt map[string]clock.Millis
	// total is the sum of the values of grants, in tokens.
	total        int64
	lastRecordAt clock.Millis
}

// Ledger is the spending of all programs of one log partition, computed from its
// records in their order. Every gateway that applies the same records computes the
// same sizes of grants. A Ledger is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	programs map[spool.ProgramID]*programSpending
	// nextOffset is the offset of the first record that has not been applied.
	nextOffset int64
	// awaited contains, by Record.Grant, the sizes in tokens of the grants for
	// which Await was called; -1 until the request is applied.
	awaited map[string]int64
}

// NewLedger returns an empty ledger. The first record that it applies is at offset
// 0, or at the offset passed to SkipTo.
func NewLedger() *Ledger {
	return &Ledger{programs: map[spool.ProgramID]*programSpending{}, awaited: map[string]int64{}}
}

// NextOffset returns the offset of the first record that has not been applied.
func (l *Ledger) NextOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextOffset
}

// SkipTo makes offset the next offset, or does nothing if the ledger is already
// beyond it. Call it if the records before offset have been deleted from the log.
func (l *Ledger) SkipTo(offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextOffset = max(l.nextOffset, offset)
}

// Apply applies consecutive records; the first one is at offset from. It skips
// records that it has applied before. If from is after NextOffset, it applies
// nothing and returns false, because records are missing.
func (l *Ledger) Apply(now clock.Millis, from int64, records [][]byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from > l.nextOffset {
		return false
	}
	for i, data := range records {
		if from+int64(i) < l.nextOffset {
			continue
		}
		l.nextOffset++
		record, err := Decode(data)
		if err != nil {
			// A record that does not decode was written by another kind of writer
			// and belongs to no program.
			continue
		}
		l.applyRecord(now, record)
	}
	return true
}

func (l *Ledger) applyRecord(now clock.Millis, record Record) {
	p := l.programs[record.Program]
	if p == nil {
		p = &programSpending{grants: map[string]int64{}, openGrants: map[string]bool{}, endedAt: map[string]clock.Millis{}}
		l.programs[record.Program] = p
	}
	p.lastRecordAt = now
	previous, ok := p.grants[record.Grant]
	if record.End {
		delete(p.openGrants, record.Grant)
		p.grants[record.Grant] = record.Used
		p.endedAt[record.Grant] = now
		p.total += record.Used - previous
		return
	}
	// A repeated request, or one that takes effect after the end record of its
	// grant, changes nothing.
	if ok {
		return
	}
	granted := grantSize(record, record.Budget-p.total)
	p.grants[record.Grant] = granted
	if granted > 0 {
		p.openGrants[record.Grant] = true
	}
	p.total += granted
	if _, awaited := l.awaited[record.Grant]; awaited {
		l.awaited[record.Grant] = granted
	}
}

// grantSize returns the number of tokens to grant for the request record, where
// remaining is the part of the budget that is not charged. It is 0 if remaining is
// less than Need. Otherwise it is Want, but at most half of remaining, so that
// turns at other gateways can get grants as well, and at least Need.
func grantSize(record Record, remaining int64) int64 {
	if remaining < record.Need {
		return 0
	}
	return max(record.Need, min(record.Want, remaining/2))
}

// OpenGrants returns the IDs of the grants of a program that may contain unused
// tokens: those that are larger than 0 and have no end record.
func (l *Ledger) OpenGrants(id spool.ProgramID) (grants []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.programs[id]
	if p == nil {
		return nil
	}
	for grant := range p.openGrants {
		grants = append(grants, grant)
	}
	return grants
}

// Renewals returns copies of those end records of a program that were applied more than age
// ago. Written to the log again, they keep the used tokens charged after the log has
// removed the first copies.
func (l *Ledger) Renewals(now clock.Millis, id spool.ProgramID, age clock.Millis) (records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.programs[id]
	if p == nil {
		return nil
	}
	for grant, endedAt := range p.endedAt {
		if used := p.grants[grant]; used > 0 && now-endedAt > age {
			records = append(records, Record{Program: id, Grant: grant, End: true, Used: used})
		}
	}
	return records
}

// Await lets Granted return the size of a grant. Call it before the request for the
// grant is appended to the log, and CancelAwait when the size is no longer needed.
func (l *Ledger) Await(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaited[grant] = -1
}

// CancelAwait reverses Await; the grant itself does not change.
func (l *Ledger) CancelAwait(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.awaited, grant)
}

// Granted returns the size of a grant for which Await was called; 0 if the budget
// did not cover Record.Need. ok is false until the request has been applied.
func (l *Ledger) Granted(grant string) (tokens int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens, ok = l.awaited[grant]
	return tokens, ok && tokens >= 0
}

// Known reports whether the ledger has applied a record of the program that has not
// expired.
func (l *Ledger) Known(id spool.ProgramID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.programs[id] != nil
}

// Total returns the number of tokens charged to a program: the sizes of its open
// grants and the used tokens of those that ended.
func (l *Ledger) Total(id spool.ProgramID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.programs[id]; p != nil {
		return p.total
	}
	return 0
}

// Expire removes the programs whose last record was applied more than
// programRetention ago.
func (l *Ledger) Expire(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.programs {
		if now > p.lastRecordAt+programRetention {
			delete(l.programs, id)
		}
	}
}
