package affinity_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/affinity"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestAffinity(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "affinity")
}

// idle returns candidates without load.
func idle(count int) (candidates affinity.Candidates) {
	for n := range count {
		candidates = append(candidates, affinity.Candidate{ID: spool.EndpointID(fmt.Sprintf("e%d", n))})
	}
	return candidates
}

// withLoad returns a copy in which an endpoint has a load.
func withLoad(candidates affinity.Candidates, id spool.EndpointID, load float64) affinity.Candidates {
	changed := slices.Clone(candidates)
	for i := range changed {
		if changed[i].ID == id {
			changed[i].Load = load
		}
	}
	return changed
}

const objects = 1000

func object(n int) string { return fmt.Sprintf("object-%d", n) }

var _ = ginkgo.Describe("The endpoints of an object", func() {
	// Guards against gateways that choose differently because they have learned of the
	// endpoints in another order.
	ginkgo.It("do not depend on the order of the candidates", func() {
		candidates := idle(20)
		reversed := slices.Clone(candidates)
		slices.Reverse(reversed)
		for n := range objects {
			gomega.Expect(candidates.Preferred(object(n))).To(gomega.Equal(reversed.Preferred(object(n))))
		}
	})

	// Guards against objects that all move, and lose what their endpoints have read, when one
	// endpoint is lost, drained or ejected.
	ginkgo.It("change only for the objects of an endpoint that is lost", func() {
		candidates := idle(20)
		moved := 0
		for n := range objects {
			before := candidates.Preferred(object(n))
			gomega.Expect(before).To(gomega.HaveLen(affinity.MaxEndpoints))
			after := candidates[1:].Preferred(object(n))
			if before[0] != candidates[0].ID {
				gomega.Expect(after[0]).To(gomega.Equal(before[0]))
				continue
			}
			moved++
			gomega.Expect(after[:2]).To(gomega.Equal(before[1:]))
		}
		gomega.Expect(moved).To(gomega.BeNumerically("~", objects/20, objects/40))
	})

	// Guards against an object that fills one endpoint while others are idle, and against one
	// that spreads over all.
	ginkgo.It("are tried in a fixed order while those before are busy, and are bounded", func() {
		candidates := idle(20)
		order := candidates.Preferred("hot")
		for i, id := range order[:2] {
			candidates = withLoad(candidates, id, 0.9)
			gomega.Expect(candidates.Preferred("hot")[0]).To(gomega.Equal(order[i+1]))
		}
		candidates = withLoad(candidates, order[2], 1.1)
		gomega.Expect(candidates.Preferred("hot")).To(gomega.ConsistOf(order))
		gomega.Expect(candidates.Preferred("hot")[0]).To(gomega.Equal(order[0]))
		candidates = withLoad(candidates, order[0], 0.2)
		gomega.Expect(candidates.Preferred("hot")[0]).To(gomega.Equal(order[0]))
	})

	// Guards against objects that leave their endpoints because all endpoints are busy.
	ginkgo.It("stay the same while all endpoints have the same load", func() {
		busy := idle(20)
		for i := range busy {
			busy[i].Load = 0.95
		}
		for n := range objects {
			gomega.Expect(busy.Preferred(object(n))).To(gomega.Equal(idle(20).Preferred(object(n))))
		}
	})

	ginkgo.It("are none without candidates", func() {
		gomega.Expect(idle(0).Preferred("a")).To(gomega.BeEmpty())
		gomega.Expect(idle(1).Preferred("a")).To(gomega.HaveLen(1))
	})
})
