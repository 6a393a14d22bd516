package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["evict"] = playEvict }

// playEvict: conversations with large inputs at five gateways; three gateways are killed and
// their conversations go on at the others.
func playEvict(r *rig) (broken bool, err error) {
	const (
		gateways = 5
		killed   = 3
		// programs is how many conversations go on at the same time. Each begins with
		// firstTurns turns of inputBytes, then come moreTurns short ones.
		programs   = 45
		firstTurns = 7
		moreTurns  = 6
		inputBytes = 250 << 10
		shortBytes = 2 << 10
	)
	store, err := r.serveStore()
	if err != nil {
		return false, err
	}
	r.topics.SetReadRate(80e6)
	p, err := newRelay(store)
	if err != nil {
		return false, err
	}
	model, err := r.newServer("m1", 20*time.Millisecond, 6)
	if err != nil {
		return false, err
	}
	r.put("keyed.op", "config", config(1, "models"))
	r.put("keyed.servers", "m1", model.entry("models", "a", "ready", 1))
	var zones, stores []string
	for range gateways {
		zones, stores = append(zones, "a"), append(stores, p.address())
	}
	r.newGateways(zones, stores)
	if err := r.startAll(); err != nil {
		return false, err
	}
	r.notFirst()
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	lost, uncertain, answered := 0, 0, 0
	wholeAt := map[string]time.Duration{}
	inputOf := func(n int) int {
		if n < firstTurns {
			return inputBytes
		}
		return shortBytes
	}
	turn := func(g *gateway, program, previous string, n int) string {
		for try := range 3 {
			id := fmt.Sprintf("%s-%d-%d", program, n, try)
			q := request{
				method: "POST", host: "h.example", path: "/chat/x", attempt: id, deadline: 3 * time.Second, body: strings.Repeat(string(rune('a'+n%26)), inputOf(n)),
				headers: map[string]string{"X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": "200000", "X-Token-Count": "100,288", "X-Finish-Ms": "60000"},
			}
			if previous != "" {
				q.headers["X-Previous-Turn"] = previous
			}
			res := r.send(g.front, q)
			r.note("turn %s after %q sent to %s at %.3f: status %d whole %t after %d ms, err %v", id, previous, g.name, res.sent.Seconds(), res.status, res.whole, res.took.Milliseconds(), res.err)
			mu.Lock()
			switch {
			case res.status == 200 && res.whole:
				answered++
				wholeAt[id] = r.now()
			case res.status == 404 || res.status == 410:
				lost++
				r.note("LOST: 404 for turn %s, which was answered whole %.3f s earlier", previous, (res.sent - wholeAt[previous]).Seconds())
			case res.status == 503:
				uncertain++
			}
			mu.Unlock()
			if res.status == 200 && res.whole {
				return id
			}
			time.Sleep(300 * time.Millisecond)
		}
		return ""
	}
	last := make([]string, programs)
	play := func(from, to int, at func(program int) *gateway) {
		for n := from; n < to; n++ {
			var wg sync.WaitGroup
			for i := range programs {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if id := turn(at(i), fmt.Sprintf("p%d", i), last[i], n); id != "" {
						last[i] = id
					}
				}()
			}
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
		}
	}
	own := func(i int) *gateway { return r.gateways[i%gateways] }
	play(0, firstTurns, own)
	r.say("%d turns answered, %d refused with 503, %d with 404", answered, uncertain, lost)
	at := own
	if r.trouble {
		for _, g := range r.gateways[gateways-killed:] {
			g.kill()
		}
		r.say("%d gateways are killed, their programs go on at the others", killed)
		at = func(i int) *gateway { return r.gateways[(i/gateways)%(gateways-killed)] }
	}
	play(firstTurns, firstTurns+moreTurns, at)
	r.say("%d turns answered, %d refused with 503, %d with 404", answered, uncertain, lost)
	return lost > 0, nil
}
