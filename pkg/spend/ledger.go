// Package spend counts the tokens that the turns of a program generate, over all
// gateways. Gateways take grants from the program's budget before they hand out
// tokens, and return what is left when the program goes elsewhere. What a grant
// holds follows from a log partition that all of them read in the same order.
package spend

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// programMemory is how long a program is remembered after its last record. A
// stopped program may return within the retention of its turns.
const programMemory = 10 * clock.Minute

type program struct {
	// grants holds what each grant counts with; an ended one with what was used.
	grants map[string]int64
	// open are the grants that may hold more than is used.
	open map[string]bool
	// total is the sum of grants.
	total int64
	last  clock.Millis
}

// Ledger is the fold of one partition. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	programs map[spool.ProgramID]*program
	// next is the offset of the first record that has not been applied.
	next int64
	// awaited holds the outcome of the grants that are waited for; negative until
	// it is known.
	awaited map[string]int64
}

// NewLedger returns an empty ledger that starts at offset 0.
func NewLedger() *Ledger {
	return &Ledger{programs: map[spool.ProgramID]*program{}, awaited: map[string]int64{}}
}

// Next returns the offset of the first record that has not been applied.
func (l *Ledger) Next() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// Skip moves the ledger to an offset, when the records before it are gone.
func (l *Ledger) Skip(offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = max(l.next, offset)
}

// Apply takes the records from an offset on in. Records that were applied before
// are skipped; it reports false when some are missing in between.
func (l *Ledger) Apply(now clock.Millis, from int64, records [][]byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from > l.next {
		return false
	}
	for i, data := range records {
		if from+int64(i) < l.next {
			continue
		}
		l.next++
		record, err := Decode(data)
		if err != nil {
			// A record of another writer belongs to no program.
			continue
		}
		l.apply(now, record)
	}
	return true
}

func (l *Ledger) apply(now clock.Millis, record Record) {
	p := l.programs[record.Program]
	if p == nil {
		p = &program{grants: map[string]int64{}, open: map[string]bool{}}
		l.programs[record.Program] = p
	}
	p.last = now
	known, ok := p.grants[record.Grant]
	if record.End {
		delete(p.open, record.Grant)
		p.grants[record.Grant] = record.Used
		p.total += record.Used - known
		return
	}
	// An append that was repeated, or one that takes effect after its end, changes
	// nothing.
	if ok {
		return
	}
	granted := grantOf(record, record.Budget-p.total)
	p.grants[record.Grant] = granted
	if granted > 0 {
		p.open[record.Grant] = true
	}
	p.total += granted
	if _, awaited := l.awaited[record.Grant]; awaited {
		l.awaited[record.Grant] = granted
	}
}

// grantOf returns what a request gets of the tokens that are left. It leaves half
// of what it does not need, so that turns at other gateways find something.
func grantOf(record Record, left int64) int64 {
	if left < record.Need {
		return 0
	}
	return max(record.Need, min(record.Want, left/2))
}

// Open returns the grants of a program that may hold more than is used.
func (l *Ledger) Open(id spool.ProgramID) (grants []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.programs[id]
	if p == nil {
		return nil
	}
	for grant := range p.open {
		grants = append(grants, grant)
	}
	return grants
}

// Await asks for the outcome of a grant; it is called before its record is
// appended.
func (l *Ledger) Await(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaited[grant] = -1
}

// Forget ends Await.
func (l *Ledger) Forget(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.awaited, grant)
}

// Granted returns the tokens of an awaited grant, 0 when the budget did not hold
// what it needed; false while its record has not been applied.
func (l *Ledger) Granted(grant string) (tokens int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens, ok = l.awaited[grant]
	return tokens, ok && tokens >= 0
}

// Known reports whether the program has a record.
func (l *Ledger) Known(id spool.ProgramID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.programs[id] != nil
}

// Total returns what a program is counted with.
func (l *Ledger) Total(id spool.ProgramID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.programs[id]; p != nil {
		return p.total
	}
	return 0
}

// Expire forgets programs without a recent record.
func (l *Ledger) Expire(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.programs {
		if now > p.last+programMemory {
			delete(l.programs, id)
		}
	}
}
