package load_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// frameBytes is the size of the frames of one call without the report and the reply:
// measured on a connection, 146 for the request and 122 for the reply. Both contain base64.
const frameBytes = 268

// BenchmarkExchange measures what the exchange costs a gateway and a collector. Per gateway
// there are 1.5 engines, 12 answers of streams and 12 of plain calls per second, and 4
// requests in flight.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct {
		gateways int
		interval clock.Millis
	}{{30, 250}, {100, 500}, {300, 750}} {
		b.Run(fmt.Sprint(size.gateways), func(b *testing.B) { measureExchange(b, size.gateways, size.interval) })
	}
}

// costs adds up what exchanges cost.
type costs struct {
	exchanges, upBytes, downBytes int
	clientTime, collectorTime     time.Duration
}

func measureExchange(b *testing.B, gateways int, interval clock.Millis) {
	random := rand.New(rand.NewPCG(1, 2))
	members, collector := newMembers(gateways), load.NewCollector(1)
	var total costs
	now := clock.Millis(0)
	for range 20 {
		simulateInterval(random, members, collector, &now, interval, &costs{})
	}
	for b.Loop() {
		simulateInterval(random, members, collector, &now, interval, &total)
	}
	count := float64(total.exchanges)
	perSecond := 1000 / float64(interval)
	raw := float64(total.upBytes+total.downBytes) / count
	b.ReportMetric(float64(total.upBytes)/count, "B/report")
	b.ReportMetric(float64(total.downBytes)/count, "B/reply")
	b.ReportMetric((raw*4/3+frameBytes)*perSecond, "B/s/gateway")
	b.ReportMetric(total.clientTime.Seconds()/count*perSecond, "core/gateway")
	b.ReportMetric(total.collectorTime.Seconds()/count*perSecond*float64(gateways), "core/collector")
}

// simulateInterval lets each gateway have its requests and exchange once.
func simulateInterval(random *rand.Rand, members []*member, collector *load.Collector, now *clock.Millis, interval clock.Millis, total *costs) {
	engines := 3 * len(members) / 2
	for i, m := range members {
		at := *now + clock.Millis(i)*interval/clock.Millis(len(members))
		for range 24 * int(interval) / 1000 {
			simulateRequest(random, m, at, engines)
		}
		started := time.Now()
		report := m.client.Report(at)
		reported := time.Now()
		reply, err := collector.Exchange(at, report)
		replied := time.Now()
		if err != nil {
			panic(err)
		}
		if _, err = m.client.Accept(at, at, reply); err != nil {
			panic(err)
		}
		total.exchanges++
		total.upBytes += len(report)
		total.downBytes += len(reply)
		total.clientTime += reported.Sub(started) + time.Since(replied)
		total.collectorTime += replied.Sub(reported)
	}
	*now += interval
}

// simulateRequest starts a request at one endpoint and ends one at another.
func simulateRequest(random *rand.Rand, m *member, now clock.Millis, engines int) {
	service, id := models, random.IntN(engines)
	if random.IntN(2) == 0 {
		service, id = "app", engines+random.IntN(engines*2/3)
	}
	m.pending = append(m.pending, pendingRequest{service: service, instance: engine(id)})
	m.tracker.Started(now, service, engine(id))
	if len(m.pending) <= 4 {
		return
	}
	request := m.pending[0]
	m.pending = m.pending[1:]
	slow := 0.7
	if request.instance.ID[len(request.instance.ID)-1]%3 == 0 {
		slow = 1.7
	}
	vary := func(mean float64) clock.Millis { return clock.Millis(mean * slow * (0.7 + 0.6*random.Float64())) }
	sample := load.Sample{FirstEvent: vary(60), Events: 4}
	sample.LastEvent = sample.FirstEvent + vary(120)
	if request.service != models {
		sample = load.Sample{Took: vary(80)}
	}
	m.tracker.Ended(now, request.service, request.instance, sample)
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	service  spool.ServiceName
	instance load.Instance
}
