package buffers_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/buffers"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestBuffers(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "buffers")
}

var _ = ginkgo.Describe("Account", func() {
	// Guards against small requests that fail because large ones fill the pool.
	ginkgo.It("grants a small request its buffers while the pool is in use", func() {
		pool := buffers.New(1 << 20)
		large, small := pool.NewAccount(), pool.NewAccount()
		gomega.Expect(large.Reserve(buffers.FreeBytes + 1<<20)).To(gomega.Succeed())
		gomega.Expect(small.Reserve(buffers.FreeBytes)).To(gomega.Succeed())
		gomega.Expect(small.Reserve(1)).To(gomega.MatchError(buffers.ErrExhausted))
		large.Release()
		gomega.Expect(small.Reserve(1)).To(gomega.Succeed())
		small.Release()
		gomega.Expect(pool.Used()).To(gomega.BeZero())
	})

	ginkgo.It("reads content up to a bound", func() {
		text := strings.Repeat("x", 300<<10)
		for _, expected := range []int64{-1, int64(len(text)), 10} {
			account := buffers.New(2 << 20).NewAccount()
			content, err := account.ReadAll(iotest.HalfReader(strings.NewReader(text)), expected, int64(len(text)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(content) == text).To(gomega.BeTrue())
		}
		_, err := buffers.New(2<<20).NewAccount().ReadAll(strings.NewReader(text), -1, 1000)
		gomega.Expect(err).To(gomega.MatchError(buffers.ErrTooLarge))
		content, err := buffers.New(0).NewAccount().ReadAll(strings.NewReader(text), -1, 1<<20)
		gomega.Expect(err).To(gomega.MatchError(buffers.ErrExhausted))
		gomega.Expect(len(content)).To(gomega.BeNumerically("<=", buffers.FreeBytes))
	})
})

// TestPoolIsConserved guards against bytes that the pool grants beyond its capacity, or
// that are not returned to it.
func TestPoolIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 500 << 10
		pool := buffers.New(capacity)
		accounts := make([]*buffers.Account, 5)
		for i := range accounts {
			accounts[i] = pool.NewAccount()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			account := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			switch size := rapid.Int64Range(0, 200<<10).Draw(t, "size"); {
			case size%7 == 0:
				account.Release()
			case size%2 == 0:
				_ = account.Reserve(size)
			default:
				_, _ = account.ReadAll(bytes.NewReader(make([]byte, size)), -1, 1<<20)
			}
			if pool.Used() < 0 || pool.Used() > capacity {
				t.Fatalf("%d bytes of %d are in use", pool.Used(), capacity)
			}
		}
		for _, account := range accounts {
			account.Release()
		}
		if pool.Used() != 0 {
			t.Fatalf("%d bytes are in use after the end of all requests", pool.Used())
		}
	})
}
