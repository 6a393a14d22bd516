package control_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Isolated Node", func() {
	// Guards against streams that stay open after the withdrawal of their key, on
	// an entry that is cut off and cannot learn of the withdrawal.
	ginkgo.It("ends the requests of every key once it is isolated", func() {
		node := control.NewNode(control.Config{Node: "e1", Role: spool.RoleEntry, FailureDomain: "a", Region: "r"}, 0)
		_, stored, err := keyring.Issue("weavers", 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		batch := spool.Batch{Offset: 1, ID: "1"}
		for _, content := range []any{control.Account{ID: "weavers"}, stored} {
			record, err := control.NewRecord(content)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			batch.Records = append(batch.Records, record)
		}
		_, err = node.ApplyPage(10, 0, spool.Page{Batches: []spool.Batch{batch}, First: 1, Last: 1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		withdrawn := node.Withdrawn(20, stored.ID)
		node.CloseWithdrawn(1 * clock.Second)
		gomega.Expect(withdrawn).NotTo(gomega.BeClosed())
		node.CloseWithdrawn(10 * clock.Second)
		gomega.Expect(withdrawn).To(gomega.BeClosed())
	})

	// Guards against two faults: entries of a region that is cut off keep accepting
	// withdrawn keys because they reach each other, or entries refuse requests during an
	// outage of the log although they still reach other regions.
	ginkgo.DescribeTable("counts entries of other regions as contact when there are any",
		func(from string, isolated bool) {
			node := control.NewNode(control.Config{Node: "e1", Role: spool.RoleEntry, FailureDomain: "a", Region: "north"}, 0)
			vms := map[string]spool.VM{
				"domain": {ID: "e2", Role: spool.RoleEntry, FailureDomain: "a", Region: "north", Address: "2"},
				"region": {ID: "e3", Role: spool.RoleEntry, FailureDomain: "b", Region: "north", Address: "3"},
				"abroad": {ID: "e4", Role: spool.RoleEntry, FailureDomain: "c", Region: "south", Address: "4"},
			}
			list := []spool.VM{vms["domain"], vms["region"], vms["abroad"]}
			for now := clock.Millis(0); now <= 10*clock.Second; now += 500 {
				reply := wire.PullReply{StateAge: now}
				_, err := node.ApplyReply(now, now, reply, node.ProvesContact(vms[from], list))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			gomega.Expect(node.Isolated(10 * clock.Second)).To(gomega.Equal(isolated))
		},
		ginkgo.Entry("its failure domain", "domain", true),
		ginkgo.Entry("its region", "region", true),
		ginkgo.Entry("another region", "abroad", false),
	)
})

var _ = ginkgo.Describe("State with orders to load", func() {
	// Guards against two faults: endpoints with load orders of the same group load at
	// the same time, or an endpoint waits for all endpoints that ever got a load order.
	ginkgo.It("gives each endpoint its turn among those ordered with it", func() {
		state := control.NewState()
		for offset := range spool.Offset(300) {
			record, err := control.NewRecord(control.Order{
				Endpoint: spool.EndpointID(fmt.Sprintf("m%03d", offset)),
				Order:    spool.EngineOrder{Kind: spool.OrderLoad, Model: "fog", Version: "1"},
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = state.Apply(spool.Batch{Offset: offset + 1, ID: fmt.Sprint(offset), Records: []spool.Record{record}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect([]int{state.EndpointsLoadingBefore("m000"), state.EndpointsLoadingBefore("m007"), state.EndpointsLoadingBefore("m299"), state.EndpointsLoadingBefore("m300")}).
			To(gomega.Equal([]int{0, 7, 255, 0}))
	})
})
