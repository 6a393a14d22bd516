package story_test

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/story"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestStory(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "story")
}

// logs are lines of two gateways, out of order, with the prefixes of a log collector and
// other text between them.
const logs = `
 1.1 g1 {"level":"info","ts":101.1,"msg":"[limits] limit owner changes","node":"g1","owner":"g2","epoch":7}
 1.5 g1 {"level":"info","ts":101.5,"msg":"[gateway] request refused","node":"g1","request":"r1","program":"p1","reason":"overLimit"}
panic: no JSON here {
 0.9 g2 {"level":"warn","ts":100.9,"msg":"[store] store is away","node":"g2","error":"timeout"}
 2.0 g2 {"level":"info","ts":102.0,"msg":"[gateway] request refused","node":"g2","request":"r2","program":"p1","reason":"storeAway"}
 2.5 g2 {"level":"info","ts":102.5,"msg":"[store] store answers again","node":"g2","awayMs":1600}
 3.0 g2 {"level":"info","ts":103.0,"msg":"[gateway] request refused","node":"g2","request":"r3","program":"p1","reason":"overLimit"}
 3.1 g2 {"level":"info","ts":103.1,"msg":"[gateway] request answered","node":"g2","request":"r4","program":"p1","endpoint":"e1","outcome":"answered"}
 4.0 g1 {"level":"info","ts":105.0,"msg":"[gateway] endpoint's record is gone","node":"g1","endpoint":"e2"}
 4.1 g1 {"level":"info","ts":105.1,"msg":"[gateway] request not answered","node":"g1","request":"r5","program":"p2","endpoint":"e2","outcome":"broken","cause":"endpoint","leftMs":900,"events":2}
 4.2 g1 {"level":"info","ts":105.2,"msg":"[gateway] request not answered","node":"g1","request":"r6","program":"p2","endpoint":"e2","outcome":"unreached"}
`

func readLogs(text string) []story.Line {
	lines, err := story.Read(strings.NewReader(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return lines
}

// The specs guard against an on-call engineer who gets a wrong cause, or none, for a
// complaint that names a request.
var _ = ginkgo.Describe("A story", func() {
	ginkgo.It("tells a program in order of time, with the causes of its failures", func() {
		told := story.Of(readLogs(logs), "p1")
		causes := map[string]string{}
		for _, failure := range told.Failures {
			causes[failure.Request] = failure.Cause
		}
		gomega.Expect(causes).To(gomega.HaveLen(3))
		gomega.Expect(causes["r1"]).To(gomega.ContainSubstring("changed to g2 0.40 s before"))
		gomega.Expect(causes["r2"]).To(gomega.ContainSubstring("away for 1.10 s"))
		gomega.Expect(causes["r3"]).To(gomega.ContainSubstring("over its rate"), "the store had come back")
		for i := 1; i < len(told.Lines); i++ {
			gomega.Expect(told.Lines[i].At).To(gomega.BeNumerically(">=", told.Lines[i-1].At))
		}
	})

	ginkgo.It("tells one request with what its gateway believed, and nothing of others", func() {
		told := story.Of(readLogs(logs), "r5")
		gomega.Expect(told.Lines).To(gomega.HaveLen(2))
		gomega.Expect(told.Failures[0].Cause).To(gomega.ContainSubstring("endpoint e2 ended"))
		gomega.Expect(story.Of(readLogs(logs), "r6").Failures).To(gomega.BeEmpty(), "a try that is followed by another")
		gomega.Expect(story.Of(readLogs(logs), "unknown").Lines).To(gomega.BeEmpty())
	})

	ginkgo.It("knows that the store has been away for longer than the context", func() {
		long := strings.Replace(logs, `"ts":102.0`, `"ts":109.0`, 1)
		long = strings.Replace(long, `"ts":102.5`, `"ts":110.0`, 1)
		gomega.Expect(story.Of(readLogs(long), "r2").Failures[0].Cause).To(gomega.ContainSubstring("away for 8.10 s"))
	})

	// Guards against blaming the endpoint for an answer that the gateway has cut off.
	ginkgo.It("tells that the budget ended in the middle of an answer", func() {
		told := story.Of(readLogs(`
 5.0 g1 {"level":"info","ts":106.0,"msg":"[gateway] answer is cut off for lack of budget","node":"g1","request":"r7"}
 5.0 g1 {"level":"info","ts":106.0,"msg":"[gateway] request not answered","node":"g1","request":"r7","program":"p3","endpoint":"e2","outcome":"broken","cause":"budget","leftMs":900,"events":12}
`), "r7")
		gomega.Expect(told.Failures).To(gomega.HaveLen(1))
		gomega.Expect(told.Failures[0].Cause).To(gomega.ContainSubstring("budget granted no more tokens"))
	})

	// Guards against telling that a budget is spent of which a third is kept for outages.
	ginkgo.It("tells which part of a budget did not suffice", func() {
		told := story.Of(readLogs(`
 5.0 g1 {"level":"info","ts":106.0,"msg":"[gateway] request refused","node":"g1","request":"r9","reason":"budgetSpent","tokenBudget":900,"mostTokens":300}
`), "r9")
		gomega.Expect(told.Failures[0].Cause).To(gomega.ContainSubstring("of a budget of 900 tokens, 600 are granted"))
	})

	// Guards against blaming the store for a turn whose caller left.
	ginkgo.It("tells that the caller left before a turn was stored", func() {
		told := story.Of(readLogs(`
 5.0 g1 {"level":"warn","ts":106.0,"msg":"[gateway] turn was not kept","node":"g1","request":"r8","error":"store turn \"r8\": context canceled"}
`), "r8")
		gomega.Expect(told.Failures).To(gomega.HaveLen(1))
		gomega.Expect(told.Failures[0].Cause).To(gomega.ContainSubstring("caller left"))
	})

	ginkgo.It("lists the requests that failed", func() {
		gomega.Expect(story.FailedRequests(readLogs(logs))).To(gomega.Equal([]string{"r1", "r2", "r3", "r5"}))
	})
})

// TestReasons guards against a reason for which no cause is told.
func TestReasons(t *testing.T) {
	source, err := os.ReadFile("../../internal/gateway/refusal.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(source), "\n") {
		if _, value, found := strings.Cut(line, "spool.Code = "); found {
			reason := strings.Trim(value, `"`)
			lines, _ := story.Read(strings.NewReader(`{"ts":1,"node":"g","msg":"[gateway] request refused","request":"r","reason":"` + reason + `"}`))
			if told := story.Of(lines, "r"); len(told.Failures) != 1 || told.Failures[0].Cause == "" {
				t.Errorf("no cause is told for %q", reason)
			}
		}
	}
}

// FuzzRead guards against a line that ends the command.
func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _ := story.Read(strings.NewReader(text))
		for _, id := range story.FailedRequests(lines) {
			story.Of(lines, id)
		}
	})
}
