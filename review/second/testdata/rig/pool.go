package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["pool"] = playPool }

// clientChannel is an open channel of clients to a gateway.
type clientChannel struct {
	conn   net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// longestIdle is how long a channel may have been idle that a client uses again. It is below
// four fifths of idle_timeout_ms.
const longestIdle = 10 * time.Second

// ending is a request whose channel ended before its answer was complete.
type ending struct {
	id, gateway string
	took        time.Duration
	bytes       int
}

// clientChannels are the channels that clients keep open to one gateway.
type clientChannels struct {
	front string
	mu    sync.Mutex
	idle  []*clientChannel
}

// take returns an idle channel, or else a new one. kept is true if it has had a request.
func (c *clientChannels) take() (channel *clientChannel, kept bool, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		channel, c.idle = c.idle[last], c.idle[:last]
		if time.Since(channel.usedAt) < longestIdle {
			c.mu.Unlock()
			return channel, true, nil
		}
		_ = channel.conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", c.front, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientChannel{conn: conn, reader: bufio.NewReader(conn)}, false, nil
}

func (c *clientChannels) give(channel *clientChannel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	channel.usedAt = time.Now()
	c.idle = append(c.idle, channel)
}

// playPool: turns with large inputs come at 2.1 times their usual rate for some seconds.
func playPool(r *rig) (broken bool, err error) {
	const (
		gateways = 2
		models   = 6
		// rate is the usual number of turns a second at each gateway, burst by how much it is
		// multiplied from burstFrom to burstTo of each cycle.
		rate                = 20.0
		burst               = 2.1
		cycle               = 8 * time.Second
		burstFrom, burstTo  = 3500 * time.Millisecond, 7500 * time.Millisecond
		play                = 32 * time.Second
		minInput, moreInput = 34 << 10, 300 << 10
		deadline            = 3 * time.Second
		// mostCut is how many requests of kept channels the rule lets a machine end so.
		mostCut = 3
	)
	store, err := r.serveStore()
	if err != nil {
		return false, err
	}
	r.put("keyed.op", "config", config(1, "models"))
	var servers []*server
	for i := range models {
		s, err := r.newServer(fmt.Sprintf("m%d", i+1), 40*time.Millisecond, 24)
		if err != nil {
			return false, err
		}
		s.pause, s.eventBytes = 95*time.Millisecond, 200
		servers = append(servers, s)
		r.put("keyed.servers", s.id, s.entry("models", "a", "ready", 1))
	}
	r.newGateways([]string{"a", "a"}, []string{store, store})
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	answers := map[string]int{}
	var unfinished []ending
	var wg sync.WaitGroup
	// turn plays one client attempt and returns the answer.
	turn := func(g *gateway, channels *clientChannels, id string, body string, fresh bool) result {
		var channel *clientChannel
		kept := false
		if fresh {
			conn, err := net.DialTimeout("tcp4", g.front, time.Second)
			if err != nil {
				return result{err: err}
			}
			channel = &clientChannel{conn: conn, reader: bufio.NewReader(conn)}
		} else if channel, kept, err = channels.take(); err != nil {
			return result{err: err}
		}
		_ = channel.conn.SetDeadline(time.Now().Add(deadline))
		res := r.sendOn(channel.conn, channel.reader, request{
			method: "POST", host: "h.example", path: "/chat/x", attempt: id, deadline: deadline, body: body,
			headers: map[string]string{"X-Program-Id": id, "X-Session-Id": id, "X-Token-Budget": "2304", "X-Token-Count": "100,288", "X-Finish-Ms": "5200"},
		})
		r.note("turn %s (%d bytes, kept channel: %t) sent to %s at %.3f: status %d, whole %t, after %d ms, %d bytes of the answer, err %v",
			id, len(body), kept, g.name, res.sent.Seconds(), res.status, res.whole, res.took.Milliseconds(), len(res.body), res.err)
		mu.Lock()
		answers[fmt.Sprintf("%d, whole %t", res.status, res.whole)]++
		if kept && res.status != http.StatusServiceUnavailable && !res.whole && res.took < deadline-100*time.Millisecond {
			unfinished = append(unfinished, ending{id: id, gateway: g.name, took: res.took, bytes: len(res.body)})
		}
		mu.Unlock()
		if res.whole && !res.close {
			channels.give(channel)
		} else {
			_ = channel.conn.Close()
		}
		return res
	}
	begin := time.Now()
	for i, g := range r.gateways {
		channels := &clientChannels{front: g.front}
		wg.Go(func() {
			for n := 0; time.Since(begin) < play; n++ {
				now := rate
				if at := time.Since(begin) % cycle; r.trouble && at >= burstFrom && at < burstTo {
					now *= burst
				}
				time.Sleep(time.Duration(rand.ExpFloat64() / now * float64(time.Second)))
				wg.Go(func() {
					id := fmt.Sprintf("turn-%d-%d", i, n)
					body := strings.Repeat("b", minInput+rand.N(moreInput))
					if res := turn(g, channels, id, body, false); res.status == http.StatusServiceUnavailable {
						time.Sleep(500 * time.Millisecond)
						turn(g, channels, id+"-again", body, true)
					}
				})
			}
		})
	}
	wg.Wait()
	for answer, count := range answers {
		r.say("%5d answers %s", count, answer)
	}
	ran := map[string]bool{}
	for _, s := range servers {
		for _, run := range s.arrivals() {
			ran[run.attempt] = true
		}
	}
	cut := map[string]int{}
	for _, e := range unfinished {
		if ran[e.id] {
			cut[e.gateway]++
			r.note("LOST: turn %s came to %s on a kept channel and was passed on to a sound server; the channel was closed after %d ms and %d bytes without a complete answer", e.id, e.gateway, e.took.Milliseconds(), e.bytes)
		}
	}
	for name, count := range cut {
		r.say("%s closed %d kept channels without a complete answer", name, count)
		broken = broken || count > mostCut
	}
	return broken, nil
}
