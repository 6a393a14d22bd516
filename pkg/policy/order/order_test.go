package order_test

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	_ "github.com/baobabspool/baobabspool/pkg/policy/order"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func newQueue(t testing.TB, name string) spool.Queue {
	q, err := spool.Queues.New(name, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// TestFairServesAccountsByWeight guards against an account that gets more than the
// share of its weight because it floods the queue, and against a queue that returns
// no call while calls are waiting.
func TestFairServesAccountsByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	q, served := newQueue(t, "fair"), map[spool.AccountID]int{}
	weights := map[spool.AccountID]float64{"flood": 1, "small": 1, "large": 2}
	n := 0
	push := func(account spool.AccountID, count int) {
		for range count {
			n++
			q.Push(clock.Millis(n), spool.CallView{Correlation: strconv.Itoa(n), Account: account, Weight: weights[account], PromptTokens: 800, MaxTokens: 400})
		}
	}
	push("flood", 5000)
	push("small", 500)
	push("large", 500)
	for i := range 800 {
		call, ok := q.Pop(clock.Millis(10_000 + i))
		g.Expect(ok).To(gomega.BeTrue())
		served[call.Account]++
		q.Served(0, call, 300)
	}
	g.Expect(served["flood"]).To(gomega.BeNumerically("~", 200, 5))
	g.Expect(served["small"]).To(gomega.BeNumerically("~", 200, 5))
	g.Expect(served["large"]).To(gomega.BeNumerically("~", 400, 5))
	for q.Len() > 0 {
		_, ok := q.Pop(20_000)
		g.Expect(ok).To(gomega.BeTrue())
	}
	push("small", 1)
	push("flood", 1)
	first, _ := q.Pop(30_000)
	g.Expect(first.Account).To(gomega.Equal(spool.AccountID("small")), "idle time leaves an account neither credit nor debt")
}

// TestFairChargesActualCost guards against an account that gets more than its share
// because its calls generate more tokens than the MaxTokens that were charged.
func TestFairChargesActualCost(t *testing.T) {
	q, served := newQueue(t, "fair"), map[spool.AccountID]int{}
	for i := range 2000 {
		q.Push(0, spool.CallView{Correlation: strconv.Itoa(i), Account: spool.AccountID([]string{"heavy", "light"}[i%2]), MaxTokens: 100})
	}
	for range 500 {
		call, _ := q.Pop(0)
		served[call.Account]++
		q.Served(0, call, map[spool.AccountID]int{"heavy": 300, "light": 100}[call.Account])
	}
	gomega.NewWithT(t).Expect(served["light"]).To(gomega.BeNumerically("~", 375, 5))
}

// TestFairOrderWithinAccount guards against alarms that wait behind other calls,
// against long programs that are served before short ones, and against starvation
// of a long program.
func TestFairOrderWithinAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(t, "fair")
	q.Push(0, spool.CallView{Correlation: "long", Account: "a", Attained: 20_000})
	q.Push(10, spool.CallView{Correlation: "short", Account: "a", Attained: 100})
	q.Push(20, spool.CallView{Correlation: "alarm", Account: "b", Alarm: true, Attained: 90_000})
	for _, want := range []string{"alarm", "short"} {
		call, _ := q.Pop(30)
		g.Expect(call.Correlation).To(gomega.Equal(want))
	}
	for i := range 100 {
		now := clock.Millis(1000 * (i + 1))
		q.Push(now, spool.CallView{Correlation: strconv.Itoa(i), Account: "a", Attained: 1})
		if call, _ := q.Pop(now); call.Correlation == "long" {
			g.Expect(now).To(gomega.BeNumerically("~", 20_000, 2000))
			return
		}
	}
	t.Fatal("the long program starved")
}

// TestFairServesFirstCallsLast guards against first calls of programs that are
// served before later calls of any account, against starvation of first calls, and
// against a wrong count of the calls ahead.
func TestFairServesFirstCallsLast(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(t, "fair")
	push := func(now clock.Millis, id string, account spool.AccountID, attained int) {
		q.Push(now, spool.CallView{Correlation: id, Account: account, Attained: attained, MaxTokens: 100})
	}
	push(0, "start", "a", 0)
	push(1, "other", "b", 0)
	for i := range 3 {
		push(2, strconv.Itoa(i), "b", 50_000)
	}
	g.Expect(q.Ahead(spool.CallView{})).To(gomega.Equal(5))
	g.Expect(q.Ahead(spool.CallView{Attained: 1})).To(gomega.Equal(3))
	g.Expect(q.Ahead(spool.CallView{Alarm: true})).To(gomega.Equal(0))
	for _, want := range []string{"0", "1", "2", "start"} {
		call, _ := q.Pop(10)
		g.Expect(call.Correlation).To(gomega.Equal(want))
	}
	for i := range 200 {
		now := clock.Millis(1000 * (i + 1))
		push(now, "b"+strconv.Itoa(i), "b", 1)
		if call, _ := q.Pop(now); call.Correlation == "other" {
			g.Expect(now).To(gomega.BeNumerically("~", 106_000, 2000))
			g.Expect(q.Ahead(spool.CallView{Attained: 1})).To(gomega.Equal(q.Len()))
			return
		}
	}
	t.Fatal("the first call starved")
}

// TestQueuesReturnEachCallOnce guards, with random sequences of operations, against
// a queue that loses a call, returns a call twice or returns a call that was not
// pushed.
func TestQueuesReturnEachCallOnce(t *testing.T) {
	for _, name := range spool.Queues.Names() {
		rapid.Check(t, func(rt *rapid.T) {
			q, waiting, n := newQueue(t, name), map[string]bool{}, 0
			rt.Repeat(map[string]func(*rapid.T){
				"push": func(rt *rapid.T) {
					n++
					id := strconv.Itoa(n)
					waiting[id] = true
					q.Push(clock.Millis(n), spool.CallView{
						Correlation: id, Account: spool.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account")),
						Alarm: rapid.Bool().Draw(rt, "alarm"), Attained: rapid.IntRange(0, 9).Draw(rt, "attained"), MaxTokens: 5,
					})
				},
				"pop": func(rt *rapid.T) {
					call, ok := q.Pop(clock.Millis(n))
					if ok != (len(waiting) > 0) || ok && !waiting[call.Correlation] {
						rt.Fatalf("Pop returned %q, %v; waiting calls are %v", call.Correlation, ok, waiting)
					}
					delete(waiting, call.Correlation)
					if ok {
						q.Served(clock.Millis(n), call, rapid.IntRange(0, 20).Draw(rt, "tokens"))
					}
				},
				"remove": func(rt *rapid.T) {
					id := strconv.Itoa(rapid.IntRange(0, n+1).Draw(rt, "id"))
					if q.Remove(id) != waiting[id] {
						rt.Fatalf("Remove of %q returned a wrong result", id)
					}
					delete(waiting, id)
				},
				"wait": func(*rapid.T) { n += 110_000 },
				"": func(rt *rapid.T) {
					begun, start := q.Ahead(spool.CallView{Attained: 1}), q.Ahead(spool.CallView{})
					if begun < 0 || begun > start || start != len(waiting) {
						rt.Fatalf("%d calls are ahead of a later call and %d ahead of a first call, of %d waiting", begun, start, len(waiting))
					}
					if q.Len() != len(waiting) {
						rt.Fatalf("length %d, want %d", q.Len(), len(waiting))
					}
				},
			})
		})
	}
}
