package homes_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{}) }

func TestHomes(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "homes")
}

// manualClock is a clock that a test sets.
type manualClock struct{ now clock.Millis }

func (c *manualClock) Now() clock.Millis { return c.now }

func gateways(count int) (list []homes.Gateway) {
	for i := range count {
		list = append(list, homes.Gateway{Node: spool.NodeID(fmt.Sprintf("front-%d", i)), Address: fmt.Sprintf("address-%d", i)})
	}
	return list
}

func partition(i int) spool.Partition { return spool.Partition{Topic: spool.TopicTurns, Index: i} }

var _ = ginkgo.Describe("Table", func() {
	var (
		time  *manualClock
		table *homes.Table
	)
	ginkgo.BeforeEach(func() {
		time = &manualClock{now: clock.Minute}
		table = homes.NewTable(time)
	})

	// Guards against gateways that read the same partition because they choose different
	// homes for it.
	ginkgo.It("chooses the same homes at each gateway, whatever the order of the members", func() {
		members := gateways(30)
		reversed := make([]homes.Gateway, len(members))
		for i, member := range members {
			reversed[len(members)-1-i] = member
		}
		other := homes.NewTable(time)
		table.SetGateways(members)
		other.SetGateways(reversed)
		for i := range 24 {
			gomega.Expect(table.Candidates(partition(i))).To(gomega.Equal(other.Candidates(partition(i))))
		}
	})

	// Guards against a few homes that read and answer for all partitions.
	ginkgo.It("spreads the partitions over the gateways", func() {
		const partitions = 2400
		for _, count := range []int{8, 30, 300} {
			table.SetGateways(gateways(count))
			perNode := map[spool.NodeID]int{}
			for i := range partitions {
				perNode[table.Candidates(partition(i))[0].Node]++
			}
			for node, share := range perNode {
				gomega.Expect(share).To(gomega.BeNumerically("<=", 2*partitions/count+10), "%s of %d", node, count)
			}
		}
	})

	// Guards against a change of the members after which all partitions are read anew.
	ginkgo.It("moves only the partitions of a gateway that leaves", func() {
		members := gateways(30)
		before := map[int]spool.NodeID{}
		table.SetGateways(members)
		for i := range 24 {
			before[i] = table.Candidates(partition(i))[0].Node
		}
		table.SetGateways(members[1:])
		for i := range 24 {
			if before[i] != members[0].Node {
				gomega.Expect(table.Candidates(partition(i))[0].Node).To(gomega.Equal(before[i]))
			}
		}
	})

	// Guards against each lookup waiting for a gateway that is gone, until its record
	// expires.
	ginkgo.It("leaves out a gateway that failed, until it answers or the backoff has passed", func() {
		table.SetGateways(gateways(3))
		home, second := table.Candidates(partition(0))[0], table.Candidates(partition(0))[1]
		table.RecordFailure(home.Node)
		gomega.Expect(table.Candidates(partition(0))[0]).To(gomega.Equal(second))
		table.RecordAnswer(home.Node)
		gomega.Expect(table.Candidates(partition(0))[0]).To(gomega.Equal(home))
		table.RecordFailure(home.Node)
		time.now += 2 * clock.Second
		gomega.Expect(table.Candidates(partition(0))[0]).To(gomega.Equal(home))
	})
})
