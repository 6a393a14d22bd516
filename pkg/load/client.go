package load

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Client makes the reports of a gateway and takes the replies into its Merged view. It is
// safe for concurrent use, but at most one report may be without a reply at a time.
type Client struct {
	tracker *Tracker
	merged  *Merged
	sender  uint32

	mu sync.Mutex
	// collector is the collector that sent the last reply; 0 for none. keys holds the keys
	// of its indices, and indices is its inverse.
	collector uint64
	keys      []key
	indices   map[key]int
	// sequence is the number of the last report, and base of the last one that was
	// answered.
	sequence, base uint64
	// reported is the version of the tracker that the last report contains, and answered
	// that of the last report that was answered.
	reported, answered uint64
	// reply is the number of the last reply. entries and services hold what it says.
	reply    uint64
	entries  []othersEntry
	services map[int]othersService
}

// NewClient returns a client that reports what tracker knows. sender identifies the process
// of this gateway; random bits will do.
func NewClient(sender uint32, tracker *Tracker, merged *Merged) *Client {
	c := &Client{tracker: tracker, merged: merged, sender: sender}
	c.reset(0)
	return c
}

// reset forgets what the client knows of its collector, and sets the next one.
func (c *Client) reset(collector uint64) {
	c.collector, c.keys, c.indices = collector, nil, map[key]int{}
	c.base, c.answered, c.reply = 0, 0, 0
	c.entries, c.services = nil, map[int]othersService{}
}

// IsIdle reports whether this gateway has had no requests and no programs since the last
// report that was answered, and has no requests in flight.
func (c *Client) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.isIdleSince(c.answered)
}

// Report returns the next report.
func (c *Client) Report(now clock.Millis) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	r := report{
		sender: c.sender, collector: c.collector, sequence: c.sequence, base: c.base, reply: c.reply, known: len(c.keys),
	}
	if c.base == 0 {
		r.flags |= flagFull
	}
	r.instances, r.services, c.reported = c.tracker.changes(now, c.answered)
	r.instances, r.services = r.instances[:min(len(r.instances), maxEntries)], r.services[:min(len(r.services), maxEntries)]
	for i := range r.instances {
		r.instances[i].index = c.indexOf(r.instances[i].key)
	}
	for i := range r.services {
		r.services[i].index = c.indexOf(r.services[i].key)
	}
	return r.encode()
}

// indexOf returns the collector's index of a key; -1 if it is not known.
func (c *Client) indexOf(k key) int {
	if index, ok := c.indices[k]; ok {
		return index
	}
	return -1
}

// LeaveReport returns the report that makes a collector forget this gateway.
func (c *Client) LeaveReport() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	r := report{flags: flagLeaving, sender: c.sender, sequence: c.sequence}
	return r.encode()
}

// Accept takes the reply to the last report, which was sent at sentAt. again is true if the
// collector does not know this gateway; the next report is then full and should be sent at
// once. Accept fails with ErrMalformed and changes nothing in the view then.
func (c *Client) Accept(sentAt, now clock.Millis, message []byte) (again bool, err error) {
	defer func() { err = errors.Wrap(err, "accept load of other gateways") }()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &decoder{rest: message}
	header := d.replyHeader()
	if d.err != nil {
		return false, d.err
	}
	if header.flags&flagReportAll != 0 {
		c.reset(0)
		return true, nil
	}
	if header.collector != c.collector {
		c.reset(header.collector)
	}
	if err := c.decode(d, header); err != nil {
		c.reset(0)
		return false, err
	}
	c.base, c.answered, c.reply = c.sequence, c.reported, header.sequence
	c.merged.accept(sentAt, now, c.others())
	return false, nil
}

// decode reads a reply after its header.
func (c *Client) decode(d *decoder, header replyHeader) error {
	if header.flags&flagDelta == 0 {
		clear(c.entries)
		clear(c.services)
	}
	added := 0
	if header.flags&flagKeys != 0 {
		added = d.number(maxKeys)
	}
	for i := 0; i < added && d.err == nil; i++ {
		k := d.key()
		c.indices[k] = len(c.keys)
		c.keys, c.entries = append(c.keys, k), append(c.entries, othersEntry{})
	}
	count, next := d.number(maxKeys), 0
	for i := 0; i < count && d.err == nil; i++ {
		entry, fields, gap := d.othersEntry()
		next += gap
		if next >= len(c.entries) {
			return ErrMalformed
		}
		c.entries[next].apply(entry, fields)
		next++
	}
	count = d.number(maxKeys)
	for i := 0; i < count && d.err == nil; i++ {
		index := d.number(maxKeys)
		if index >= len(c.keys) {
			return ErrMalformed
		}
		service := c.services[index]
		service.apply(d)
		c.services[index] = service
	}
	return d.err
}

// others returns what the last reply says, by key.
func (c *Client) others() others {
	o := others{instances: make(map[key]othersEntry, len(c.entries)), services: make(map[key]othersService, len(c.services))}
	for index, entry := range c.entries {
		if entry != (othersEntry{}) {
			o.instances[c.keys[index]] = entry
		}
	}
	for index, service := range c.services {
		o.services[c.keys[index]] = service
	}
	return o
}
