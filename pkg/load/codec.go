package load

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

const (
	// minMillis is the shortest duration that a message can hold. millisStep is the
	// logarithm of the ratio of two successive values: 255 values reach 10 minutes, with an
	// error of at most 3 %.
	minMillis  = 0.1
	millisStep = 0.0615
	// countScale is the number of values per doubling of a count. 255 values reach 65,000,
	// with an error of at most 2 %.
	countScale = 16.0
	// tallyScale and tallyBits are the same for the counts of a reply, which are packed
	// into two bytes: up to 1,200 with an error of at most 12 %.
	tallyScale = 3.0
	tallyBits  = 5
)

// ErrMalformed is the error of a report or a reply that cannot be decoded.
var ErrMalformed = errors.New("load message is malformed")

// encodeMillis returns the code of a duration; 0 stands for an unknown one.
func encodeMillis(value float64) uint8 {
	if !(value > 0) {
		return 0
	}
	return uint8(min(255, max(1, 1+math.Round(math.Log(value/minMillis)/millisStep))))
}

func decodeMillis(code uint8) float64 {
	if code == 0 {
		return 0
	}
	return minMillis * math.Exp(millisStep*float64(code-1))
}

func encodeCount(value float64) uint8 {
	if !(value > 0) {
		return 0
	}
	return uint8(min(255, math.Round(countScale*math.Log2(1+value))))
}

func decodeCount(code uint8) float64 { return math.Exp2(float64(code)/countScale) - 1 }

func encodeTally(value float64) uint16 {
	if !(value > 0) {
		return 0
	}
	return uint16(min(1<<tallyBits-1, math.Round(tallyScale*math.Log2(1+value))))
}

func decodeTally(code uint16) float64 {
	return math.Exp2(float64(code&(1<<tallyBits-1))/tallyScale) - 1
}

// packTallies returns the codes of three counts in 15 bits.
func packTallies(good, failed, late float64) uint16 {
	return encodeTally(good)<<(2*tallyBits) | encodeTally(failed)<<tallyBits | encodeTally(late)
}

// decoder reads a message. After the first error, all reads return 0.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) byte() uint8 {
	if len(d.rest) == 0 {
		d.err = ErrMalformed
		return 0
	}
	value := d.rest[0]
	d.rest = d.rest[1:]
	return value
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.rest, d.err = nil, ErrMalformed
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

// number returns an unsigned integer of at most limit; a greater one is an error.
func (d *decoder) number(limit int) int {
	value := d.uvarint()
	if value > uint64(limit) {
		d.rest, d.err = nil, ErrMalformed
		return 0
	}
	return int(value)
}

func (d *decoder) uint32() uint32 {
	if len(d.rest) < 4 {
		d.rest, d.err = nil, ErrMalformed
		return 0
	}
	value := binary.BigEndian.Uint32(d.rest)
	d.rest = d.rest[4:]
	return value
}

func (d *decoder) key() key {
	if len(d.rest) < 8 {
		d.rest, d.err = nil, ErrMalformed
		return 0
	}
	value := binary.BigEndian.Uint64(d.rest)
	d.rest = d.rest[8:]
	return key(value)
}

func appendKey(message []byte, k key) []byte {
	return binary.BigEndian.AppendUint64(message, uint64(k))
}
