package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// returningGateways is the number of gateways that start at the same time.
	returningGateways = 12
	// storedTurns turns of storedTurnBytes each fill readRate for half a second, so that
	// reading all of them at every gateway once takes six seconds.
	storedTurns     = 500
	storedTurnBytes = 16 << 10
	readRate        = 2 * storedTurns * storedTurnBytes
	// callInterval is the time between two requests to one gateway.
	callInterval = 200 * time.Millisecond
	// returnTime is the time after the start of the gateways within which service must be
	// back. The platform allows 12 s or more.
	returnTime = 3 * time.Second
)

// storeTurns writes turns to the partitions in which gateways look for them first, and
// returns their identifiers.
func (d *deployment) storeTurns() (ids []string) {
	for i := range storedTurns {
		turn := &chain.Turn{
			ID: fmt.Sprintf("stored-%d", i), Account: "weavers", Retention: clock.Minute,
			Input: []byte(strings.Repeat("x", storedTurnBytes) + "\n"), Output: []byte("one\n"),
		}
		d.topics.AppendRecords(fmt.Sprintf("turns/%d", xxhash.Sum64String(turn.ID)%testPartitions), turn.Encode())
		ids = append(ids, turn.ID)
	}
	return ids
}

// startAndKill starts gateways, which makes them known to each other, and kills them.
func (d *deployment) startAndKill(count int) (nodes []*node) {
	for i := range count {
		nodes = append(nodes, d.startGateway(fmt.Sprintf("g%d", i)))
	}
	for _, n := range nodes {
		n.kill()
	}
	return nodes
}

// newStoppedDeployment returns a deployment whose gateways have run and were killed.
func newStoppedDeployment() (d *deployment, nodes []*node) {
	d = newDeployment()
	d.publish()
	d.addEndpoint("m1", "models", streamTwoEvents)
	return d, d.startAndKill(returningGateways)
}

// launchAll starts killed gateways at the same time.
func launchAll(nodes []*node) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Add(1)
		go func() {
			defer ginkgo.GinkgoRecover()
			defer wg.Done()
			n.launch()
		}()
	}
	wg.Wait()
}

// callAll sends a request to each gateway every callInterval for the given time, and
// returns how many were sent and how many were answered with status 200. call sends one
// request and returns the status.
func callAll(nodes []*node, duration time.Duration, call func(n *node) (status int)) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callInterval) {
		for _, n := range nodes {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				status := call(n)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if status == http.StatusOK {
					served++
				}
			}()
		}
	}
	wg.Wait()
	return sent, served
}

var _ = ginkgo.Describe("A return of all gateways", func() {
	// continueTurn returns a call that continues one of the stored turns.
	continueTurn := func(ids []string) func(n *node) int {
		return func(n *node) int {
			r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(ids[rand.IntN(len(ids))]))
			return r.status
		}
	}

	// Guards against gateways that each read the whole history after a common start.
	// Their reads filled the store's rate and timed out, so that hardly a request was
	// served until the load ended.
	ginkgo.It("serves turns again soon, and reads the history about once altogether", func() {
		d, nodes := newStoppedDeployment()
		ids := d.storeTurns()
		d.topics.SetReadRate(readRate)
		before := d.topics.ReadBytes()
		launchAll(nodes)
		callAll(nodes, returnTime, continueTurn(ids))
		sent, served := callAll(nodes, 2*time.Second, continueTurn(ids))
		gomega.Expect(served).To(gomega.BeNumerically(">=", sent*9/10), "of %d turns", sent)
		gomega.Expect(d.topics.ReadBytes() - before).To(gomega.BeNumerically("<", 3*storedTurns*storedTurnBytes))
	})

	// Guards against reads of the history that keep gateways from learning of a
	// configuration. It was in force at no gateway for seconds.
	ginkgo.It("puts a configuration in force in time while turns are looked up", func() {
		d, nodes := newStoppedDeployment()
		ids := d.storeTurns()
		d.topics.SetReadRate(readRate)
		launchAll(nodes)
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer ginkgo.GinkgoRecover()
			defer wg.Done()
			callAll(nodes, 2*returnTime, continueTurn(ids))
		}()
		time.Sleep(returnTime)
		d.config["tenants"] = []map[string]any{{"name": "weavers", "api_keys": []string{"key-1", "key-new"}}}
		d.publish()
		time.Sleep(configWithin)
		for _, n := range nodes {
			r, _ := n.call("POST", "/review/", "key-new", "x")
			gomega.Expect(r.status).NotTo(gomega.Equal(http.StatusUnauthorized))
		}
		wg.Wait()
	})

	// Guards against gateways that each read the records of all budgets after a common
	// start, so that the bytes read grow with the square of the gateways.
	ginkgo.It("grants budgets again soon, and reads their records about once altogether", func() {
		const recordBytes, bound = 4 << 10, 3 * storedTurns * (4 << 10)
		d, nodes := newStoppedDeployment()
		for i := range storedTurns {
			program := spool.ProgramID(fmt.Sprintf("stored-%d-%s", i, strings.Repeat("x", recordBytes)))
			record := spend.Record{Program: program, Grant: fmt.Sprintf("gone.%d", i), Need: 1, Want: 1, Budget: 100}
			d.topics.AppendRecords(fmt.Sprintf("budgets/%d", i%2), record.Encode())
		}
		before := d.topics.ReadBytes()
		launchAll(nodes)
		var programs atomic.Int64
		runTurn := func(n *node) int {
			r, _ := n.call("POST", "/review/", "key-1", "x", func(caller *standin.CallerRequest, _ http.Header) {
				caller.Program, caller.TokenBudget, caller.MaxTokens = fmt.Sprintf("new-%d", programs.Add(1)), 1000, 50
			})
			return r.status
		}
		callAll(nodes, returnTime, runTurn)
		sent, served := callAll(nodes, 2*time.Second, runTurn)
		gomega.Expect(served).To(gomega.BeNumerically(">=", sent*9/10), "of %d turns", sent)
		gomega.Expect(d.topics.ReadBytes() - before).To(gomega.BeNumerically("<", bound))
	})

	// Guards against a request that waits for the reads of other requests, one after
	// another, beyond its own deadline.
	ginkgo.It("answers each turn by its deadline while the history cannot be read", func() {
		const deadline, tolerance = 1200 * time.Millisecond, 500 * time.Millisecond
		d := newDeployment()
		d.publish()
		d.addEndpoint("m1", "models", streamTwoEvents)
		n := d.startGateway("g1")
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "silent", Partitions: []string{"turns/0", "turns/1", "turns/2", "turns/3"}})
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				start := time.Now()
				r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(fmt.Sprintf("unknown-%d", i)), withDeadline(int(deadline.Milliseconds())))
				gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", deadline+tolerance))
				gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
			}()
		}
		wg.Wait()
	})
})
