package streams_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Manager", func() {
	const stream = spool.Stream("programs-0")
	var c *cluster

	ginkgo.BeforeEach(func() {
		c = newCluster()
		ginkgo.DeferCleanup(c.close)
	})

	submit := func(n *testEntry, value string, needsLog bool) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return n.manager.Submit(ctx, stream, []spool.Record{newRecord(value)}, needsLog)
	}

	// Guards against streams that nobody claims, and against a Submit that returns before
	// the Applier has applied its records.
	ginkgo.It("claims every stream of a single entry and applies submissions before they return", func() {
		n := c.start(0, nil)
		gomega.Eventually(func() int { return n.manager.Stats().Owned }, "2s").Should(gomega.Equal(4))
		gomega.Eventually(func() *testEntry { return c.owner(stream) }, "2s").Should(gomega.Equal(n))
		for i := range 5 {
			gomega.Expect(submit(n, fmt.Sprint(i), i%2 == 0)).To(gomega.Succeed())
			gomega.Expect(n.applier.valuesOf(stream)).To(gomega.HaveLen(i + 1))
		}
		gomega.Expect(n.manager.Endpoints("appraiser-models")).To(gomega.HaveLen(2))
	})

	// Guards against the loss of submissions that were acknowledged after only a replica had
	// stored them.
	ginkgo.It("recovers the copies of a replica when the owner dies while the log is down", func() {
		entries := []*testEntry{c.start(0, nil), c.start(1, nil), c.start(2, nil), c.start(3, nil)}
		gomega.Eventually(func() int { return c.servedStreams() }, "3s").Should(gomega.Equal(4))
		n := c.waitSettled(stream)
		gomega.Expect(submit(n, "1", true)).To(gomega.Succeed())
		gomega.Eventually(func() error { c.log.setDown(true); return submit(n, "2", false) }).Should(gomega.Succeed())
		for i := 3; i < 10; i++ {
			gomega.Expect(submit(n, fmt.Sprint(i), false)).To(gomega.Succeed())
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := n.manager.Submit(ctx, stream, []spool.Record{newRecord("10")}, true)
		refusal := &spool.Refusal{}
		gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
		gomega.Expect(*refusal).To(gomega.HaveField("Code", spool.CodeLogUnavailable))
		gomega.Expect(*refusal).To(gomega.HaveField("NotRun", spool.NotRunTrue))
		c.crash(n, true)
		c.log.setDown(false)
		gomega.Eventually(func() *testEntry { return c.owner(stream) }, "5s").ShouldNot(gomega.BeNil())
		next := c.owner(stream)
		gomega.Expect(next.applier.valuesOf(stream)).To(gomega.Equal([]string{"1", "2", "3", "4", "5", "6", "7", "8", "9"}))
		gomega.Expect(entries).To(gomega.ContainElement(next))
	})

	// Guards against an owner that goes on as the confirmed owner while a replica could
	// already answer the fence request of a new owner.
	ginkgo.It("keeps its authority while the log is down only as long as every replica grants a lease", func() {
		entries := []*testEntry{c.start(0, nil), c.start(1, nil), c.start(2, nil)}
		gomega.Eventually(func() int { return c.servedStreams() }, "3s").Should(gomega.Equal(4))
		n := c.waitSettled(stream)
		c.log.setDown(true)
		until := func() clock.Millis { confirmedUntil, _ := n.manager.ConfirmedUntil(stream); return confirmedUntil }
		leaseActive := func() bool { return until() > clock.System().Now() }
		gomega.Eventually(leaseActive, "2s").Should(gomega.BeTrue())
		for _, other := range entries {
			if other != n {
				c.crash(other, false)
				break
			}
		}
		gomega.Eventually(leaseActive, "6s").Should(gomega.BeFalse())
		gomega.Consistently(leaseActive, "300ms").Should(gomega.BeFalse())
	})

	// Guards against appends that exceed the limit of the log when many submissions arrive.
	ginkgo.It("stays under the rate of appends whatever the load", func() {
		n := c.start(0, func(config *streams.Config) { config.AppendsPerSecond, config.StreamCount = 90, 8 })
		gomega.Eventually(func() int { return n.manager.Stats().Owned }, "4s").Should(gomega.Equal(8))
		before, start := c.log.appendCount(), time.Now()
		var submitted atomic.Int64
		var running sync.WaitGroup
		for i := range 200 {
			running.Go(func() {
				for time.Since(start) < time.Second {
					if n.manager.Submit(context.Background(), spool.ProgramStream(i%8), []spool.Record{newRecord("1")}, true) == nil {
						submitted.Add(1)
					}
				}
			})
		}
		running.Wait()
		rate := float64(c.log.appendCount()-before) / time.Since(start).Seconds()
		ginkgo.GinkgoWriter.Printf("%.0f appends and %d submissions a second\n", rate, submitted.Load())
		gomega.Expect(rate).To(gomega.BeNumerically("<", 100))
		gomega.Expect(submitted.Load()).To(gomega.BeNumerically(">", 500))
	})

	// Guards against streams that stay without an owner, or lose records, after an entry has
	// left or joined.
	ginkgo.It("hands streams over when an entry leaves and when one joins", func() {
		for i := range 3 {
			c.start(i, nil)
		}
		gomega.Eventually(func() int { return c.servedStreams() }, "3s").Should(gomega.Equal(4))
		n := c.waitSettled(stream)
		gomega.Expect(submit(n, "1", false)).To(gomega.Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		gomega.Expect(n.manager.ReleaseAll(ctx)).To(gomega.Succeed())
		gomega.Eventually(func() *testEntry { return c.owner(stream) }, "2s").ShouldNot(gomega.Or(gomega.BeNil(), gomega.Equal(n)))
		c.crash(n, true)
		c.start(7, nil)
		gomega.Eventually(func() int { return c.servedStreams() }, "3s").Should(gomega.Equal(4))
		next := c.waitSettled(stream)
		gomega.Expect(submit(next, "2", true)).To(gomega.Succeed())
		gomega.Expect(next.applier.valuesOf(stream)).To(gomega.Equal([]string{"1", "2"}))
	})
})
