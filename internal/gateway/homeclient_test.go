package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("The homes of a partition", func() {
	var (
		partition = spool.Partition{Topic: spool.TopicTurns}
		gateways  []homes.Gateway
		order     []string

		mu    sync.Mutex
		asked []string
	)
	// wasAsked returns the addresses of the gateways that were asked, each once.
	wasAsked := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Compact(slices.Sorted(slices.Values(asked)))
	}
	ginkgo.BeforeEach(func() {
		gateways, order, asked = nil, nil, nil
		for i := range 4 {
			gateways = append(gateways, homes.Gateway{Node: spool.NodeID(fmt.Sprintf("g%d", i)), Address: fmt.Sprintf("address-%d", i)})
		}
		order = gateway.HomeOrder(gateways, partition)
	})
	// newClient returns a client whose calls are recorded and answered by answer.
	newClient := func(answer func(address string) error) gateway.HomeClient {
		return gateway.NewHomeClient(gateways, func(address string) error {
			mu.Lock()
			asked = append(asked, address)
			mu.Unlock()
			return answer(address)
		})
	}

	// reads runs an operation whose home answers a number of times that it still reads.
	const answers, answerTime = 10, 50 * time.Millisecond
	reads := func(proceeds bool) (isLocal bool) {
		client := newClient(func(string) error {
			time.Sleep(answerTime)
			return nil
		})
		isLocal, err := client.Run(context.Background(), partition, func(call func() error, progressed func()) error {
			for range answers {
				if err := call(); err != nil {
					return err
				}
				if proceeds {
					progressed()
				}
			}
			return nil
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return isLocal
	}

	// Guards against two gateways that read the same partition because the first one takes
	// longer than a home may be silent. Under load all partitions were read twice.
	ginkgo.It("are one gateway while that one proceeds", func() {
		gomega.Expect(reads(true)).To(gomega.BeFalse())
		gomega.Expect(wasAsked()).To(gomega.Equal(order[:1]))
	})

	ginkgo.It("are two gateways when the first one answers and does not proceed", func() {
		gomega.Expect(reads(false)).To(gomega.BeFalse())
		gomega.Expect(wasAsked()).To(gomega.ConsistOf(order[:2]))
	})

	// Guards against gateways that all read a partition themselves after both of its homes
	// were killed, until the store's records of these expire.
	ginkgo.It("are the next gateways when both refuse connections", func() {
		client := newClient(func(address string) error {
			if slices.Contains(order[:2], address) {
				return errors.New("connection refused")
			}
			return nil
		})
		for range 3 {
			isLocal, err := client.Run(context.Background(), partition, func(call func() error, _ func()) error { return call() })
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(isLocal).To(gomega.BeFalse())
		}
		gomega.Expect(wasAsked()).To(gomega.ConsistOf(order[:3]))
	})
})
