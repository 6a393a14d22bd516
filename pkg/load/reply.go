package load

import "encoding/binary"

const (
	// maxKeys bounds the indices that a collector assigns.
	maxKeys = 1 << 16
	// maxOthersInFlight bounds the requests that a reply may claim to be at one instance, and
	// maxOthersServiceInFlight those at a service.
	maxOthersInFlight        = 1 << 12
	maxOthersServiceInFlight = 1 << 20
)

// The flags of a reply.
const (
	// flagReportAll asks for a full report. The reply contains nothing else.
	flagReportAll = 1 << iota
	// flagDelta says that the entries replace those of the reply that the gateway named.
	flagDelta
	// flagKeys says that the keys of new indices follow.
	flagKeys
)

// The fields of the first byte of an instance in a reply. The lower four bits are the
// requests in flight, or longInFlight if a number follows.
const (
	longInFlight = 15
	hasStream    = 1 << 4
	hasPlain     = 1 << 5
	hasTallies   = 1 << 6
	hasGap       = 1 << 7
)

// othersEntry is what a reply says of an instance, in the codes of the message. A reply
// contains the entries that differ from those of the reply before.
type othersEntry struct {
	inFlight                 uint16
	event, first, idle, call uint8
	tallies                  uint16
}

// othersService is what a reply says of a service, in the codes of the message.
type othersService struct {
	inFlight                                                              uint32
	ended, rejected, began, offered, medianEvent, medianFirst, medianCall uint8
}

// speedSteps and countSteps are the differences of codes up to which a change of a speed or
// a count is not sent. They vary with each sample; the entries of a reply would be twice as
// long if all changes were sent. Speeds are then up to 16 % off.
const (
	speedSteps = 2
	countSteps = 1
)

// changes returns the fields of e that have to be sent to a gateway that knows sent.
func (e othersEntry) changes(sent othersEntry) (fields uint8, changed bool) {
	if differs(e.event, sent.event, speedSteps) || differs(e.first, sent.first, speedSteps) || differs(e.idle, sent.idle, speedSteps) {
		fields |= hasStream
	}
	if differs(e.call, sent.call, speedSteps) {
		fields |= hasPlain
	}
	for shift := 0; shift <= 2*tallyBits; shift += tallyBits {
		const mask = 1<<tallyBits - 1
		if differs(uint8(e.tallies>>shift&mask), uint8(sent.tallies>>shift&mask), countSteps) {
			fields |= hasTallies
		}
	}
	return fields, fields != 0 || e.inFlight != sent.inFlight
}

// differs reports whether two codes differ by more than steps, or one of them is 0.
func differs(a, b uint8, steps int) bool {
	if a == 0 || b == 0 {
		return a != b
	}
	return int(a) > int(b)+steps || int(b) > int(a)+steps
}

// apply sets the given fields, and the requests in flight, to those of next.
func (e *othersEntry) apply(next othersEntry, fields uint8) {
	e.inFlight = next.inFlight
	if fields&hasStream != 0 {
		e.event, e.first, e.idle = next.event, next.first, next.idle
	}
	if fields&hasPlain != 0 {
		e.call = next.call
	}
	if fields&hasTallies != 0 {
		e.tallies = next.tallies
	}
}

// append appends the given fields of the entry. gap is the number of indices between this
// entry and the one before.
func (e othersEntry) append(message []byte, fields uint8, gap int) []byte {
	if gap > 0 {
		fields |= hasGap
	}
	message = append(message, fields|uint8(min(e.inFlight, longInFlight)))
	if gap > 0 {
		message = binary.AppendUvarint(message, uint64(gap))
	}
	if e.inFlight >= longInFlight {
		message = binary.AppendUvarint(message, uint64(e.inFlight))
	}
	if fields&hasStream != 0 {
		message = append(message, e.event, e.first, e.idle)
	}
	if fields&hasPlain != 0 {
		message = append(message, e.call)
	}
	if fields&hasTallies != 0 {
		message = binary.BigEndian.AppendUint16(message, e.tallies)
	}
	return message
}

// othersEntry reads an entry.
func (d *decoder) othersEntry() (e othersEntry, fields uint8, gap int) {
	fields = d.byte()
	if fields&hasGap != 0 {
		gap = d.number(maxKeys)
	}
	e.inFlight = uint16(fields & longInFlight)
	if e.inFlight == longInFlight {
		e.inFlight = uint16(min(maxOthersInFlight, d.number(1<<30)))
	}
	if fields&hasStream != 0 {
		e.event, e.first, e.idle = d.byte(), d.byte(), d.byte()
	}
	if fields&hasPlain != 0 {
		e.call = d.byte()
	}
	if fields&hasTallies != 0 {
		e.tallies = uint16(d.byte())<<8 | uint16(d.byte())
	}
	return e, fields, gap
}

// codes returns the fields of s other than inFlight, in the order of the message.
func (s *othersService) codes() [7]*uint8 {
	return [7]*uint8{&s.ended, &s.rejected, &s.began, &s.offered, &s.medianEvent, &s.medianFirst, &s.medianCall}
}

// changes reports whether s has to be sent to a gateway that knows sent, and whether that
// includes fields other than inFlight.
func (s *othersService) changes(sent *othersService) (changed, hasCodes bool) {
	known := sent.codes()
	for i, code := range s.codes() {
		hasCodes = hasCodes || differs(*code, *known[i], countSteps)
	}
	return hasCodes || s.inFlight != sent.inFlight, hasCodes
}

// append appends an entry. Its second number is twice the requests in flight, plus 1 if all
// other fields follow.
func (s *othersService) append(message []byte, index int, hasCodes bool) []byte {
	message = binary.AppendUvarint(message, uint64(index))
	if !hasCodes {
		return binary.AppendUvarint(message, uint64(s.inFlight)<<1)
	}
	message = binary.AppendUvarint(message, uint64(s.inFlight)<<1|1)
	for _, code := range s.codes() {
		message = append(message, *code)
	}
	return message
}

// apply reads the rest of an entry after its index into s.
func (s *othersService) apply(d *decoder) {
	number := d.number(1 << 30)
	s.inFlight = uint32(min(maxOthersServiceInFlight, number>>1))
	if number&1 == 0 {
		return
	}
	for _, code := range s.codes() {
		*code = d.byte()
	}
}

// replyHeader is the beginning of each reply.
type replyHeader struct {
	flags uint8
	// collector identifies the collector and its indices.
	collector uint64
	// sequence is the number of this reply to the gateway.
	sequence uint64
}

func (h replyHeader) append(message []byte) []byte {
	message = append(message, formatVersion, h.flags)
	message = binary.AppendUvarint(message, h.collector)
	return binary.AppendUvarint(message, h.sequence)
}

func (d *decoder) replyHeader() (h replyHeader) {
	if d.byte() != formatVersion {
		d.rest, d.err = nil, ErrMalformed
		return h
	}
	h.flags = d.byte()
	h.collector, h.sequence = d.uvarint(), d.uvarint()
	return h
}
