package load

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// FalseReport returns a full report that claims as much as the format holds.
func FalseReport(sender uint32, instance Instance, service spool.ServiceName) []byte {
	fast := reading{mean: minMillis, weight: 1e9}
	r := report{flags: flagFull, sender: sender, sequence: 1}
	r.instances = []instanceReport{{
		index: -1, key: instanceKey(instance), service: serviceKey(service), inFlight: 1 << 29, event: fast, first: fast, call: fast,
		idle: minMillis, good: 1e9, failed: 1e9, late: 1e9,
	}}
	r.services = []serviceReport{{index: -1, key: serviceKey(service), serviceCounts: serviceCounts{inFlight: 1 << 29, ended: 1e9, rejected: 1e9, began: 1e9, offered: 1e9}}}
	return r.encode()
}

// AcceptAnything takes a reply as if it were one to the last report of this client, and
// ignores its error.
func (c *Client) AcceptAnything(now clock.Millis, reply []byte) { _, _ = c.Accept(now, now, reply) }
