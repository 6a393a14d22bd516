// Package chain stores turns of agent programs, so that a caller need not send the
// history of a conversation again. A turn is one request of a program and its answer.
// It may continue an earlier turn; its prompt then consists of that turn, the turns
// before that one, and its own input.
package chain

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Turn is a turn that has been answered completely.
type Turn struct {
	// ID is the caller's ID of the request.
	ID string
	// Account is the client account that sent the turn; no other account may
	// continue it.
	Account spool.AccountID
	// History contains the IDs of all turns before this one in the conversation,
	// oldest first.
	History []string
	// Input is the body of the request. Output is the generated text, in the form
	// in which it is part of the prompts of later turns.
	Input  []byte
	Output []byte
	// WrittenAt is the time at which the record was created, by the clock of the gateway
	// that wrote it: the end of the turn, or later if the turn was written again.
	WrittenAt clock.Millis
	// Retention is how long the turn is kept after its end.
	Retention clock.Millis
}

// recordVersion is the first byte of an encoded turn. Decode rejects any other
// value.
const recordVersion = 1

// ErrBadRecord is returned by Decode for data that is not an encoded turn.
var ErrBadRecord = errors.New("data is not an encoded turn")

// Encode returns the turn in binary form: recordVersion, then the fields in the
// order of Turn. Texts and the list of IDs are preceded by their length.
func (t *Turn) Encode() []byte {
	data := make([]byte, 0, len(t.Input)+len(t.Output)+len(t.History)*24+64)
	data = append(data, recordVersion)
	data = appendBytes(data, []byte(t.ID))
	data = appendBytes(data, []byte(t.Account))
	data = binary.AppendUvarint(data, uint64(len(t.History)))
	for _, id := range t.History {
		data = appendBytes(data, []byte(id))
	}
	data = appendBytes(data, t.Input)
	data = appendBytes(data, t.Output)
	data = binary.AppendVarint(data, int64(t.WrittenAt))
	return binary.AppendVarint(data, int64(t.Retention))
}

// IsRetained reports whether the retention of the turn, by itself, has not passed.
func (t *Turn) IsRetained(now clock.Millis) bool {
	return now <= t.WrittenAt+t.Retention+retentionMargin
}

// OutlivesRecord reports whether a log that retains records for logRetention may remove
// the record of earlier while t, which continues it and is written now, is retained.
func (t *Turn) OutlivesRecord(earlier *Turn, logRetention clock.Millis) bool {
	return t.WrittenAt+t.Retention+retentionMargin > earlier.WrittenAt+logRetention
}

// appendBytes appends the length of value and value to data.
func appendBytes(data, value []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(value)))
	return append(data, value...)
}

// Decode decodes the result of Encode. It returns ErrBadRecord for malformed data
// and for a turn without an ID. The turn does not share memory with record.
func Decode(record []byte) (turn *Turn, err error) {
	if len(record) == 0 || record[0] != recordVersion {
		return nil, ErrBadRecord
	}
	r := reader{rest: record[1:]}
	turn = &Turn{ID: string(r.bytes()), Account: spool.AccountID(r.bytes())}
	count := r.uvarint()
	if count > uint64(len(record)) {
		return nil, ErrBadRecord
	}
	for range count {
		turn.History = append(turn.History, string(r.bytes()))
	}
	turn.Input = append([]byte(nil), r.bytes()...)
	turn.Output = append([]byte(nil), r.bytes()...)
	turn.WrittenAt = clock.Millis(r.varint())
	turn.Retention = clock.Millis(r.varint())
	if r.failed || len(r.rest) > 0 || turn.ID == "" {
		return nil, ErrBadRecord
	}
	return turn, nil
}

// reader reads values from the front of rest. If a value is malformed, it sets
// failed; this and all later reads return zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *reader) varint() int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *reader) bytes() []byte {
	size := r.uvarint()
	if size > uint64(len(r.rest)) {
		r.failed, r.rest = true, nil
		return nil
	}
	value := r.rest[:size]
	r.rest = r.rest[size:]
	return value
}
