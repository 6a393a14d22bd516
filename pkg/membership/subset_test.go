package membership_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Subset", func() {
	names := func(prefix string, count int) []spool.NodeID {
		nodes := make([]spool.NodeID, count)
		for i := range nodes {
			nodes[i] = spool.NodeID(fmt.Sprintf("%s%04d", prefix, i))
		}
		return nodes
	}

	// Guards against subsets that are larger than the minimum size at the target
	// size of 330 entries and 917 endpoints, and against endpoints that are in no
	// subset, so that no entry sends work to them.
	ginkgo.It("stays small at the target size and leaves no endpoint out", func() {
		endpoints := names("m", 917)
		watched := map[spool.NodeID]int{}
		for _, entry := range names("e", 330) {
			subset := membership.Subset(entry, 330, endpoints, 64)
			gomega.Expect(subset).To(gomega.HaveLen(64))
			for _, endpoint := range subset {
				watched[endpoint]++
			}
		}
		gomega.Expect(watched).To(gomega.HaveLen(917))
	})

	ginkgo.It("contains every endpoint when there are few", func() {
		gomega.Expect(membership.Subset("e1", 4, names("m", 12), 64)).To(gomega.HaveLen(12))
	})
})
