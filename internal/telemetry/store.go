package telemetry

import (
	"sync/atomic"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// StoreMeter counts the calls of a process to the store. Per topic it counts the bytes
// of answers, and the bytes and the calls that were in vain because the call timed out,
// was cancelled or failed. It is safe for concurrent use.
type StoreMeter struct {
	telemetry *Telemetry
	inFlight  atomic.Int64
}

var _ spool.StoreObserver = (*StoreMeter)(nil)

// NewStoreMeter returns a meter whose counters are part of t.
func NewStoreMeter(t *Telemetry) (meter *StoreMeter, err error) {
	meter = &StoreMeter{telemetry: t}
	return meter, t.RegisterGauge("baobabspool_store_calls_in_flight", meter.inFlight.Load)
}

// CallStarted implements spool.StoreObserver.
func (m *StoreMeter) CallStarted() { m.inFlight.Add(1) }

// CallEnded implements spool.StoreObserver.
func (m *StoreMeter) CallEnded(call spool.StoreCall) {
	m.inFlight.Add(-1)
	topic := string(call.Topic)
	m.telemetry.RecordDuration("store."+string(call.Kind)+"."+topic+"."+string(call.Outcome), call.Duration)
	if call.Outcome == spool.StoreCallAnswered {
		m.telemetry.CountEvents("storeBytes."+topic, call.ResponseBytes)
		return
	}
	m.telemetry.CountEvent("storeCall." + topic + "." + string(call.Outcome))
	if call.ResponseBytes > 0 {
		m.telemetry.CountEvents("storeBytesInVain."+topic, call.ResponseBytes)
	}
}
