package control_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestControl(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "control")
}

// refusalCode returns the code of err, which must be a refusal with NotRun "true".
func refusalCode(err error) spool.Code {
	refusal := &spool.Refusal{}
	gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), fmt.Sprint(err))
	gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunTrue))
	return refusal.Code
}

func startReader(config control.Config, options ...control.Option) *control.Reader {
	reader, err := control.NewReader(config, options...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(reader.Close)
	return reader
}

var _ = ginkgo.Describe("Reader of the log", func() {
	var log *fakeLog

	ginkgo.BeforeEach(func() { log = newFakeLog() })

	// Guards against a kind of record that the reader does not apply.
	ginkgo.It("puts settings, drains, services and orders in force", func() {
		reader := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		log.publish("1", settingChange("fleet/limit.burst", "7"), settingChange("account/acme/limit.burst", "9"))
		log.publish("2", settingChange("failureDomain/ndar-a/drain.failureDomain", "true"), settingChange("fleet/drain.endpoint[ep-1]", "true"))
		log.publish("3", control.Service{Name: "ledger-app", Kind: control.ServicePlain, IdempotentPaths: []string{"/read/*"}})
		fence := log.publish("4", control.Order{Endpoint: "ep-1", Order: spool.EngineOrder{Kind: spool.OrderLoad, Model: "m"}})
		gomega.Eventually(reader.Offset).Should(gomega.Equal(fence))
		gomega.Expect(reader.Ready()).To(gomega.BeTrue())
		gomega.Expect(reader.Settings(settings.Scope{}).Number(settings.LimitBurst)).To(gomega.Equal(7.0))
		gomega.Expect(reader.Settings(settings.Scope{Account: "acme"}).Number(settings.LimitBurst)).To(gomega.Equal(9.0))
		gomega.Expect(reader.Draining("ndar-a", "ep-2")).To(gomega.BeTrue())
		gomega.Expect(reader.Draining("dkr-b", "ep-1")).To(gomega.BeTrue())
		gomega.Expect(reader.Draining("dkr-b", "ep-2")).To(gomega.BeFalse())
		gomega.Expect(reader.Services()["ledger-app"].Idempotent("/read/1?x=2")).To(gomega.BeTrue())
		gomega.Expect(reader.Orders("ep-1")).To(gomega.ConsistOf(gomega.HaveField("Fence", uint64(fence))))
	})

	// Guards against a snapshot that cannot be loaded because it has several parts or the
	// log repeats an append.
	ginkgo.It("loads a snapshot that was appended in several parts, some of them twice", func() {
		early := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		for i := range 50 {
			keys := []any{}
			for range 100 {
				_, stored, err := keyring.Issue("acme", 1, 0)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				keys = append(keys, stored)
			}
			log.publish(fmt.Sprint(i), keys...)
		}
		gomega.Eventually(early.Offset).Should(gomega.Equal(spool.Offset(50)))
		gomega.Expect(early.AppendSnapshot(ginkgo.GinkgoT().Context())).To(gomega.Succeed())
		parts := log.appendedBatches()[50:]
		gomega.Expect(len(parts)).To(gomega.BeNumerically(">", 1))
		log.configure(func(l *fakeLog) { l.batches = l.batches[:50] })
		for _, part := range parts {
			for range 2 {
				_, err := log.Append(ginkgo.GinkgoT().Context(), spool.ControlStream, part)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
		log.trim(50)
		late := startReader(control.Config{Node: "e2"}, control.WithLog(log))
		gomega.Eventually(late.Offset).Should(gomega.Equal(spool.Offset(50 + 2*len(parts))))
		gomega.Expect(late.Status().Keys).To(gomega.Equal(5000))
	})

	// Guards against a single invalid record that stops a reader or the rest of its batch.
	ginkgo.It("skips and counts bad records and goes on", func() {
		counters, err := telemetry.New("e1", zap.NewNop())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reader := startReader(control.Config{Node: "e1"}, control.WithLog(log), control.WithTelemetry(counters))
		log.publish("1", spool.Record{Kind: "setting", Data: []byte(`{"path":"fleet/limit.burst","value":-5}`)},
			spool.Record{Kind: "nonsense", Data: []byte(`{}`)}, settingChange("fleet/limit.burst", "8"))
		last := log.publish("2", settingChange("fleet/retry.budgetShare", "0.5"))
		gomega.Eventually(reader.Offset).Should(gomega.Equal(last))
		gomega.Expect(reader.Settings(settings.Scope{}).Number(settings.LimitBurst)).To(gomega.Equal(8.0))
		gomega.Expect(reader.Settings(settings.Scope{}).Number(settings.RetryBudgetShare)).To(gomega.Equal(0.5))
		gomega.Eventually(func() int64 {
			return counters.Totals()[telemetry.Series{Kind: telemetry.KindEvent, Label: "control.badRecord"}]
		}).Should(gomega.BeEquivalentTo(2))
	})

	// Guards against a key that is accepted, or a running request that goes on, after the
	// withdrawal of the key was read.
	ginkgo.It("stops a key when it is withdrawn and ends what uses it", func() {
		reader := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		key, stored, err := keyring.Issue("acme", 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = reader.Authenticate("bsk_x")
		gomega.Expect(err).To(gomega.HaveOccurred())
		offset := log.publish("1", control.Account{ID: "acme"}, stored)
		gomega.Eventually(reader.Offset).Should(gomega.Equal(offset))
		account, id, err := reader.Authenticate(key.Reveal())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(account).To(gomega.Equal(spool.AccountID("acme")))
		withdrawn := reader.Withdrawn(id)
		gomega.Consistently(withdrawn, "20ms").ShouldNot(gomega.BeClosed())
		stored.Withdrawn = true
		log.publish("2", stored)
		gomega.Eventually(withdrawn).Should(gomega.BeClosed())
		_, _, err = reader.Authenticate(key.Reveal())
		gomega.Expect(refusalCode(err)).To(gomega.Equal(spool.CodeKeyWithdrawn))
		gomega.Expect(reader.Withdrawn(id)).To(gomega.BeClosed())
	})

	// Guards against a node that cannot start after the log has removed the first batches.
	ginkgo.It("loads a snapshot when retention has removed what it needs", func() {
		early := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		for i := range 20 {
			log.publish(fmt.Sprint(i), settingChange("fleet/limit.burst", fmt.Sprint(i+1)))
		}
		gomega.Eventually(early.Offset).Should(gomega.Equal(spool.Offset(20)))
		gomega.Expect(early.AppendSnapshot(ginkgo.GinkgoT().Context())).To(gomega.Succeed())
		log.trim(20)
		last := log.publish("last", settingChange("fleet/limit.staticShare", "0.3"))
		late := startReader(control.Config{Node: "e2"}, control.WithLog(log))
		gomega.Eventually(late.Offset).Should(gomega.Equal(last))
		gomega.Eventually(early.Offset).Should(gomega.Equal(last))
		a, _ := early.MarshalState()
		b, _ := late.MarshalState()
		gomega.Expect(b).To(gomega.MatchJSON(a))
	})

	// Guards against a key that is accepted, or refused as unknown, before the keys are
	// loaded.
	ginkgo.It("refuses keyed requests before the state is loaded", func() {
		log.configure(func(l *fakeLog) { l.down = true })
		reader := startReader(control.Config{Node: "e1"}, control.WithLog(log))
		_, _, err := reader.Authenticate("bsk_x")
		gomega.Expect(refusalCode(err)).To(gomega.Equal(spool.CodeIsolated))
		gomega.Expect(reader.Ready()).To(gomega.BeFalse())
	})
})
