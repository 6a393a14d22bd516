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
// stopped program may return within the retention of its turns.
const programRetention = 10 * clock.Minute

type programSpending struct {
	// grants holds the tokens charged for each grant: its size while it is open,
	// and the tokens used once it has ended.
	grants map[string]int64
	// openGrants are the grants that may hold more tokens than are used.
	openGrants map[string]bool
	// total is the sum of grants.
	total        int64
	lastRecordAt clock.Millis
}

// Ledger is the state derived from the records of one partition. It is safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	programs map[spool.ProgramID]*programSpending
	// nextOffset is the offset of the first record that has not been applied.
	nextOffset int64
	// awaited holds the sizes of the grants that a caller waits for; negative until
	// known.
	awaited map[string]int64
}

// NewLedger returns an empty ledger that starts at offset 0.
func NewLedger() *Ledger {
	return &Ledger{programs: map[spool.ProgramID]*programSpending{}, awaited: map[string]int64{}}
}

// Next returns the offset of the first record that has not been applied.
func (l *Ledger) NextOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextOffset
}

// Skip advances the ledger to offset if earlier records are no longer available.
func (l *Ledger) SkipTo(offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextOffset = max(l.nextOffset, offset)
}

// Apply applies records, the first of which is at offset from. Records that have
// been applied before are skipped. It returns false, and applies nothing, if
// records before from are missing.
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
		p = &programSpending{grants: map[string]int64{}, openGrants: map[string]bool{}}
		l.programs[record.Program] = p
	}
	p.lastRecordAt = now
	previous, ok := p.grants[record.Grant]
	if record.End {
		delete(p.openGrants, record.Grant)
		p.grants[record.Grant] = record.Used
		p.total += record.Used - previous
		return
	}
	// A repeated request, or one that takes effect after the end of its grant,
	// changes nothing.
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

// grantSize returns the size of a grant, given the remaining tokens of the budget.
// A request gets at least what it needs and otherwise at most half of the remaining
// tokens, so that turns at other gateways can get grants as well.
func grantSize(record Record, remaining int64) int64 {
	if remaining < record.Need {
		return 0
	}
	return max(record.Need, min(record.Want, remaining/2))
}

// Open returns the grants of a program that may hold more tokens than are used.
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

// Await registers interest in the size of a grant. Call it before the record of the
// request is appended.
func (l *Ledger) Await(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaited[grant] = -1
}

// Forget cancels Await.
func (l *Ledger) Forget(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.awaited, grant)
}

// Granted returns the size of an awaited grant, 0 if the budget did not cover its
// need. ok is false until the record of the request has been applied.
func (l *Ledger) Granted(grant string) (tokens int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens, ok = l.awaited[grant]
	return tokens, ok && tokens >= 0
}

// Known reports whether the ledger remembers a record of the program.
func (l *Ledger) Known(id spool.ProgramID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.programs[id] != nil
}

// Total returns the number of tokens charged to a program.
func (l *Ledger) Total(id spool.ProgramID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.programs[id]; p != nil {
		return p.total
	}
	return 0
}

// Expire drops programs without a recent record.
func (l *Ledger) Expire(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.programs {
		if now > p.lastRecordAt+programRetention {
			delete(l.programs, id)
		}
	}
}
