package spend

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Record is one record of the log: the request for a grant, or the end of a grant.
type Record struct {
	Program spool.ProgramID
	// Grant identifies the grant; it is never reused.
	Grant string
	// End marks the end of the grant: at most Used of its tokens are charged. Of
	// several such records for one grant, later ones have the same or a lower Used.
	End  bool
	Used int64
	// Need is the smallest useful size of the grant and Want the largest. Budget is
	// the number of tokens that the program may generate.
	Need, Want, Budget int64
}

// ErrBadRecord is returned for bytes that are not an encoded Record.
var ErrBadRecord = errors.New("data is not an encoded budget record")

// Record kinds, in the first byte of an encoded Record.
const (
	recordGrantRequest byte = 1
	recordGrantEnd     byte = 2
)

// maxRecordNumber bounds the numbers of a record, so that sums cannot overflow.
const maxRecordNumber = 1 << 40

// Encode returns the encoded record.
func (r Record) Encode() []byte {
	kind, numbers := recordGrantRequest, []int64{r.Need, r.Want, r.Budget}
	if r.End {
		kind, numbers = recordGrantEnd, []int64{r.Used}
	}
	data := make([]byte, 0, len(r.Program)+len(r.Grant)+24)
	data = append(data, kind)
	for _, number := range numbers {
		data = binary.AppendUvarint(data, uint64(min(max(0, number), maxRecordNumber)))
	}
	data = binary.AppendUvarint(data, uint64(len(r.Program)))
	data = append(data, r.Program...)
	return append(data, r.Grant...)
}

// Decode decodes a record.
func Decode(data []byte) (record Record, err error) {
	if len(data) == 0 {
		return record, ErrBadRecord
	}
	var numbers []*int64
	switch data[0] {
	case recordGrantRequest:
		numbers = []*int64{&record.Need, &record.Want, &record.Budget}
	case recordGrantEnd:
		record.End = true
		numbers = []*int64{&record.Used}
	default:
		return record, ErrBadRecord
	}
	rest := data[1:]
	for _, number := range numbers {
		value, n := binary.Uvarint(rest)
		if n <= 0 || value > maxRecordNumber {
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
