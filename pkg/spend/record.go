package spend

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Record is one entry of the log: the request of a grant, or its end.
type Record struct {
	Program spool.ProgramID
	// Grant identifies the grant; it is never used again.
	Grant string
	// End says that of the grant no more than Used tokens count. Of several such
	// records of a grant the later ones name no more than the earlier ones.
	End  bool
	Used int64
	// Need is the least that the grant may hold, Want the most, and Budget what the
	// program may generate.
	Need, Want, Budget int64
}

// ErrBadRecord means that bytes are no encoded record.
var ErrBadRecord = errors.New("record is no entry of a budget")

// Kinds of records.
const (
	recordRequest byte = 1
	recordEnd     byte = 2
)

// maxTokens bounds the numbers of a record, so that sums cannot overflow.
const maxTokens = 1 << 40

// Encode returns the bytes of the record.
func (r Record) Encode() []byte {
	kind, numbers := recordRequest, []int64{r.Need, r.Want, r.Budget}
	if r.End {
		kind, numbers = recordEnd, []int64{r.Used}
	}
	data := make([]byte, 0, len(r.Program)+len(r.Grant)+24)
	data = append(data, kind)
	for _, number := range numbers {
		data = binary.AppendUvarint(data, uint64(min(max(0, number), maxTokens)))
	}
	data = binary.AppendUvarint(data, uint64(len(r.Program)))
	data = append(data, r.Program...)
	return append(data, r.Grant...)
}

// Decode reads the bytes of a record.
func Decode(data []byte) (record Record, err error) {
	if len(data) == 0 {
		return record, ErrBadRecord
	}
	var numbers []*int64
	switch data[0] {
	case recordRequest:
		numbers = []*int64{&record.Need, &record.Want, &record.Budget}
	case recordEnd:
		record.End = true
		numbers = []*int64{&record.Used}
	default:
		return record, ErrBadRecord
	}
	rest := data[1:]
	for _, number := range numbers {
		value, n := binary.Uvarint(rest)
		if n <= 0 || value > maxTokens {
			return Record{}, ErrBadRecord
		}
		*number, rest = int64(value), rest[n:]
	}
	size, n := binary.Uvarint(rest)
	if n <= 0 || size > uint64(len(rest)-n) {
		return Record{}, ErrBadRecord
	}
	rest = rest[n:]
	record.Program, record.Grant = spool.ProgramID(rest[:size]), string(rest[size:])
	return record, nil
}
