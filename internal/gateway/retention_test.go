package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// skippingClock is a system clock that a test can move forward.
type skippingClock struct {
	system  clock.Clock
	skipped atomic.Int64
}

func (c *skippingClock) Now() clock.Millis { return c.system.Now() + clock.Millis(c.skipped.Load()) }

func (c *skippingClock) skip(duration clock.Millis) { c.skipped.Add(int64(duration)) }

var _ = ginkgo.Describe("A chain of turns that is older than the retention of one turn", func() {
	const (
		// pause is the time between two turns of a program. The retention is 60 s.
		pause = 40 * clock.Second
		// maintenanceTime is a time in which each gateway removes expired state.
		maintenanceTime = 2500 * time.Millisecond
	)
	var (
		d       *deployment
		skipper *skippingClock
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		skipper = &skippingClock{system: clock.System()}
		d.clock = skipper
		d.publish()
		d.addEndpoint("m1", "models", streamTwoEvents)
	})
	wait := func() {
		skipper.skip(pause)
		time.Sleep(maintenanceTime)
	}
	sendTurn := func(n *node, previous string) (id string) {
		r, id := n.call("POST", "/chat/", "key-1", "hello\n", withPrevious(previous))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		return id
	}

	// Guards against a 404 for a turn that is kept, since an earlier turn of its chain,
	// which is older than the retention, has left the indexes of all gateways.
	ginkgo.It("continues from its last turn at any gateway", func() {
		gateways := []*node{d.startGateway("g1"), d.startGateway("g2")}
		gateways[0].waitUntilServed("/chat/", "key-1")
		last := make([]string, 6)
		for i := range last {
			last[i] = sendTurn(gateways[i%2], "")
		}
		// Other programs make the homes of the partitions read all turns.
		for i := range 20 {
			other := sendTurn(gateways[i%2], "")
			sendTurn(gateways[(i+1)%2], other)
		}
		for turn := range 3 {
			wait()
			for i := range last {
				ginkgo.By(fmt.Sprintf("turn %d of program %d", turn+2, i))
				last[i] = sendTurn(gateways[(i+turn)%2], last[i])
			}
		}
	})

	// Guards against the loss of a chain whose first records the store removes while its
	// last turn is kept.
	ginkgo.It("outlives the records of its first turns in the store", func() {
		const logRetention = 150 * clock.Second
		d.topics.SetRetention(logRetention, skipper)
		d.logRetention = logRetention
		n := d.startGateway("g1")
		n.waitUntilServed("/chat/", "key-1")
		last := sendTurn(n, "")
		for range 6 {
			skipper.skip(pause)
			last = sendTurn(n, last)
		}
		skipper.skip(pause)
		n.kill()
		n.launch()
		n.waitUntilServed("/review/warm", "key-1")
		sendTurn(n, last)
	})
})

var _ = ginkgo.Describe("A program that runs for longer than the store retains records", func() {
	// Guards against tokens that are handed out twice, because a gateway that reads the
	// records of a budget anew finds only the newest ones.
	ginkgo.It("gets no more than its budget, also if its gateway starts again", func() {
		const (
			logRetention             = 150 * clock.Second
			pause                    = 40 * clock.Second
			budget, turnMost, rounds = 300, 20, 40
			roundsPerStart           = 5
		)
		d := newDeployment()
		skipper := &skippingClock{system: clock.System()}
		d.clock, d.logRetention = skipper, logRetention
		d.topics.SetRetention(logRetention, skipper)
		d.publish()
		d.addEndpoint("m1", "models", streamTwoEvents)
		n := d.startGateway("g1")
		handed, served := 0, 0
		for round := range rounds {
			if round%roundsPerStart == 0 {
				n.kill()
				n.launch()
			}
			n.waitUntilServed("/review/warm", "key-1")
			r, _ := n.call("POST", "/review/", "key-1", "x", func(caller *standin.CallerRequest, _ http.Header) {
				caller.Program, caller.TokenBudget, caller.MaxTokens = "long", budget, turnMost
			})
			handed += 10 * strings.Count(r.body, "data: ")
			if r.status == http.StatusOK {
				served++
			}
			// The gateway returns what the turn has not used.
			time.Sleep(time.Second)
			skipper.skip(pause)
		}
		gomega.Expect(served*int(pause)).To(gomega.BeNumerically(">", int(logRetention)), "the program outlives its first records")
		gomega.Expect(handed).To(gomega.BeNumerically("<=", budget+turnMost))
	})
})
