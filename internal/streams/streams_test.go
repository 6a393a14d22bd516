package streams_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Manager", func() {
	const stream = spool.Stream("programs-0")
	var c *cluster

	ginkgo.BeforeEach(func() {
		c = newCluster()
		ginkgo.DeferCleanup(c.close)
	})

	submit := func(n *node, value string, needsLog bool) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return n.manager.Submit(ctx, stream, []spool.Record{record(value)}, needsLog)
	}

	ginkgo.It("claims every stream of a single entry and applies submissions before they return", func() {
		n := c.start(0, nil)
		gomega.Eventually(func() int { return n.manager.Stats().Owned }, "2s").Should(gomega.Equal(4))
		gomega.Eventually(func() *node { return c.owner(stream) }, "2s").Should(gomega.Equal(n))
		for i := range 5 {
			gomega.Expect(submit(n, fmt.Sprint(i), i%2 == 0)).To(gomega.Succeed())
			gomega.Expect(n.user.of(stream)).To(gomega.HaveLen(i + 1))
		}
		gomega.Expect(n.manager.Endpoints("appraiser-models")).To(gomega.HaveLen(2))
	})
})
