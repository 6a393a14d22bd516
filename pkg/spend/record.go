package spend

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Record is one record of the log. It is a request for a grant, or the end record
// of a grant if End is true.
type Record struct {
	Program spool.ProgramID
	// Grant identifies the grant; it is never used for another one.
	Grant string
	// End is true for an end record: the grant is charged with Used tokens from
	// then on, in place of its size. A grant may have several end records; a later
	// one has the same or a lower Used.
	End  bool
	Used int64
	// Need, Want and Budget are those of a request, in tokens. Need is the smallest
	// useful size of the grant, Want the largest. Budget is the number of tokens
	// that the log may grant to the program in total.
	Need, Want, Budget int64
}

// ErrBadRecord is returned for bytes that are not an encoded Record.
var ErrBadRecord = errors.New("data is not an encoded budget record")

// Record kinds, in the first byte of an encoded Record.
const (
	recordGrantRequest byte = 1
	recordGrantEnd     byte = 2
)

// maxRecordNumber is the largest number in an encoded record. It is far below the
// largest int64, so that sums of such numbers do not overflow. Encode reduces
// larger numbers to it; Decode rejects them.
const maxRecordNumber = 1 << 40

// Encode returns the record in binary form: the kind, the numbers and the length of
// Program as uvarints, then Program and Grant. A request contains Need, Want and
// Budget, an end record only Used. Negative numbers are encoded as 0.
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

// Decode decodes the result of Encode. It returns ErrBadRecord for malformed data.
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
