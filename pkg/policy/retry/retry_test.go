package retry_test

import (
	"testing"

	"github.com/onsi/gomega"

	_ "github.com/baobabspool/baobabspool/pkg/policy/retry"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestRetryOnlyWhenSafe guards against retries that may run a non-idempotent call
// twice.
func TestRetryOnlyWhenSafe(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range spool.Retries.Names() {
		policy, err := spool.Retries.New(name, 1, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, c := range []struct{ notRun, idempotent, want bool }{{false, false, false}, {true, false, true}, {false, true, true}} {
			_, ok := policy.Retry(0, spool.Attempt{Number: 1, NotRun: c.notRun, Idempotent: c.idempotent})
			g.Expect(ok).To(gomega.Equal(c.want), name)
		}
	}
}

// TestBudgetBoundsRetries guards against retries that multiply the load when every
// call fails.
func TestBudgetBoundsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, _ := spool.Retries.New("budgeted", 1, nil)
	retries := 0
	for range 10_000 {
		policy.Started(0)
		for number := 1; ; number++ {
			if _, ok := policy.Retry(0, spool.Attempt{Number: number, NotRun: true}); !ok {
				break
			}
			retries++
		}
	}
	g.Expect(retries).To(gomega.BeNumerically("~", 1000, 15))
}

// TestBackoffDelays guards against synchronized retries, retries that start before
// the wait that the endpoint asked for has passed, and retries after the deadline.
func TestBackoffDelays(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, _ := spool.Retries.New("budgeted", 1, spool.Options{"retry.reserve": 1000})
	distinct, longest := map[any]bool{}, int64(0)
	for range 200 {
		wait, ok := policy.Retry(0, spool.Attempt{Number: 5, NotRun: true, RetryAfter: 300})
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(wait).To(gomega.BeNumerically(">=", 300))
		distinct[wait] = true
		longest = max(longest, int64(wait))
	}
	g.Expect(len(distinct)).To(gomega.BeNumerically(">", 50))
	g.Expect(longest).To(gomega.And(gomega.BeNumerically(">", 600), gomega.BeNumerically("<=", 700)))
	_, ok := policy.Retry(1000, spool.Attempt{Number: 1, NotRun: true, RetryAfter: 300, Deadline: 1200})
	g.Expect(ok).To(gomega.BeFalse())
}
