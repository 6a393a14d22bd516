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

func newRecord(id string, domain spool.FailureDomain) spool.EndpointRecord {
	return spool.EndpointRecord{
		ID: spool.EndpointID(id), Service: "models", Address: "10.0.0.1:80", FailureDomain: domain, Slots: 4, Sequence: 1, StartedAt: 1,
	}
}

var wantModels = endpoints.PickRequest{Service: "models"}

// newTable returns a table with two endpoints in the failure domain of the gateway
// and one in another.
func newTable() *endpoints.Table {
	t := endpoints.NewTable("home")
	t.Put(0, newRecord("h1", "home"))
	t.Put(0, newRecord("h2", "home"))
	t.Put(0, newRecord("f1", "far"))
	return t
}

var _ = ginkgo.Describe("Table", func() {
	ginkgo.It("prefers the own failure domain among equally busy endpoints, then the least busy endpoint", func() {
		t := newTable()
		first, second := t.Pick(0, wantModels), t.Pick(0, wantModels)
		gomega.Expect(first.FailureDomain()).To(gomega.Equal(spool.FailureDomain("home")))
		gomega.Expect(second.FailureDomain()).To(gomega.Equal(spool.FailureDomain("home")))
		gomega.Expect(first.ID()).NotTo(gomega.Equal(second.ID()))
		gomega.Expect(t.Pick(0, wantModels).ID()).To(gomega.Equal(spool.EndpointID("f1")))
	})

	ginkgo.It("sends the requests of a program to one endpoint while that endpoint is not busier than others", func() {
		t := newTable()
		for range 20 {
			e := t.Pick(0, endpoints.PickRequest{Service: "models", AffinityKey: "p"})
			t.Done(0, e, endpoints.Result{Outcome: endpoints.Answered})
			again := t.Pick(0, endpoints.PickRequest{Service: "models", AffinityKey: "p", Salt: "x"})
			gomega.Expect(again.ID()).To(gomega.Equal(e.ID()))
			t.Done(0, again, endpoints.Result{Outcome: endpoints.Answered})
		}
	})

	ginkgo.It("does not pick draining, evacuated, replaced or already tried endpoints", func() {
		t := newTable()
		draining := newRecord("h1", "home")
		draining.Draining = true
		t.Put(0, draining)
		t.SetEvacuated(map[spool.FailureDomain]bool{"far": true})
		e := t.Pick(0, wantModels)
		gomega.Expect(e.ID()).To(gomega.Equal(spool.EndpointID("h2")))
		t.Done(0, e, endpoints.Result{Outcome: endpoints.Misdirected})
		gomega.Expect(t.Pick(0, wantModels)).To(gomega.BeNil())
		t.SetEvacuated(nil)
		gomega.Expect(t.Pick(0, endpoints.PickRequest{Service: "models", Tried: map[spool.EndpointID]bool{"f1": true}})).To(gomega.BeNil())
	})

	ginkgo.It("ignores a record that is older than the known one", func() {
		t := newTable()
		newer := newRecord("h1", "home")
		newer.Sequence, newer.Draining = 5, true
		t.Put(0, newer)
		t.Put(0, newRecord("h1", "home"))
		gomega.Expect(t.Count("models")).To(gomega.Equal(2))
	})

	// Guards against a restarted endpoint that is ignored because its Sequence
	// starts again at a low number, or that stays marked as draining although the
	// new instance is not.
	ginkgo.It("treats a restarted endpoint with the same ID as new", func() {
		t := newTable()
		old := newRecord("h1", "home")
		old.Sequence, old.Draining = 9, true
		t.Put(0, old)
		restarted := newRecord("h1", "home")
		restarted.StartedAt = 2
		t.Put(0, restarted)
		gomega.Expect(t.Count("models")).To(gomega.Equal(3))
	})

	ginkgo.It("avoids an endpoint for a while after a failure", func() {
		t := endpoints.NewTable("home")
		t.Put(0, newRecord("h1", "home"))
		t.Put(0, newRecord("f1", "far"))
		t.Done(0, t.Pick(0, wantModels), endpoints.Result{Outcome: endpoints.Failed})
		gomega.Expect(t.Pick(1, wantModels).ID()).To(gomega.Equal(spool.EndpointID("f1")))
		gomega.Expect(t.Pick(clock.Second, wantModels).ID()).To(gomega.Equal(spool.EndpointID("h1")))
	})

	ginkgo.It("uses an endpoint in backoff if there is no other", func() {
		t := endpoints.NewTable("home")
		t.Put(0, newRecord("h1", "home"))
		t.Done(0, t.Pick(0, wantModels), endpoints.Result{Outcome: endpoints.Failed})
		gomega.Expect(t.Pick(1, wantModels)).NotTo(gomega.BeNil())
	})
})

var _ = ginkgo.Describe("A record that expires", func() {
	ginkgo.It("removes its endpoint at once while the store is available", func() {
		t := newTable()
		t.Drop(10, "h1")
		gomega.Expect(t.Count("models")).To(gomega.Equal(2))
	})

	// Guards against a service that loses all endpoints in an outage of the store,
	// because they cannot renew their records.
	ginkgo.It("keeps its endpoint until two seconds after the recovery of the store", func() {
		t := newTable()
		t.SetStoreUnavailable(0, true)
		t.Drop(10, "h1")
		gomega.Expect(t.Pick(5*clock.Second, wantModels)).NotTo(gomega.BeNil())
		t.SetStoreUnavailable(6*clock.Second, false)
		t.DropMissing(6*clock.Second+10, map[spool.EndpointID]bool{"f1": true})
		pickAll := func(now clock.Millis) int {
			for t.Pick(now, wantModels) != nil && t.Count("models") == 3 && now < 8*clock.Second {
				return 3
			}
			return t.Count("models")
		}
		gomega.Expect(pickAll(7 * clock.Second)).To(gomega.Equal(3))
		gomega.Expect(pickAll(9 * clock.Second)).To(gomega.Equal(1))
	})

	ginkgo.It("keeps its endpoint if the record is written again in that time", func() {
		t := newTable()
		t.SetStoreUnavailable(0, true)
		t.Drop(10, "h1")
		t.SetStoreUnavailable(20, false)
		t.Put(1000, newRecord("h1", "home"))
		t.Pick(9*clock.Second, wantModels)
		gomega.Expect(t.Count("models")).To(gomega.Equal(3))
	})
})

// TestColdEndpoint guards against a gateway that sends a cold endpoint more
// requests in a second than its part of ColdPerSecond, under the highest load.
func TestColdEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 10).Draw(t, "gateways")
		perSecond := rapid.Float64Range(1, 60).Draw(t, "perSecond")
		table := endpoints.NewTable("home")
		table.SetGatewayCount(gateways)
		cold := newRecord("h1", "home")
		cold.ColdFor = 10 * clock.Second
		table.Put(0, cold)
		var sent []clock.Millis
		now := clock.Millis(0)
		for i := range 300 {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
			e := table.Pick(now, endpoints.PickRequest{Service: "models", ColdPerSecond: perSecond, Salt: fmt.Sprint(i)})
			if e == nil || now >= 10*clock.Second {
				continue
			}
			table.Done(now, e, endpoints.Result{Outcome: endpoints.Answered})
			sent = append(sent, now)
			inWindow := 0
			for _, at := range sent {
				if at > now-clock.Second {
					inWindow++
				}
			}
			if float64(inWindow) > max(1, perSecond/float64(gateways)) {
				t.Fatalf("%d requests in a second, the share of the gateway is %.1f", inWindow, perSecond/float64(gateways))
			}
		}
	})
}

var _ = ginkgo.Describe("An endpoint that says that it leaves", func() {
	const drainWithin = 2 * clock.Second
	newLeaving := func(options ...endpoints.Option) (t *endpoints.Table, other spool.EndpointRecord) {
		t = endpoints.NewTable("home", options...)
		t.Put(0, newRecord("h1", "home"))
		leaving := t.Pick(0, wantModels)
		gomega.Expect(t.MarkLeaving(100, leaving)).To(gomega.BeTrue())
		gomega.Expect(t.MarkLeaving(100, leaving)).To(gomega.BeFalse())
		return t, newRecord("f1", "far")
	}

	// Guards against requests to an endpoint that has said that it leaves while its record
	// still says that it is ready, or comes back after it had disappeared.
	ginkgo.It("gets no requests until a later start, whatever its records say", func() {
		t, _ := newLeaving()
		gomega.Expect(t.Pick(100, wantModels)).To(gomega.BeNil())
		gomega.Expect(t.Count("models")).To(gomega.BeZero())
		ready := newRecord("h1", "home")
		ready.Sequence = 9
		t.Put(200, ready)
		gomega.Expect(t.Pick(200, wantModels)).To(gomega.BeNil())
		t.Drop(300, "h1")
		t.Put(400, ready)
		gomega.Expect(t.Pick(400, wantModels)).To(gomega.BeNil())
		restarted := newRecord("h1", "home")
		restarted.StartedAt = 2
		t.Put(500, restarted)
		gomega.Expect(t.Pick(500, wantModels)).NotTo(gomega.BeNil())
	})

	ginkgo.It("gets requests for half of its time if there is no other", func() {
		t, other := newLeaving(endpoints.WithDrainWithin(drainWithin))
		gomega.Expect(t.Pick(101, wantModels).ID()).To(gomega.Equal(spool.EndpointID("h1")))
		gomega.Expect(t.Pick(100+drainWithin/2, wantModels)).To(gomega.BeNil())
		t.Put(101, other)
		for _, key := range []string{"", "program"} {
			for range 20 {
				want := endpoints.PickRequest{Service: "models", AffinityKey: key}
				gomega.Expect(t.Pick(101, want).ID()).To(gomega.Equal(spool.EndpointID("f1")))
			}
		}
	})
})
