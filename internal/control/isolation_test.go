package control_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Node that loses touch", func() {
	// Guards against a connected stream that outlives the withdrawal of its key
	// on an entry that cannot hear of it.
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
		_, err = node.TakePage(10, 0, spool.Page{Batches: []spool.Batch{batch}, First: 1, Last: 1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		watched := node.Withdrawn(20, stored.ID)
		node.CloseWatched(1 * clock.Second)
		gomega.Expect(watched).NotTo(gomega.BeClosed())
		node.CloseWatched(10 * clock.Second)
		gomega.Expect(watched).To(gomega.BeClosed())
	})
})
