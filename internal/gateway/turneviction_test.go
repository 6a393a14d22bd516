package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// longChains chains of longChainTurns turns of longTurnBytes each, 43 MB altogether,
	// exceed the index of a gateway of smallMemoryMB.
	longChains     = 24
	longChainTurns = 7
	longTurnBytes  = 256 << 10
	smallMemoryMB  = 154
	// longChainsReadRate is the bytes per second of all reads.
	longChainsReadRate = 80e6
	// slowReadRate lets a gateway read one of the four partitions within 1.7 s, of the 2.2 s
	// that a request may wait for its history.
	slowReadRate = 9e6
	// overloadReadRate lets a gateway read half of the chains in the time that a request may
	// wait for its history.
	overloadReadRate = 12e6
	// streamPause is the time between two of the three events of a long stream.
	streamPause = 800 * time.Millisecond
	// storedRecordBytes is the size of the records in which their turns are stored.
	storedRecordBytes = 96 << 10
	// firstOfLastChain is the ID of the first turn of the last chain.
	firstOfLastChain = "long-23-0"
)

// storeLongChains writes longChains chains of turns to the partitions in which gateways
// look for them first. It returns the IDs of their last turns.
func (d *deployment) storeLongChains() (ids []string) {
	for i := range longChains {
		var earlier []string
		for n := range longChainTurns {
			turn := &chain.Turn{
				ID: fmt.Sprintf("long-%d-%d", i, n), Account: "weavers", History: earlier, Retention: clock.Minute,
				Input: []byte(strings.Repeat("x", longTurnBytes)), Output: []byte("one\n"), WrittenAt: clock.System().Now(),
			}
			home := xxhash.Sum64String(turn.ID) % testPartitions
			d.topics.AppendRecords(fmt.Sprintf("turns/%d", home), turn.EncodeRecords(storedRecordBytes)...)
			earlier = append(earlier[:n:n], turn.ID)
		}
		ids = append(ids, earlier[longChainTurns-1])
	}
	return ids
}

// continueAtOnce sends one turn that continues each of the turns, at the same time. It
// returns how many were answered with each status.
func (n *node) continueAtOnce(ids ...string) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for _, id := range ids {
		wg.Go(func() {
			defer ginkgo.GinkgoRecover()
			r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
		})
	}
	wg.Wait()
	return statuses
}

// startBeforeLongChains starts a gateway that knows nothing of longChains chains of turns in
// the store. It returns the IDs of their last turns.
func startBeforeLongChains(d *deployment) (n *node, ids []string) {
	d.memoryMB = smallMemoryMB
	d.publish()
	n = d.startAndKill(1)[0]
	ids = d.storeLongChains()
	n.launch()
	n.waitUntilServed("/review/warm", "key-1")
	return n, ids
}

// learnPlaces lets a gateway learn the places of all turns, by continuing one of them.
func (n *node) learnPlaces(id string) {
	gomega.Eventually(func() map[int]int { return n.continueAtOnce(id) }, eventuallyTimeout).Should(gomega.HaveKey(http.StatusOK))
}

var _ = ginkgo.Describe("Turns whose histories exceed the index", func() {
	var (
		d   *deployment
		n   *node
		ids []string
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.addEndpoint("m1", "models", streamTwoEvents)
		n, ids = startBeforeLongChains(d)
	})

	// Guards against a 404 for a kept turn that leaves the index again, evicted by the
	// histories of other requests, before the request that has loaded it uses it.
	ginkgo.It("are never reported as missing", func() {
		d.topics.SetReadRate(longChainsReadRate)
		served := 0
		for range 4 {
			statuses := n.continueAtOnce(ids...)
			gomega.Expect(statuses).NotTo(gomega.HaveKey(http.StatusNotFound))
			served += statuses[http.StatusOK]
		}
		gomega.Expect(served).To(gomega.BeNumerically(">", 0))
	})

	// Guards against a refusal of a kept turn after half a second although the partition in
	// which it is stored is being read and its place is known in time.
	ginkgo.It("are looked up for as long as their partitions are read", func() {
		d.topics.SetReadRate(slowReadRate)
		gomega.Expect(n.continueAtOnce(firstOfLastChain)).To(gomega.Equal(map[int]int{http.StatusOK: 1}))
	})

	// Guards against loads of histories that all are late because they share the rate of the
	// store, and that fill the memory of the VM together.
	ginkgo.It("are served in part when the store cannot send all histories in time", func() {
		n.learnPlaces(ids[0])
		d.topics.SetReadRate(overloadReadRate)
		statuses := n.continueAtOnce(ids...)
		gomega.Expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">=", longChains/3), "%v", statuses)
		gomega.Expect(statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]).To(gomega.Equal(longChains))
	})
})

var _ = ginkgo.Describe("Turns whose histories exceed the index, with long streams,", func() {
	// Guards against long streams that keep the memory of their histories, which the endpoint
	// has got already, from other turns.
	ginkgo.It("do not wait for streams that have begun", func() {
		d := newDeployment()
		d.addEndpoint("m1", "models", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerStream(conn, request, streamPause, -1, "one", "two", "three")
		})
		n, ids := startBeforeLongChains(d)
		n.learnPlaces(ids[0])
		gomega.Expect(n.continueAtOnce(ids...)).To(gomega.Equal(map[int]int{http.StatusOK: longChains}))
	})
})

var _ = ginkgo.Describe("A turn whose history is close to the largest prompt", func() {
	// Guards against a refusal for the size of the prompt that counts the records, which also
	// hold the identifiers of all earlier turns, instead of the texts.
	ginkgo.It("is served although its records are larger", func() {
		const turns, idBytes, textBytes = 200, 400, 25 << 10
		const otherTurns, otherTurnBytes = 800, 60 << 10
		d := newDeployment()
		d.memoryMB = smallMemoryMB
		d.publish()
		d.addEndpoint("m1", "models", streamTwoEvents)
		n := d.startAndKill(1)[0]
		var earlier []string
		records := 0
		for i := range turns {
			turn := &chain.Turn{
				ID: fmt.Sprintf("%d-%s", i, strings.Repeat("i", idBytes)), Account: "weavers", History: earlier, Retention: clock.Minute,
				Input: []byte(strings.Repeat("x", textBytes)), Output: []byte("one\n"), WrittenAt: clock.System().Now(),
			}
			records += len(turn.Encode())
			d.topics.AppendRecords(fmt.Sprintf("turns/%d", xxhash.Sum64String(turn.ID)%testPartitions), turn.EncodeRecords(storedRecordBytes)...)
			earlier = append(earlier[:i:i], turn.ID)
		}
		gomega.Expect(records).To(gomega.BeNumerically(">", 8<<20))
		// The turns of others fill the index when the partitions are read.
		for i := range otherTurns {
			turn := &chain.Turn{ID: fmt.Sprintf("other-%d", i), Account: "weavers", Retention: clock.Minute, Input: []byte(strings.Repeat("x", otherTurnBytes))}
			d.topics.AppendRecords(fmt.Sprintf("turns/%d", i%testPartitions), turn.Encode())
		}
		n.launch()
		n.waitUntilServed("/review/warm", "key-1")
		for i := range testPartitions {
			n.learnPlaces(fmt.Sprintf("other-%d", i))
		}
		n.learnPlaces(earlier[turns-1])
	})
})
