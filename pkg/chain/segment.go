package chain

import "encoding/binary"

// segmentVersion is the first byte of a record that contains a part of an encoded turn.
const segmentVersion = 2

const (
	// segmentOverhead bounds the bytes of a segment that are neither its payload nor the
	// ID of the turn: the version, the length of the ID, the index and the count.
	segmentOverhead = 1 + 3*binary.MaxVarintLen64
	// maxSegments bounds the number of segments of a turn, so that a malformed record
	// cannot make a gateway reserve memory.
	maxSegments = 1 << 12
)

// recordKey tells which part of which turn a record contains.
type recordKey struct {
	id string
	// index is the position of the record among the count records of the turn.
	index, count int
}

// EncodeRecords returns the records of the turn, in their order: the result of Encode if
// that has at most maxBytes, and otherwise its segments. A segment has at most maxBytes,
// unless these leave no room beside the ID.
func (t *Turn) EncodeRecords(maxBytes int) (records [][]byte) {
	encoded := t.Encode()
	if len(encoded) <= maxBytes {
		return [][]byte{encoded}
	}
	size := max(1, maxBytes-segmentOverhead-len(t.ID))
	count := (len(encoded) + size - 1) / size
	for index := range count {
		payload := encoded[index*size : min(len(encoded), (index+1)*size)]
		record := make([]byte, 0, len(payload)+len(t.ID)+segmentOverhead)
		record = append(record, segmentVersion)
		record = appendBytes(record, []byte(t.ID))
		record = binary.AppendUvarint(record, uint64(index))
		record = binary.AppendUvarint(record, uint64(count))
		records = append(records, append(record, payload...))
	}
	return records
}

// DecodeRecords decodes the result of EncodeRecords. It returns ErrBadRecord if a record
// is malformed, missing or not in its place.
func DecodeRecords(records [][]byte) (turn *Turn, err error) {
	if len(records) == 1 && len(records[0]) > 0 && records[0][0] == recordVersion {
		return Decode(records[0])
	}
	var encoded []byte
	for i, record := range records {
		key, payload, err := decodeKey(record)
		if err != nil {
			return nil, err
		}
		if key.index != i || key.count != len(records) {
			return nil, ErrBadRecord
		}
		encoded = append(encoded, payload...)
	}
	return Decode(encoded)
}

// decodeKey decodes the key of a record. payload is the part of the encoded turn that a
// segment contains, and nil for the record of a whole turn. It returns ErrBadRecord for
// data that is neither.
func decodeKey(record []byte) (key recordKey, payload []byte, err error) {
	if len(record) == 0 || record[0] != recordVersion && record[0] != segmentVersion {
		return key, nil, ErrBadRecord
	}
	r := reader{rest: record[1:]}
	key = recordKey{id: string(r.bytes()), count: 1}
	if record[0] == segmentVersion {
		index, count := r.uvarint(), r.uvarint()
		if index >= count || count > maxSegments {
			return key, nil, ErrBadRecord
		}
		key.index, key.count, payload = int(index), int(count), r.rest
	}
	if r.failed || key.id == "" {
		return key, nil, ErrBadRecord
	}
	return key, payload, nil
}
