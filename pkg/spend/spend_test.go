package spend_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "300"}) }

func TestSpend(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "spend")
}

// request asks for a grant of one turn.
func request(grant string, need, want, budget int64) []byte {
	return spend.Record{Program: "p", Grant: grant, Need: need, Want: want, Budget: budget}.Encode()
}

func end(grant string, used int64) []byte {
	return spend.Record{Program: "p", Grant: grant, End: true, Used: used}.Encode()
}

// granted applies a request as the next record and returns what it got.
func granted(ledger *spend.Ledger, grant string, need, want, budget int64) int64 {
	ledger.Await(grant)
	defer ledger.Forget(grant)
	ledger.Apply(0, ledger.Next(), [][]byte{request(grant, need, want, budget)})
	tokens, ok := ledger.Granted(grant)
	gomega.Expect(ok).To(gomega.BeTrue())
	return tokens
}

var _ = ginkgo.Describe("Ledger", func() {
	// A grant of everything left another gateway with nothing while most of it was
	// unused.
	ginkgo.It("leaves half of what a grant does not need", func() {
		ledger := spend.NewLedger()
		gomega.Expect(granted(ledger, "a", 100, 900, 1000)).To(gomega.Equal(int64(500)))
		gomega.Expect(granted(ledger, "b", 100, 900, 1000)).To(gomega.Equal(int64(250)))
	})

	ginkgo.It("grants nothing when the need does not fit", func() {
		ledger := spend.NewLedger()
		gomega.Expect(granted(ledger, "a", 288, 288, 300)).To(gomega.Equal(int64(288)))
		gomega.Expect(granted(ledger, "b", 288, 288, 300)).To(gomega.BeZero())
		gomega.Expect(ledger.Open("p")).To(gomega.Equal([]string{"a"}))
	})

	// The store may execute an append seconds after the caller gave up and wrote the
	// end of the grant.
	ginkgo.It("ignores a request that takes effect after its end", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{end("a", 0), request("a", 288, 288, 300)})
		gomega.Expect(ledger.Total("p")).To(gomega.BeZero())
		gomega.Expect(granted(ledger, "b", 288, 288, 300)).To(gomega.Equal(int64(288)))
	})

	ginkgo.It("counts a record that was appended twice once", func() {
		ledger := spend.NewLedger()
		record := request("a", 100, 100, 1000)
		ledger.Apply(0, 0, [][]byte{record, record})
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(100)))
	})

	ginkgo.It("reports a gap and skips what it has applied", func() {
		ledger := spend.NewLedger()
		gomega.Expect(ledger.Apply(0, 3, [][]byte{request("a", 1, 1, 10)})).To(gomega.BeFalse())
		gomega.Expect(ledger.Apply(0, 0, [][]byte{request("a", 1, 1, 10)})).To(gomega.BeTrue())
		gomega.Expect(ledger.Apply(0, 0, [][]byte{request("a", 1, 1, 10), request("b", 1, 1, 10)})).To(gomega.BeTrue())
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(2)))
	})

	ginkgo.It("goes on after a record of another writer", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{{}, {9, 9}, request("a", 5, 5, 10)})
		gomega.Expect(ledger.Next()).To(gomega.Equal(int64(3)))
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(5)))
	})

	ginkgo.It("forgets programs long after their last record", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{request("a", 5, 5, 10)})
		ledger.Expire(clock.Minute)
		gomega.Expect(ledger.Known("p")).To(gomega.BeTrue())
		ledger.Expire(clock.Hour)
		gomega.Expect(ledger.Known("p")).To(gomega.BeFalse())
	})
})

// gateway is a gateway of the model: what it holds and what it has written.
type gateway struct {
	hold spend.Hold
	// running are the most of the turns that run.
	running []int64
}

// TestBudgetHolds appends the records of several gateways in any order the store
// allows, loses gateways with their holds, repeats records and delays ends. The
// tokens that turns generate never exceed the budget.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		budget := rapid.Int64Range(most, 20*most).Draw(t, "budget")
		ledger := spend.NewLedger()
		gateways := []*gateway{{}, {}, {}}
		var late [][]byte
		handedOut, number := int64(0), 0
		apply := func(records ...[]byte) { ledger.Apply(0, ledger.Next(), records) }
		pick := func() *gateway { return gateways[rapid.IntRange(0, 2).Draw(t, "gateway")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				g := pick()
				if need := g.hold.Missing(most); need > 0 {
					number++
					id := fmt.Sprint(number)
					ledger.Await(id)
					record := request(id, need, 3*most, budget)
					apply(record)
					if rapid.Bool().Draw(t, "repeated") {
						late = append(late, record)
					}
					if tokens, _ := ledger.Granted(id); tokens >= need {
						g.hold.Add(id, tokens)
					}
				}
				if g.hold.Begin(0, most) {
					g.running = append(g.running, most)
				}
			},
			"end": func(t *rapid.T) {
				g := pick()
				if len(g.running) == 0 {
					t.Skip("nothing runs")
				}
				used := rapid.Int64Range(0, most).Draw(t, "used")
				handedOut += used
				g.hold.End(0, most, used)
				g.running = g.running[1:]
			},
			"settle": func(t *rapid.T) {
				for _, record := range pick().hold.Settle(spend.Record{Program: "p"}) {
					if rapid.Bool().Draw(t, "late") {
						late = append(late, record.Encode())
						continue
					}
					apply(record.Encode())
				}
			},
			"late": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("nothing is late")
				}
				apply(late[0])
				late = late[1:]
			},
			"kill": func(*rapid.T) {
				g := pick()
				// The running turns may have handed out everything before the kill.
				for _, running := range g.running {
					handedOut += running
				}
				*g = gateway{}
			},
			"": func(t *rapid.T) {
				if handedOut > budget {
					t.Fatalf("%d tokens were generated, the budget is %d", handedOut, budget)
				}
			},
		})
	})
}

// TestRecordCodec guards against records that change on their way through the log.
func TestRecordCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := spend.Record{Program: "p" + "", Grant: rapid.String().Draw(t, "grant"), End: rapid.Bool().Draw(t, "end")}
		number := rapid.Int64Range(0, 1<<40)
		if record.End {
			record.Used = number.Draw(t, "used")
		} else {
			record.Need, record.Want, record.Budget = number.Draw(t, "need"), number.Draw(t, "want"), number.Draw(t, "budget")
		}
		decoded, err := spend.Decode(record.Encode())
		if err != nil || decoded != record {
			t.Fatalf("%+v became %+v, %v", record, decoded, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(request("a", 1, 2, 3))
	f.Add(end("a", 4))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := spend.Decode(data)
		if err != nil {
			return
		}
		if again, err := spend.Decode(record.Encode()); err != nil || again != record {
			t.Fatalf("%+v became %+v, %v", record, again, err)
		}
	})
}
