package gateway_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Guards against a 402 that comes too early, found by the fault soak with seed 103: the
// tokens of a gateway that had just restarted counted as lost, because its record had not
// been read yet.
var _ = ginkgo.Describe("The holder of a grant", func() {
	var (
		manualClock *clock.Manual
		records     gateway.MemberRecords
	)
	ginkgo.BeforeEach(func() {
		manualClock = clock.NewManual(1000)
		records = gateway.NewMemberRecords(manualClock)
		records.Read("g1", "first")
		records.Confirm(manualClock.Now())
		manualClock.Advance(longPause)
		records.Confirm(manualClock.Now())
	})

	ginkgo.It("is found by the incarnation of its record", func() {
		address, ended, unknown := records.AddressOf("first")
		gomega.Expect(address).To(gomega.Equal("address of first"))
		gomega.Expect(ended || unknown).To(gomega.BeFalse())
	})

	ginkgo.It("has ended as soon as a later incarnation of its node is read", func() {
		records.Read("g1", "second")
		_, ended, _ := records.AddressOf("first")
		gomega.Expect(ended).To(gomega.BeTrue())
	})

	ginkgo.It("is unknown until a record of it must have been read", func() {
		_, ended, unknown := records.AddressOf("second")
		gomega.Expect(ended).To(gomega.BeFalse())
		gomega.Expect(unknown).To(gomega.BeTrue())
		// The topic cannot be read for long.
		manualClock.Advance(longPause)
		_, ended, _ = records.AddressOf("second")
		gomega.Expect(ended).To(gomega.BeFalse())
		records.Read("g1", "second")
		address, _, _ := records.AddressOf("second")
		gomega.Expect(address).To(gomega.Equal("address of second"))
	})

	ginkgo.It("has ended if a read long after the first call finds no record of it", func() {
		records.AddressOf("of a gateway that left")
		manualClock.Advance(longPause)
		records.Confirm(manualClock.Now())
		_, ended, _ := records.AddressOf("of a gateway that left")
		gomega.Expect(ended).To(gomega.BeTrue())
	})
})

// longPause exceeds the interval of the member records and of their reads.
const longPause = 10 * clock.Second
