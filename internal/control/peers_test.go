package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const testWait clock.Millis = 100

func entryConfig(name string, domain spool.FailureDomain) control.Config {
	return control.Config{Node: spool.NodeID(name), Role: spool.RoleEntry, FailureDomain: domain, PollWait: testWait}
}

func agentConfig(name string, domain spool.FailureDomain) control.Config {
	config := entryConfig(name, domain)
	config.Role = spool.RoleEndpoint
	return config
}

var _ = ginkgo.Describe("Readers that pull from each other", func() {
	var (
		log     *fakeLog
		cluster *testCluster
	)

	// isolation is the value of the setting control.isolationMs in ms. It is short, so
	// that a node without contact refuses requests within the time of the test.
	const isolation = "2000"

	ginkgo.BeforeEach(func() {
		log = newFakeLog()
		cluster = &testCluster{log: log, cleanup: func(stop func()) { ginkgo.DeferCleanup(stop) }}
		log.publish("isolation", settingChange("fleet/control.isolationMs", isolation))
	})

	publishBurst := func(value int) spool.Offset {
		return log.publish(fmt.Sprint("burst", value), settingChange("fleet/limit.burst", strconv.Itoa(value)))
	}

	// Guards against an agent that keeps asking an entry that has failed.
	ginkgo.It("keeps agents up to date, also after the entry of their failure domain has failed", func() {
		sameDomain, _ := cluster.start(entryConfig("e1", "a")), cluster.start(entryConfig("e2", "b"))
		agent := cluster.start(agentConfig("x1", "a"))
		gomega.Eventually(agent.Offset).Should(gomega.Equal(publishBurst(5)))
		sameDomain.stop()
		gomega.Eventually(agent.Offset, "3s").Should(gomega.Equal(publishBurst(6)))
		gomega.Expect(agent.Settings(settings.Scope{}).Number(settings.LimitBurst)).To(gomega.Equal(6.0))
	})

	// Guards against an entry that becomes isolated during a fault of its own connection to
	// the log, although its peers have the current state.
	ginkgo.It("keeps an entry up to date that cannot reach the log", func() {
		entry, _ := cluster.start(entryConfig("e1", "a")), cluster.start(entryConfig("e2", "b"))
		gomega.Eventually(entry.Ready).Should(gomega.BeTrue())
		entry.cutFromLog.Store(true)
		gomega.Eventually(entry.Offset, "3s").Should(gomega.Equal(publishBurst(7)))
		gomega.Consistently(entry.Isolated, "2200ms", "50ms").Should(gomega.BeFalse())
	})

	// Guards against an entry that is cut off and keeps accepting a withdrawn key, or that
	// stays isolated after it reaches the log again.
	ginkgo.It("makes an entry refuse that is cut off, until it is back", func() {
		key, stored, err := keyring.Issue("acme", 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		offset := log.publish("key", control.Account{ID: "acme"}, stored)
		// e1 and e3 reach each other, but this proves no contact because they are in
		// the same failure domain.
		entry, sameDomain, otherDomain := cluster.start(entryConfig("e1", "a")), cluster.start(entryConfig("e3", "a")), cluster.start(entryConfig("e2", "b"))
		gomega.Eventually(entry.Offset).Should(gomega.Equal(offset))
		gomega.Eventually(sameDomain.Offset).Should(gomega.Equal(offset))
		otherDomain.cutFromPeers.Store(true)
		entry.cutFromLog.Store(true)
		sameDomain.cutFromLog.Store(true)
		stored.Withdrawn = true
		offset = log.publish("withdraw", stored)
		refusalOfKey := func() string {
			_, _, err := entry.Authenticate(key.Reveal())
			refusal := &spool.Refusal{}
			_ = errors.As(err, &refusal)
			return string(refusal.Code)
		}
		gomega.Eventually(refusalOfKey, "4s").Should(gomega.Equal(string(spool.CodeIsolated)))
		gomega.Expect(sameDomain.Offset()).To(gomega.BeNumerically("<", offset))
		entry.cutFromLog.Store(false)
		gomega.Eventually(refusalOfKey, "4s").Should(gomega.Equal(string(spool.CodeKeyWithdrawn)))
		gomega.Eventually(sameDomain.Offset, "4s").Should(gomega.Equal(offset))
	})

	// Guards against entries that become isolated during an outage of the log although they
	// reach each other, and against a new entry that cannot start during the outage.
	ginkgo.It("goes on while the log is down for all", func() {
		first, second := cluster.start(entryConfig("e1", "a")), cluster.start(entryConfig("e2", "b"))
		gomega.Eventually(first.Ready).Should(gomega.BeTrue())
		gomega.Eventually(second.Ready).Should(gomega.BeTrue())
		log.configure(func(l *fakeLog) { l.down = true })
		gomega.Consistently(func() bool { return first.Isolated() || second.Isolated() }, "2200ms", "50ms").Should(gomega.BeFalse())
		late := cluster.start(entryConfig("e3", "a"))
		gomega.Eventually(late.Ready, "3s").Should(gomega.BeTrue())
		gomega.Expect(late.Offset()).To(gomega.Equal(first.Offset()))
	})

	// Guards against a node that can never catch up because its peer no longer keeps the
	// next batch, and against a relay buffer that grows beyond Config.RelayBytes.
	ginkgo.It("gives a snapshot to a node that is too far behind, with bounded memory", func() {
		config := entryConfig("e1", "a")
		config.RelayBytes = 2000
		source := cluster.start(config)
		for i := range 50 {
			publishBurst(i + 1)
		}
		gomega.Eventually(source.Offset).Should(gomega.Equal(spool.Offset(51)))
		var reply wire.PullReply
		gomega.Expect(source.clients.Call(ginkgo.GinkgoT().Context(), source.vm.Address, wire.MethodPull, wire.PullRequest{}, &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply.Batches).To(gomega.BeEmpty())
		gomega.Expect(reply.SnapshotAt).To(gomega.Equal(spool.Offset(51)))
		agent := cluster.start(agentConfig("x1", "a"))
		gomega.Eventually(agent.Offset).Should(gomega.Equal(publishBurst(60)))
		a, _ := source.MarshalState()
		b, _ := agent.MarshalState()
		gomega.Expect(b).To(gomega.MatchJSON(a))
	})

	// Guards against a load on the log that grows with the number of entries.
	ginkgo.It("lets only the chosen entries read the log", func() {
		entries := []*testNode{}
		for i := range 4 {
			config := entryConfig(fmt.Sprint("e", i), "a")
			config.LogReaders = 1
			entries = append(entries, cluster.start(config))
		}
		for _, entry := range entries {
			gomega.Eventually(entry.Ready).Should(gomega.BeTrue())
		}
		last := publishBurst(3)
		for _, entry := range entries {
			gomega.Eventually(entry.Offset, "2s").Should(gomega.Equal(last))
		}
		reads := func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.reads }
		gomega.Eventually(func() int {
			before := reads()
			gomega.Consistently(entries[0].Ready, "300ms", "300ms").Should(gomega.BeTrue())
			return reads() - before
		}, "3s").Should(gomega.BeNumerically("<=", 10))
	})

	// Guards against records that the log removes before a snapshot contains them, so that a
	// new node cannot load the state.
	ginkgo.It("appends a snapshot before the log removes what it covers", func() {
		source := cluster.start(entryConfig("e1", "a"))
		source.SetAppendsSnapshots(true)
		for i := range 30 {
			publishBurst(i + 1)
		}
		// Wait until the node has read the records, because the next step removes ten
		// of them and no snapshot contains these yet.
		gomega.Eventually(source.Offset).Should(gomega.Equal(spool.Offset(31)))
		log.trim(10)
		gomega.Eventually(func() bool {
			for _, batch := range log.appendedBatches() {
				if batch.Records[0].Kind == control.RecordSnapshot {
					return true
				}
			}
			return false
		}, "3s").Should(gomega.BeTrue())
		late := startReader(entryConfig("late", "b"), control.WithLog(log))
		gomega.Eventually(late.Offset).Should(gomega.Equal(spool.Offset(32)))
	})
})

var _ = ginkgo.Describe("Publisher", func() {
	var log *fakeLog

	ginkgo.BeforeEach(func() { log = newFakeLog() })

	// Guards against two concurrent changes that both succeed or both fail, and against a
	// batch that is applied in part, also if the log loses appends or their answers.
	ginkgo.DescribeTable("lets exactly one of two operators succeed", func(prepare func(*fakeLog)) {
		prepare(log)
		ctx := ginkgo.GinkgoT().Context()
		var publishers []*control.Publisher
		for i := range 2 {
			publishers = append(publishers, control.NewPublisher(log, spool.NodeID(fmt.Sprint("op", i))))
			gomega.Expect(publishers[i].Refresh(ctx)).To(gomega.Succeed())
		}
		results := make([]error, 2)
		var wg sync.WaitGroup
		for i, publisher := range publishers {
			wg.Go(func() {
				_, results[i] = publisher.Publish(ctx, settingChange("fleet/limit.burst", strconv.Itoa(i+5)),
					control.Order{Endpoint: "ep", Order: spool.EngineOrder{Kind: spool.OrderRole, Role: fmt.Sprint("r", i)}})
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if results[0] != nil {
			winner, loser = 1, 0
		}
		gomega.Expect(results[winner]).NotTo(gomega.HaveOccurred())
		conflict := &control.ConflictError{}
		gomega.Expect(errors.As(results[loser], &conflict)).To(gomega.BeTrue())
		gomega.Expect(conflict.Writer).To(gomega.Equal(spool.NodeID(fmt.Sprint("op", winner))))
		gomega.Expect(publishers[loser].Refresh(ctx)).To(gomega.Succeed())
		state := publishers[loser].State()
		value, offset, _ := state.Settings().Get(settingChange("fleet/limit.burst", "1").Path)
		gomega.Expect(string(value)).To(gomega.Equal(strconv.Itoa(winner + 5)))
		gomega.Expect(state.Orders("ep")).To(gomega.Equal([]spool.EngineOrder{{Fence: uint64(offset), Kind: spool.OrderRole, Role: fmt.Sprint("r", winner)}}))
	},
		ginkgo.Entry("with a healthy log", func(*fakeLog) {}),
		ginkgo.Entry("with lost answers", func(l *fakeLog) { l.loseAnswers = 3 }),
		ginkgo.Entry("with lost appends", func(l *fakeLog) { l.loseAppends = 3 }),
	)

	// Guards against a delayed copy of an append that undoes a later change.
	ginkgo.It("does not apply a change twice when the first copy arrives late", func() {
		ctx := ginkgo.GinkgoT().Context()
		publisher := control.NewPublisher(log, "op")
		offset, err := publisher.Publish(ctx, settingChange("fleet/limit.burst", "5"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		lateCopy := log.appendedBatches()[0]
		_, err = publisher.Publish(ctx, settingChange("fleet/limit.burst", "6"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = log.Append(ctx, spool.ControlStream, lateCopy)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(publisher.Refresh(ctx)).To(gomega.Succeed())
		events, complete, err := control.History(ctx, log, "fleet/limit.burst")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(complete).To(gomega.BeTrue())
		gomega.Expect(events).To(gomega.HaveLen(3))
		gomega.Expect(events[2].Applied).To(gomega.BeFalse())
		value, err := control.ValueAt(events, offset)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(value).To(gomega.Equal(json.RawMessage("5")))
	})

	// Guards against an operator who is told that the outcome is unknown although nothing
	// was appended.
	ginkgo.It("says that a change has no effect when the log is down", func() {
		log.configure(func(l *fakeLog) { l.down = true })
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := control.NewPublisher(log, "op").Publish(ctx, settingChange("fleet/limit.burst", "5"))
		gomega.Expect(err).To(gomega.MatchError(control.ErrNotPublished))
		gomega.Expect(log.appendedBatches()).To(gomega.BeEmpty())
	})

	// Guards against a publisher that gives up at the first failure of the log.
	ginkgo.It("waits for a log that comes back in time", func() {
		log.configure(func(l *fakeLog) { l.down = true })
		time.AfterFunc(100*time.Millisecond, func() { log.configure(func(l *fakeLog) { l.down = false }) })
		_, err := control.NewPublisher(log, "op").Publish(ginkgo.GinkgoT().Context(), settingChange("fleet/limit.burst", "5"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	// Guards against a publisher that bases a change on values that the operator has not
	// seen, and so overwrites the change of another writer.
	ginkgo.It("goes on from the state of a reader without reading the stream again", func() {
		reader := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		last := log.publish("1", settingChange("fleet/limit.burst", "5"))
		gomega.Eventually(reader.Offset).Should(gomega.Equal(last))
		state, err := reader.CopyState()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		publisher := control.NewPublisher(log, "op", control.WithState(state))
		log.publish("2", settingChange("fleet/limit.burst", "6"))
		_, err = publisher.Publish(ginkgo.GinkgoT().Context(), settingChange("fleet/limit.burst", "7"))
		conflict := &control.ConflictError{}
		gomega.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
		gomega.Expect(reader.Settings(settings.Scope{}).Number(settings.LimitBurst)).NotTo(gomega.Equal(7.0))
	})

	// Guards against invalid changes that reach the log, and against an error that lists only
	// the first problem.
	ginkgo.It("rejects invalid changes before they are appended", func() {
		_, err := control.NewPublisher(log, "op").Publish(ginkgo.GinkgoT().Context(), settingChange("fleet/limit.burst", "0"), control.Account{ID: "a b"})
		gomega.Expect(err).To(gomega.MatchError(control.ErrInvalid))
		gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("limit.burst"), gomega.ContainSubstring("a b"))))
		gomega.Expect(log.appendedBatches()).To(gomega.BeEmpty())
	})
})
