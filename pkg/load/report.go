package load

import "encoding/binary"

const (
	// formatVersion is the first byte of each message. Gateways of another version are
	// ignored.
	formatVersion = 1
	// maxEntries bounds the instances and the services of one message.
	maxEntries = 4096
	// maxInFlight bounds the requests that a gateway may claim to have at one instance, and
	// maxWeight the weight of its samples there, so that a false report has a bounded effect.
	maxInFlight = 255
	maxWeight   = 20.0
	// maxCount bounds the answers of one instance that a gateway may claim to have counted.
	maxCount = 1000
	// maxServiceInFlight bounds the requests that a gateway may claim to have at a service.
	maxServiceInFlight = 1 << 16
)

// The flags of a report.
const (
	// flagLeaving says that the gateway shuts down; the report has no entries.
	flagLeaving = 1 << iota
	// flagFull says that the report replaces all that the collector knows of the gateway.
	flagFull
)

// report is what a gateway tells the collector. It contains what has changed after the
// report with number base.
type report struct {
	flags uint8
	// sender identifies the process of the gateway.
	sender uint32
	// collector is the collector whose indices the report uses; 0 for none.
	collector uint64
	// sequence is the number of this report, and base the number of the last one that was
	// answered.
	sequence, base uint64
	// reply is the number of the newest reply that the gateway has, and known the number of
	// indices of which it knows the keys.
	reply     uint64
	known     int
	instances []instanceReport
	services  []serviceReport
}

// instanceReport is what one gateway knows of an instance.
type instanceReport struct {
	// index is the collector's index of key; -1 if the sender does not know it. On the wire,
	// key and service are present only then.
	index        int
	key, service key
	inFlight     int
	// keepsRest says that the fields after it, which are not sent, have not changed.
	keepsRest          bool
	event, first, call reading
	idle               float64
	good, failed, late float64
}

// serviceReport is what one gateway knows of a service.
type serviceReport struct {
	index int
	key   key
	serviceCounts
}

// The fields that are present in an instanceReport.
const (
	hasInFlight = 1 << iota
	hasEvent
	hasFirst
	hasCall
	hasGood
	hasFailed
	hasLate
	keepsRest
)

func (r *report) encode() []byte {
	message := append(make([]byte, 0, 64+16*(len(r.instances)+len(r.services))), formatVersion, r.flags)
	message = binary.BigEndian.AppendUint32(message, r.sender)
	for _, value := range []uint64{r.collector, r.sequence, r.sequence - r.base, r.reply, uint64(r.known), uint64(len(r.instances))} {
		message = binary.AppendUvarint(message, value)
	}
	for i := range r.instances {
		message = r.instances[i].append(message)
	}
	message = binary.AppendUvarint(message, uint64(len(r.services)))
	for i := range r.services {
		message = r.services[i].append(message)
	}
	return message
}

func (r *instanceReport) append(message []byte) []byte {
	message = binary.AppendUvarint(message, uint64(r.index+1))
	if r.index < 0 {
		message = appendKey(appendKey(message, r.key), r.service)
	}
	event, first, call := encodeCount(r.event.weight), encodeCount(r.first.weight), encodeCount(r.call.weight)
	good, failed, late := encodeCount(r.good), encodeCount(r.failed), encodeCount(r.late)
	var fields uint8
	for i, present := range []bool{r.inFlight > 0, event > 0, first > 0 || r.idle > 0, call > 0, good > 0, failed > 0, late > 0} {
		if present {
			fields |= 1 << i
		}
	}
	if r.keepsRest {
		fields = fields&hasInFlight | keepsRest
	}
	message = append(message, fields)
	if fields&hasInFlight != 0 {
		message = binary.AppendUvarint(message, uint64(min(r.inFlight, maxInFlight)))
	}
	if fields&hasEvent != 0 {
		message = append(message, event, encodeMillis(r.event.mean))
	}
	if fields&hasFirst != 0 {
		message = append(message, first, encodeMillis(r.first.mean), encodeMillis(r.idle))
	}
	if fields&hasCall != 0 {
		message = append(message, call, encodeMillis(r.call.mean))
	}
	for i, code := range []uint8{good, failed, late} {
		if fields&(hasGood<<i) != 0 {
			message = append(message, code)
		}
	}
	return message
}

func (r *serviceReport) append(message []byte) []byte {
	message = binary.AppendUvarint(message, uint64(r.index+1))
	if r.index < 0 {
		message = appendKey(message, r.key)
	}
	message = binary.AppendUvarint(message, uint64(min(r.inFlight, maxServiceInFlight)))
	return append(message, encodeCount(r.ended), encodeCount(r.rejected), encodeCount(r.began), encodeCount(r.offered))
}

// decodeReport decodes a report and bounds its values.
func decodeReport(message []byte) (r report, err error) {
	d := &decoder{rest: message}
	if d.byte() != formatVersion {
		return r, ErrMalformed
	}
	r.flags, r.sender = d.byte(), d.uint32()
	r.collector, r.sequence = d.uvarint(), d.uvarint()
	r.base, r.reply = r.sequence-d.uvarint(), d.uvarint()
	r.known = d.number(maxKeys)
	count := d.number(maxEntries)
	for i := 0; i < count && d.err == nil; i++ {
		r.instances = append(r.instances, d.instanceReport())
	}
	count = d.number(maxEntries)
	for i := 0; i < count && d.err == nil; i++ {
		r.services = append(r.services, d.serviceReport())
	}
	return r, d.err
}

func (d *decoder) instanceReport() (r instanceReport) {
	r.index = d.number(maxKeys) - 1
	if r.index < 0 {
		r.key, r.service = d.key(), d.key()
	}
	fields := d.byte()
	if fields&hasInFlight != 0 {
		r.inFlight = min(maxInFlight, d.number(1<<30))
	}
	r.keepsRest = fields&keepsRest != 0
	if fields&hasEvent != 0 {
		r.event = d.reading()
	}
	if fields&hasFirst != 0 {
		r.first = d.reading()
		r.idle = decodeMillis(d.byte())
	}
	if fields&hasCall != 0 {
		r.call = d.reading()
	}
	for i, value := range []*float64{&r.good, &r.failed, &r.late} {
		if fields&(hasGood<<i) != 0 {
			*value = min(maxCount, decodeCount(d.byte()))
		}
	}
	// A late answer is a good one.
	r.late = min(r.late, r.good)
	return r
}

func (d *decoder) reading() (r reading) {
	r.weight = min(maxWeight, decodeCount(d.byte()))
	r.mean = decodeMillis(d.byte())
	if r.mean == 0 {
		return reading{}
	}
	return r
}

func (d *decoder) serviceReport() (r serviceReport) {
	r.index = d.number(maxKeys) - 1
	if r.index < 0 {
		r.key = d.key()
	}
	r.inFlight = min(maxServiceInFlight, d.number(1<<30))
	r.ended, r.rejected = decodeCount(d.byte()), decodeCount(d.byte())
	r.began, r.offered = decodeCount(d.byte()), decodeCount(d.byte())
	return r
}
