package load

import (
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// reportLifetime is how long a report counts after its arrival.
	reportLifetime = clock.Second
	// instanceLifetime is how long what a gateway has said of an instance is kept when the
	// gateway does not mention the instance again and has no request there.
	instanceLifetime = 12 * clock.Second
	// advanceInterval is the time between two reductions of the sums by age. A report counts
	// as arrived at the last one.
	advanceInterval = 100 * clock.Millis(1)
	// rebuildInterval is the time after which the sums are computed anew, which removes
	// rounding errors and least values that have expired.
	rebuildInterval = clock.Second
	// negligibleAge is the age from which on the answers of a gateway are not subtracted from
	// a sum: by then an answer counts 0.05.
	negligibleAge = 6 * clock.Second
	// maxCollectorID is the greatest identifier that takes three bytes in a message.
	maxCollectorID = 1<<21 - 1
	// minRows is the number of indices below which a collector never assigns new ones.
	minRows = 1024
)

// ErrOutdated is the error of a report that arrives after a later one of the same gateway.
var ErrOutdated = errors.New("a later report has arrived")

// Collector merges the reports of all gateways of a deployment and answers each with what
// the others know. It is safe for concurrent use.
type Collector struct {
	mu sync.Mutex
	// id identifies the collector and its indices.
	id uint64
	// rows holds what is known of each instance and service. A row never moves while id
	// stays the same.
	rows    []row
	indices map[key]int
	// gateways holds the gateways whose last report is younger than reportLifetime, by
	// sender.
	gateways map[uint32]*reporter
	// at is the time for which the sums hold, and rebuiltAt that of their last computation.
	at, rebuiltAt clock.Millis
}

// row is an instance or a service.
type row struct {
	key key
	// service is the index of an instance's service; -1 for a service.
	service int
	// total sums up what the gateways know; services use serviceTotal.
	total        contribution
	serviceTotal serviceCounts
	medians      medians
	// encoded is total as it is sent to gateways that have no part in it, if isEncoded is
	// set.
	encoded   othersEntry
	isEncoded bool
}

// setTotal changes the sums of an instance.
func (r *row) setTotal(total contribution) { r.total, r.isEncoded = total, false }

// othersOf returns what is known of an instance at a time without the part of one gateway.
func (r *row) othersOf(at clock.Millis, held *heldInstance) othersEntry {
	if held != nil && (held.said.inFlight > 0 || at-held.saidAt < negligibleAge) {
		return r.total.plus(held.contribution(at), -1).encode()
	}
	if !r.isEncoded {
		r.encoded, r.isEncoded = r.total.encode(), true
	}
	return r.encoded
}

// reporter is a gateway that reports.
type reporter struct {
	// sequence is the number of the newest report, and heardAt its arrival.
	sequence  uint64
	heardAt   clock.Millis
	instances map[int]*heldInstance
	services  map[int]*heldService
	// replies is the number of the last reply, and sent what the gateway knows by it.
	replies      uint64
	sent         []othersEntry
	sentServices map[int]othersService
}

// heldInstance is what a gateway has last said of an instance. The sums contain it, reduced
// by its age.
type heldInstance struct {
	said   instanceReport
	saidAt clock.Millis
}

func (h *heldInstance) contribution(at clock.Millis) contribution {
	return h.said.contribution().reduce(at - h.saidAt)
}

// heldService is what a gateway has last said of a service.
type heldService struct {
	said   serviceCounts
	saidAt clock.Millis
}

func (h *heldService) contribution(at clock.Millis) serviceCounts {
	return h.said.reduce(at - h.saidAt)
}

// NewCollector returns a collector without reports. id should differ from that of all other
// collectors; random bits will do.
func NewCollector(id uint64) *Collector {
	c := &Collector{id: id & maxCollectorID}
	c.reset()
	return c
}

// reset forgets everything. The gateways then report in full.
func (c *Collector) reset() {
	c.id = max(1, (c.id+1)&maxCollectorID)
	c.rows, c.indices, c.gateways = nil, map[key]int{}, map[uint32]*reporter{}
}

// Exchange takes a report that arrives at now and returns the reply. It fails with
// ErrMalformed or ErrOutdated.
func (c *Collector) Exchange(now clock.Millis, message []byte) (reply []byte, err error) {
	defer func() { err = errors.Wrap(err, "exchange load") }()
	r, err := decodeReport(message)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if len(c.rows)+2*len(r.instances)+len(r.services) > maxKeys {
		c.reset()
	}
	if r.flags&flagLeaving != 0 {
		c.remove(r.sender)
		return replyHeader{collector: c.id}.append(nil), nil
	}
	gateway := c.gateways[r.sender]
	if gateway != nil && r.sequence <= gateway.sequence {
		return nil, ErrOutdated
	}
	if !c.canApply(&r, gateway) {
		return replyHeader{flags: flagReportAll, collector: c.id}.append(nil), nil
	}
	if gateway == nil || r.flags&flagFull != 0 {
		c.remove(r.sender)
		gateway = &reporter{instances: map[int]*heldInstance{}, services: map[int]*heldService{}, sentServices: map[int]othersService{}}
		c.gateways[r.sender] = gateway
	}
	gateway.sequence, gateway.heardAt = r.sequence, now
	c.apply(gateway, &r)
	return c.reply(gateway, &r), nil
}

// canApply reports whether a report can be understood: it is full and names all by their
// keys, or it is based on what the collector knows.
func (c *Collector) canApply(r *report, gateway *reporter) bool {
	isFull := r.flags&flagFull != 0
	if !isFull && (gateway == nil || r.collector != c.id || gateway.sequence < r.base) || r.known > len(c.rows) {
		return false
	}
	limit := len(c.rows)
	if r.collector != c.id {
		limit = 0
	}
	for i := range r.instances {
		if index := r.instances[i].index; index >= limit || index >= 0 && c.rows[index].service < 0 {
			return false
		}
	}
	for i := range r.services {
		if index := r.services[i].index; index >= limit || index >= 0 && c.rows[index].service >= 0 {
			return false
		}
	}
	return true
}

// apply replaces what a gateway has said.
func (c *Collector) apply(gateway *reporter, r *report) {
	for i := range r.services {
		said := &r.services[i]
		index, ok := said.index, true
		if index < 0 {
			index, ok = c.indexOf(said.key, -1)
		}
		if !ok {
			continue
		}
		held := gateway.services[index]
		if held == nil {
			held = &heldService{}
			gateway.services[index] = held
		}
		total := &c.rows[index].serviceTotal
		*total = total.plus(held.contribution(c.at), -1).plus(said.serviceCounts, 1)
		*held = heldService{said: said.serviceCounts, saidAt: c.at}
	}
	for i := range r.instances {
		said := &r.instances[i]
		index, ok := said.index, true
		if index < 0 {
			index, ok = c.instanceIndex(said)
		}
		if !ok {
			continue
		}
		held := gateway.instances[index]
		if held == nil {
			held = &heldInstance{}
			gateway.instances[index] = held
		}
		next := heldInstance{said: *said, saidAt: c.at}
		if said.keepsRest {
			next = *held
			next.said.inFlight = said.inFlight
		}
		row := &c.rows[index]
		row.setTotal(row.total.plus(held.contribution(c.at), -1).plus(next.contribution(c.at), 1))
		*held = next
	}
}

func (c *Collector) instanceIndex(said *instanceReport) (index int, ok bool) {
	service, ok := c.indexOf(said.service, -1)
	if !ok {
		return 0, false
	}
	return c.indexOf(said.key, service)
}

// indexOf returns the index of an instance, or of a service if service is -1. It fails if
// the key is known as one of the other kind.
func (c *Collector) indexOf(k key, service int) (index int, ok bool) {
	index, ok = c.indices[k]
	if ok {
		return index, (c.rows[index].service < 0) == (service < 0)
	}
	index = len(c.rows)
	c.rows = append(c.rows, row{key: k, service: service})
	c.indices[k] = index
	return index, true
}

// remove forgets a gateway.
func (c *Collector) remove(sender uint32) {
	gateway := c.gateways[sender]
	if gateway == nil {
		return
	}
	for index, held := range gateway.instances {
		c.rows[index].setTotal(c.rows[index].total.plus(held.contribution(c.at), -1))
	}
	for index, held := range gateway.services {
		c.rows[index].serviceTotal = c.rows[index].serviceTotal.plus(held.contribution(c.at), -1)
	}
	delete(c.gateways, sender)
}

// advance reduces the sums by age, and removes the gateways that have not reported for
// reportLifetime, if advanceInterval has passed since the last time.
func (c *Collector) advance(now clock.Millis) {
	elapsed := now - c.at
	if elapsed >= 0 && elapsed < advanceInterval {
		return
	}
	for sender, gateway := range c.gateways {
		if now-gateway.heardAt > reportLifetime {
			c.remove(sender)
		}
	}
	c.at = now
	if elapsed < 0 || now-c.rebuiltAt >= rebuildInterval {
		c.rebuild()
	} else {
		speed, counts := decay(elapsed, speedHalfLife), decay(elapsed, countHalfLife)
		for i := range c.rows {
			c.rows[i].setTotal(c.rows[i].total.scale(speed, counts))
			c.rows[i].serviceTotal = c.rows[i].serviceTotal.reduce(elapsed)
		}
	}
	c.computeMedians()
}

// rebuild computes the sums anew and forgets what gateways have said of instances that they
// no longer use. It forgets everything if most indices are not in use any more.
func (c *Collector) rebuild() {
	c.rebuiltAt = c.at
	for i := range c.rows {
		c.rows[i].setTotal(contribution{})
		c.rows[i].serviceTotal = serviceCounts{}
	}
	used := map[int]struct{}{}
	for _, gateway := range c.gateways {
		for index, held := range gateway.instances {
			if held.said.inFlight == 0 && c.at-held.saidAt > instanceLifetime {
				delete(gateway.instances, index)
				continue
			}
			c.rows[index].setTotal(c.rows[index].total.plus(held.contribution(c.at), 1))
			used[index] = struct{}{}
		}
		for index, held := range gateway.services {
			c.rows[index].serviceTotal = c.rows[index].serviceTotal.plus(held.contribution(c.at), 1)
			used[index] = struct{}{}
		}
	}
	if len(c.rows) >= minRows && len(c.rows) > 4*len(used) {
		c.reset()
	}
}

// computeMedians computes the medians of each service over its instances.
func (c *Collector) computeMedians() {
	type speeds struct{ event, first, call []float64 }
	byService := map[int]*speeds{}
	for i := range c.rows {
		r := &c.rows[i]
		if r.service < 0 {
			r.medians = medians{}
			continue
		}
		s := byService[r.service]
		if s == nil {
			s = &speeds{}
			byService[r.service] = s
		}
		s.event = appendKnown(s.event, r.total.event.mean())
		s.first = appendKnown(s.first, r.total.first.mean())
		s.call = appendKnown(s.call, r.total.call.mean())
	}
	for index, s := range byService {
		c.rows[index].medians = medians{event: median(s.event), first: median(s.first), call: median(s.call)}
	}
}

// reply returns what the other gateways know, as far as the gateway does not know it from
// the reply that its report names.
func (c *Collector) reply(gateway *reporter, r *report) []byte {
	header := replyHeader{collector: c.id, sequence: gateway.replies + 1}
	if r.collector == c.id && r.reply == gateway.replies && r.reply > 0 {
		header.flags |= flagDelta
	} else {
		clear(gateway.sent)
		clear(gateway.sentServices)
	}
	gateway.replies++
	known := r.known
	if r.collector != c.id {
		known = 0
	}
	added := c.rows[known:]
	if len(added) > 0 {
		header.flags |= flagKeys
	}
	message := header.append(make([]byte, 0, 512))
	if len(added) > 0 {
		message = binary.AppendUvarint(message, uint64(len(added)))
	}
	for i := range added {
		message = appendKey(message, added[i].key)
	}
	message = c.appendInstances(message, gateway)
	return c.appendServices(message, gateway)
}

func (c *Collector) appendInstances(message []byte, gateway *reporter) []byte {
	for len(gateway.sent) < len(c.rows) {
		gateway.sent = append(gateway.sent, othersEntry{})
	}
	var entries []byte
	count, next := 0, 0
	for index := range c.rows {
		row := &c.rows[index]
		if row.service < 0 {
			continue
		}
		entry := row.othersOf(c.at, gateway.instances[index])
		fields, changed := entry.changes(gateway.sent[index])
		if !changed {
			continue
		}
		gateway.sent[index].apply(entry, fields)
		entries = entry.append(entries, fields, index-next)
		count, next = count+1, index+1
	}
	message = binary.AppendUvarint(message, uint64(count))
	return append(message, entries...)
}

func (c *Collector) appendServices(message []byte, gateway *reporter) []byte {
	var entries []byte
	count := 0
	for index := range c.rows {
		row := &c.rows[index]
		if row.service >= 0 {
			continue
		}
		total := row.serviceTotal
		if held := gateway.services[index]; held != nil {
			total = total.plus(held.contribution(c.at), -1)
		}
		service := othersService{
			inFlight: uint32(min(maxOthersServiceInFlight, total.inFlight)),
			ended:    encodeCount(total.ended), rejected: encodeCount(total.rejected), began: encodeCount(total.began), offered: encodeCount(total.offered),
			medianEvent: encodeMillis(row.medians.event), medianFirst: encodeMillis(row.medians.first), medianCall: encodeMillis(row.medians.call),
		}
		sent := gateway.sentServices[index]
		changed, hasCodes := service.changes(&sent)
		if !changed {
			continue
		}
		entries = service.append(entries, index, hasCodes)
		count++
		if !hasCodes {
			sent.inFlight = service.inFlight
			service = sent
		}
		gateway.sentServices[index] = service
	}
	message = binary.AppendUvarint(message, uint64(count))
	return append(message, entries...)
}
