package endpoints_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestEndpoints(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "endpoints")
}

func record(id string, domain spool.FailureDomain) spool.EndpointRecord {
	return spool.EndpointRecord{
		ID: spool.EndpointID(id), Service: "models", Address: "10.0.0.1:80", FailureDomain: domain, Slots: 4, Sequence: 1, StartedAt: 1,
	}
}

var want = endpoints.Want{Service: "models"}

// table returns a table with two endpoints at home and one elsewhere.
func table() *endpoints.Table {
	t := endpoints.NewTable("home")
	t.Put(0, record("h1", "home"))
	t.Put(0, record("h2", "home"))
	t.Put(0, record("f1", "far"))
	return t
}

var _ = ginkgo.Describe("Table", func() {
	ginkgo.It("prefers endpoints of the own failure domain, then the least busy", func() {
		t := table()
		first, second := t.Pick(0, want), t.Pick(0, want)
		gomega.Expect(first.FailureDomain()).To(gomega.Equal(spool.FailureDomain("home")))
		gomega.Expect(second.FailureDomain()).To(gomega.Equal(spool.FailureDomain("home")))
		gomega.Expect(first.ID()).NotTo(gomega.Equal(second.ID()))
		gomega.Expect(t.Pick(0, want).ID()).To(gomega.Equal(spool.EndpointID("f1")))
	})

	ginkgo.It("sends the requests of a program to one endpoint while it is not busier", func() {
		t := table()
		for range 20 {
			e := t.Pick(0, endpoints.Want{Service: "models", Affinity: "p"})
			t.Done(0, e, endpoints.Answered, 0)
			again := t.Pick(0, endpoints.Want{Service: "models", Affinity: "p", Salt: "x"})
			gomega.Expect(again.ID()).To(gomega.Equal(e.ID()))
			t.Done(0, again, endpoints.Answered, 0)
		}
	})

	ginkgo.It("sends nothing to draining, evacuated, tried and replaced endpoints", func() {
		t := table()
		draining := record("h1", "home")
		draining.Draining = true
		t.Put(0, draining)
		t.SetEvacuated(map[spool.FailureDomain]bool{"far": true})
		e := t.Pick(0, want)
		gomega.Expect(e.ID()).To(gomega.Equal(spool.EndpointID("h2")))
		t.Done(0, e, endpoints.Misdirected, 0)
		gomega.Expect(t.Pick(0, want)).To(gomega.BeNil())
		t.SetEvacuated(nil)
		gomega.Expect(t.Pick(0, endpoints.Want{Service: "models", Tried: map[spool.EndpointID]bool{"f1": true}})).To(gomega.BeNil())
	})

	ginkgo.It("ignores a record that is older than what it knows", func() {
		t := table()
		newer := record("h1", "home")
		newer.Sequence, newer.Draining = 5, true
		t.Put(0, newer)
		t.Put(0, record("h1", "home"))
		gomega.Expect(t.Count("models")).To(gomega.Equal(2))
	})

	// A restarted endpoint counts from the beginning and knows nothing of what the
	// one before it was told.
	ginkgo.It("takes another start under the same identifier for a new endpoint", func() {
		t := table()
		old := record("h1", "home")
		old.Sequence, old.Draining = 9, true
		t.Put(0, old)
		restarted := record("h1", "home")
		restarted.StartedAt = 2
		t.Put(0, restarted)
		gomega.Expect(t.Count("models")).To(gomega.Equal(3))
	})

	ginkgo.It("leaves an endpoint that failed alone, and longer each time", func() {
		t := endpoints.NewTable("home")
		t.Put(0, record("h1", "home"))
		t.Put(0, record("f1", "far"))
		t.Done(0, t.Pick(0, want), endpoints.Failed, 0)
		gomega.Expect(t.Pick(1, want).ID()).To(gomega.Equal(spool.EndpointID("f1")))
		gomega.Expect(t.Pick(clock.Second, want).ID()).To(gomega.Equal(spool.EndpointID("h1")))
	})

	ginkgo.It("uses an endpoint that failed when there is no other", func() {
		t := endpoints.NewTable("home")
		t.Put(0, record("h1", "home"))
		t.Done(0, t.Pick(0, want), endpoints.Failed, 0)
		gomega.Expect(t.Pick(1, want)).NotTo(gomega.BeNil())
	})
})

var _ = ginkgo.Describe("A record that lapses", func() {
	ginkgo.It("drops the endpoint at once while the store answers", func() {
		t := table()
		t.Drop(10, "h1")
		gomega.Expect(t.Count("models")).To(gomega.Equal(2))
	})

	// Endpoints cannot write while the store is away; dropping them would leave the
	// service without any.
	ginkgo.It("keeps the endpoint until two seconds after the store's return", func() {
		t := table()
		t.StoreAway(0, true)
		t.Drop(10, "h1")
		gomega.Expect(t.Pick(5*clock.Second, want)).NotTo(gomega.BeNil())
		t.StoreAway(6*clock.Second, false)
		t.Keep(6*clock.Second+10, map[spool.EndpointID]bool{"f1": true})
		pickAll := func(now clock.Millis) int {
			for t.Pick(now, want) != nil && t.Count("models") == 3 && now < 8*clock.Second {
				return 3
			}
			return t.Count("models")
		}
		gomega.Expect(pickAll(7 * clock.Second)).To(gomega.Equal(3))
		gomega.Expect(pickAll(9 * clock.Second)).To(gomega.Equal(1))
	})

	ginkgo.It("keeps an endpoint that writes again in that time", func() {
		t := table()
		t.StoreAway(0, true)
		t.Drop(10, "h1")
		t.StoreAway(20, false)
		t.Put(1000, record("h1", "home"))
		t.Pick(9*clock.Second, want)
		gomega.Expect(t.Count("models")).To(gomega.Equal(3))
	})
})

// TestColdEndpoint sends as fast as it can: a cold endpoint never gets more in a
// second than its share of what it bears.
func TestColdEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 10).Draw(t, "gateways")
		perSecond := rapid.Float64Range(1, 60).Draw(t, "perSecond")
		table := endpoints.NewTable("home")
		table.SetGateways(gateways)
		cold := record("h1", "home")
		cold.ColdFor = 10 * clock.Second
		table.Put(0, cold)
		var sent []clock.Millis
		now := clock.Millis(0)
		for i := range 300 {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
			e := table.Pick(now, endpoints.Want{Service: "models", ColdPerSecond: perSecond, Salt: fmt.Sprint(i)})
			if e == nil || now >= 10*clock.Second {
				continue
			}
			table.Done(now, e, endpoints.Answered, 0)
			sent = append(sent, now)
			in := 0
			for _, at := range sent {
				if at > now-clock.Second {
					in++
				}
			}
			if float64(in) > max(1, perSecond/float64(gateways)) {
				t.Fatalf("%d requests in a second, the share is %.1f", in, perSecond/float64(gateways))
			}
		}
	})
}
