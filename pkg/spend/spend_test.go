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

var _ = ginkgo.Describe("Ledger of a program that runs for long", func() {
	// Guards against used tokens that a new reader does not know, because the log has removed
	// their records.
	ginkgo.It("returns the ends of grants that have to be written again", func() {
		ledger := spend.NewLedger()
		request := spend.Record{Program: "p", Grant: "g", Need: 10, Want: 10, Budget: 100}
		end := spend.Record{Program: "p", Grant: "g", End: true, Used: 7}
		ledger.Apply(0, 0, [][]byte{request.Encode()})
		gomega.Expect(ledger.Renewals(100, "p", 50)).To(gomega.BeEmpty(), "the grant is open")
		ledger.Apply(10, 1, [][]byte{end.Encode()})
		gomega.Expect(ledger.Renewals(60, "p", 50)).To(gomega.BeEmpty())
		gomega.Expect(ledger.Renewals(61, "p", 50)).To(gomega.Equal([]spend.Record{end}))
		ledger.Apply(61, 2, [][]byte{end.Encode()})
		gomega.Expect(ledger.Renewals(62, "p", 50)).To(gomega.BeEmpty())
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(7)))
		reader := spend.NewLedger()
		reader.SkipTo(2)
		reader.Apply(0, 2, [][]byte{end.Encode()})
		gomega.Expect(reader.Total("p")).To(gomega.Equal(int64(7)))
	})
})

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "300"}) }

func TestSpend(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "spend")
}

// encodeRequest returns the encoded request for a grant with this ID.
func encodeRequest(grant string, need, want, budget int64) []byte {
	return spend.Record{Program: "p", Grant: grant, Need: need, Want: want, Budget: budget}.Encode()
}

func encodeEnd(grant string, used int64) []byte {
	return spend.Record{Program: "p", Grant: grant, End: true, Used: used}.Encode()
}

// applyRequest applies a request as the next record of the ledger and returns the
// size of the grant.
func applyRequest(ledger *spend.Ledger, grant string, need, want, budget int64) int64 {
	ledger.Await(grant)
	defer ledger.CancelAwait(grant)
	ledger.Apply(0, ledger.NextOffset(), [][]byte{encodeRequest(grant, need, want, budget)})
	tokens, ok := ledger.Granted(grant)
	gomega.Expect(ok).To(gomega.BeTrue())
	return tokens
}

var _ = ginkgo.Describe("Ledger", func() {
	// Guards against a grant that takes all remaining tokens, most of which stay
	// unused, so that turns at other gateways get none.
	ginkgo.It("grants at most half of the remaining tokens beyond the need", func() {
		ledger := spend.NewLedger()
		gomega.Expect(applyRequest(ledger, "a", 100, 900, 1000)).To(gomega.Equal(int64(500)))
		gomega.Expect(applyRequest(ledger, "b", 100, 900, 1000)).To(gomega.Equal(int64(250)))
	})

	ginkgo.It("grants nothing if the budget does not cover the need", func() {
		ledger := spend.NewLedger()
		gomega.Expect(applyRequest(ledger, "a", 288, 288, 300)).To(gomega.Equal(int64(288)))
		gomega.Expect(applyRequest(ledger, "b", 288, 288, 300)).To(gomega.BeZero())
		gomega.Expect(ledger.OpenGrants("p")).To(gomega.Equal([]string{"a"}))
	})

	// Guards against a grant without an end: the store may apply the append of a
	// request seconds later, after the caller has given up and written the end
	// record of the grant.
	ginkgo.It("ignores a request that takes effect after the end of its grant", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{encodeEnd("a", 0), encodeRequest("a", 288, 288, 300)})
		gomega.Expect(ledger.Total("p")).To(gomega.BeZero())
		gomega.Expect(applyRequest(ledger, "b", 288, 288, 300)).To(gomega.Equal(int64(288)))
	})

	ginkgo.It("applies a record that was appended twice only once", func() {
		ledger := spend.NewLedger()
		record := encodeRequest("a", 100, 100, 1000)
		ledger.Apply(0, 0, [][]byte{record, record})
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(100)))
	})

	ginkgo.It("reports a gap and skips records that it has applied", func() {
		ledger := spend.NewLedger()
		gomega.Expect(ledger.Apply(0, 3, [][]byte{encodeRequest("a", 1, 1, 10)})).To(gomega.BeFalse())
		gomega.Expect(ledger.Apply(0, 0, [][]byte{encodeRequest("a", 1, 1, 10)})).To(gomega.BeTrue())
		gomega.Expect(ledger.Apply(0, 0, [][]byte{encodeRequest("a", 1, 1, 10), encodeRequest("b", 1, 1, 10)})).To(gomega.BeTrue())
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(2)))
	})

	ginkgo.It("continues after a record that does not decode", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{{}, {9, 9}, encodeRequest("a", 5, 5, 10)})
		gomega.Expect(ledger.NextOffset()).To(gomega.Equal(int64(3)))
		gomega.Expect(ledger.Total("p")).To(gomega.Equal(int64(5)))
	})

	ginkgo.It("drops programs long after their last record", func() {
		ledger := spend.NewLedger()
		ledger.Apply(0, 0, [][]byte{encodeRequest("a", 5, 5, 10)})
		ledger.Expire(clock.Minute)
		gomega.Expect(ledger.Known("p")).To(gomega.BeTrue())
		ledger.Expire(clock.Hour)
		gomega.Expect(ledger.Known("p")).To(gomega.BeFalse())
	})
})

// gateway is the state of one gateway in TestBudgetHolds.
type gateway struct {
	hold spend.Hold
	// runningTurns contains, for each running turn, the largest number of tokens
	// that it may generate.
	runningTurns []int64
}

// TestBudgetHolds guards against turns that together generate more tokens than the
// budget. Several gateways append records; records are delayed or repeated, and
// gateways are killed and lose their holds.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const turnTokens = 100
		budget := rapid.Int64Range(turnTokens, 20*turnTokens).Draw(t, "budget")
		ledger := spend.NewLedger()
		gateways := []*gateway{{}, {}, {}}
		var delayed [][]byte
		generated, grantCount := int64(0), 0
		apply := func(records ...[]byte) { ledger.Apply(0, ledger.NextOffset(), records) }
		drawGateway := func() *gateway { return gateways[rapid.IntRange(0, 2).Draw(t, "gateway")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				g := drawGateway()
				if need := g.hold.Shortfall(turnTokens); need > 0 {
					grantCount++
					id := fmt.Sprint(grantCount)
					ledger.Await(id)
					record := encodeRequest(id, need, 3*turnTokens, budget)
					apply(record)
					if rapid.Bool().Draw(t, "repeated") {
						delayed = append(delayed, record)
					}
					if tokens, _ := ledger.Granted(id); tokens >= need {
						g.hold.AddGrant(id, tokens)
					}
				}
				if g.hold.BeginTurn(0, turnTokens) {
					g.runningTurns = append(g.runningTurns, turnTokens)
				}
			},
			"end": func(t *rapid.T) {
				g := drawGateway()
				if len(g.runningTurns) == 0 {
					t.Skip("no turn is running")
				}
				used := rapid.Int64Range(0, turnTokens).Draw(t, "used")
				generated += used
				g.hold.EndTurn(0, turnTokens, used)
				g.runningTurns = g.runningTurns[1:]
			},
			"settle": func(t *rapid.T) {
				for _, record := range drawGateway().hold.ReturnUnused(spend.Record{Program: "p"}) {
					if rapid.Bool().Draw(t, "late") {
						delayed = append(delayed, record.Encode())
						continue
					}
					apply(record.Encode())
				}
			},
			"late": func(t *rapid.T) {
				if len(delayed) == 0 {
					t.Skip("no record is delayed")
				}
				apply(delayed[0])
				delayed = delayed[1:]
			},
			"kill": func(*rapid.T) {
				g := drawGateway()
				// The running turns may have generated all their tokens before the
				// gateway was killed.
				for _, running := range g.runningTurns {
					generated += running
				}
				*g = gateway{}
			},
			"": func(t *rapid.T) {
				if generated > budget {
					t.Fatalf("%d tokens were generated, the budget is %d", generated, budget)
				}
			},
		})
	})
}

// TestRecordCodec checks that a record survives encoding and decoding unchanged.
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
	f.Add(encodeRequest("a", 1, 2, 3))
	f.Add(encodeEnd("a", 4))
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
