package endpoints_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("A table with spread affinity", func() {
	const size = 8
	var (
		t        *endpoints.Table
		detector *outlier.Detector
		view     fixedView
	)
	ginkgo.BeforeEach(func() {
		view, detector = fixedView{}, outlier.New(nil)
		t = endpoints.NewTable("home", endpoints.WithSpreadAffinity(), endpoints.WithView(view), endpoints.WithOutliers(detector), endpoints.WithObserver(detector))
		for n := range size {
			t.Put(0, newRecord(fmt.Sprintf("h%d", n), "home"))
			t.Put(0, newRecord(fmt.Sprintf("f%d", n), "far"))
		}
	})
	want := func(object string) endpoints.PickRequest {
		return endpoints.PickRequest{Service: "models", AffinityKey: object, IsObject: true}
	}
	// place returns the endpoint of each object, without load.
	place := func(now clock.Millis) map[string]spool.EndpointID {
		places := map[string]spool.EndpointID{}
		for n := range 200 {
			object := fmt.Sprint("object-", n)
			e := t.Pick(now, want(object))
			t.Done(now, e, endpoints.Result{Outcome: endpoints.Answered})
			places[object] = e.ID()
		}
		return places
	}
	// expectOnlyMoved expects that the objects of an endpoint have moved, and no others.
	expectOnlyMoved := func(before, after map[string]spool.EndpointID, from spool.EndpointID) {
		moved := 0
		for object, id := range before {
			if id != from {
				gomega.Expect(after[object]).To(gomega.Equal(id))
				continue
			}
			moved++
			gomega.Expect(after[object]).NotTo(gomega.Equal(from))
		}
		gomega.Expect(moved).NotTo(gomega.BeZero())
	}

	// Guards against an object that occupies one endpoint while its neighbours are idle, and
	// against one that is read by each endpoint.
	ginkgo.It("spreads a hot object over three endpoints", func() {
		order := []spool.EndpointID{}
		for range 4 {
			e := t.Pick(0, want("hot"))
			t.Done(0, e, endpoints.Result{Outcome: endpoints.Answered})
			order = append(order, e.ID())
			view[e.ID()] = load.Stats{InFlight: 4}
		}
		gomega.Expect(order[0]).NotTo(gomega.Equal(order[1]))
		gomega.Expect(order[2]).NotTo(gomega.BeElementOf(order[:2]))
		gomega.Expect(order[3]).To(gomega.Equal(order[0]))
	})

	// Guards against objects that all move when one endpoint is not used any more.
	ginkgo.It("moves only the objects of an endpoint that is lost, drains or is ejected", func() {
		before := place(0)
		draining := newRecord("h1", "home")
		draining.Draining = true
		t.Put(0, draining)
		drained := place(0)
		expectOnlyMoved(before, drained, "h1")
		t.Drop(0, "h2")
		lost := place(0)
		expectOnlyMoved(drained, lost, "h2")
		for range 3 {
			detector.Ended(1000, "models", load.Instance{ID: "h3", StartedAt: 1}, load.Sample{Outcome: load.Failed})
		}
		expectOnlyMoved(lost, place(1000), "h3")
	})

	ginkgo.It("moves no object when an endpoint restarts", func() {
		before := place(0)
		restarted := newRecord("h1", "home")
		restarted.StartedAt = 2
		t.Put(0, restarted)
		gomega.Expect(place(0)).To(gomega.Equal(before))
	})
})
