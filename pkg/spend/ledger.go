// Package spend counts the tokens that the turns of a program generate, over all
// gateways. The count is a fold of a log partition that every gateway of the
// program reads in the same order: a turn reserves its most before it starts and
// corrects the reservation when it has ended.
package spend

import (
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Entry is one record: the tokens that a turn is counted with from there on.
type Entry struct {
	Program spool.ProgramID
	// Turn identifies the request; a later entry of the same turn replaces an
	// earlier one.
	Turn   string
	Tokens int64
	// Final entries correct a reservation. A reservation that takes effect after the
	// correction changes nothing.
	Final bool
}

// ErrBadRecord means that bytes are no encoded entry.
var ErrBadRecord = errors.New("record is no entry of a budget")

const (
	recordReserve byte = 1
	recordFinal   byte = 2
)

// Encode returns the entry as a record.
func (e Entry) Encode() []byte {
	data := make([]byte, 0, len(e.Program)+len(e.Turn)+16)
	kind := recordReserve
	if e.Final {
		kind = recordFinal
	}
	data = append(data, kind)
	data = binary.AppendUvarint(data, uint64(len(e.Program)))
	data = append(data, e.Program...)
	data = binary.AppendUvarint(data, uint64(e.Tokens))
	return append(data, e.Turn...)
}

// Decode reads a record.
func Decode(record []byte) (entry Entry, err error) {
	if len(record) < 2 || record[0] != recordReserve && record[0] != recordFinal {
		return entry, ErrBadRecord
	}
	entry.Final = record[0] == recordFinal
	size, n := binary.Uvarint(record[1:])
	rest := record[1+max(n, 0):]
	if n <= 0 || size > uint64(len(rest)) {
		return entry, ErrBadRecord
	}
	entry.Program, rest = spool.ProgramID(rest[:size]), rest[size:]
	tokens, n := binary.Uvarint(rest)
	if n <= 0 || tokens > 1<<62 {
		return entry, ErrBadRecord
	}
	entry.Tokens, entry.Turn = int64(tokens), string(rest[n:])
	return entry, nil
}

// programMemory is how long a program is remembered after its last entry. A
// stopped program may return within the retention of its turns.
const programMemory = 10 * clock.Minute

type program struct {
	turns map[string]Entry
	total int64
	last  clock.Millis
}

// Ledger is the fold of one partition. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	programs map[spool.ProgramID]*program
	// next is the offset of the first record that has not been applied.
	next int64
	// before holds, for each turn that waits, the total before its reservation; -1
	// until the reservation has been applied.
	before map[string]int64
}

// NewLedger returns an empty ledger that starts at offset 0.
func NewLedger() *Ledger {
	return &Ledger{programs: map[spool.ProgramID]*program{}, before: map[string]int64{}}
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
	for i, record := range records {
		if from+int64(i) < l.next {
			continue
		}
		l.next++
		entry, err := Decode(record)
		if err != nil {
			// A record of another writer belongs to no program.
			continue
		}
		l.apply(now, entry)
	}
	return true
}

func (l *Ledger) apply(now clock.Millis, entry Entry) {
	p := l.programs[entry.Program]
	if p == nil {
		p = &program{turns: map[string]Entry{}}
		l.programs[entry.Program] = p
	}
	p.last = now
	known, ok := p.turns[entry.Turn]
	if ok && !entry.Final {
		return
	}
	if before, waits := l.before[entry.Turn]; waits && before < 0 {
		l.before[entry.Turn] = p.total
	}
	p.total += entry.Tokens - known.Tokens
	p.turns[entry.Turn] = entry
}

// Await asks for the total before the reservation of a turn; it is called before
// the reservation is appended.
func (l *Ledger) Await(turn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.before[turn] = -1
}

// Forget ends Await.
func (l *Ledger) Forget(turn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.before, turn)
}

// Before returns the tokens of a program that precede the reservation of a turn;
// false while the reservation has not been applied.
func (l *Ledger) Before(turn string) (tokens int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens, ok = l.before[turn]
	return tokens, ok && tokens >= 0
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

// Expire forgets programs without a recent entry.
func (l *Ledger) Expire(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.programs {
		if now > p.last+programMemory {
			delete(l.programs, id)
		}
	}
}
