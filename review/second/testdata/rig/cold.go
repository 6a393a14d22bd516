package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["cold"] = playCold }

// playCold: all gateways are killed and start again while the servers are cold.
func playCold(r *rig) (broken bool, err error) {
	const (
		gateways = 4
		rate     = 300.0
		coldMs   = 3000
		perS     = 45.0
		bound    = perS*1.5 + 5
		// coldSettle is how long after a server became cold its requests are counted: until
		// all gateways have read its entry.
		coldSettle = 500 * time.Millisecond
	)
	store, err := r.serveStore()
	if err != nil {
		return false, err
	}
	var servers []*server
	for i := range 2 {
		s, err := r.newServer(fmt.Sprintf("m%d", i+1), 20*time.Millisecond, 6)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		r.put("keyed.servers", s.id, s.entry("models", "a", "ready", 1))
	}
	c := config(1, "models")
	c["services"].([]any)[0].(map[string]any)["cold_per_s"] = perS
	c["services"].([]any)[0].(map[string]any)["cold_start_s"] = 3.0
	r.put("keyed.op", "config", c)
	var zones, stores []string
	for range gateways {
		zones, stores = append(zones, "a"), append(stores, store)
	}
	r.newGateways(zones, stores)
	if err := r.startAll(); err != nil {
		return false, err
	}
	r.notFirst()
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	sentAt := map[string]time.Duration{}
	var wg sync.WaitGroup
	stop := time.Now().Add(6 * time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			id := fmt.Sprintf("look-%d", n)
			wg.Go(func() {
				g := r.gateways[n%gateways]
				for try := range 2 {
					id := fmt.Sprintf("%s-%d", id, try)
					mu.Lock()
					sentAt[id] = r.now()
					mu.Unlock()
					res := r.send(g.front, request{method: "GET", host: "h.example", path: "/look/x", attempt: id, deadline: 1200 * time.Millisecond})
					r.note("%s sent to %s at %.3f: status %d after %d ms, err %v", id, g.name, res.sent.Seconds(), res.status, res.took.Milliseconds(), res.err)
					if res.status == 200 {
						return
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
		}
	})
	time.Sleep(1500 * time.Millisecond)
	coldAt := r.now()
	for _, s := range servers {
		e := s.entry("models", "a", "ready", 2)
		e["cold_left_ms"] = coldMs
		r.put("keyed.servers", s.id, e)
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		for _, g := range r.gateways {
			_ = g.command.Process.Kill()
		}
		for _, g := range r.gateways {
			<-g.done
		}
		time.Sleep(200 * time.Millisecond)
		for _, s := range servers {
			e := s.entry("models", "a", "ready", 3)
			e["cold_left_ms"] = coldMs - 1700
			r.put("keyed.servers", s.id, e)
		}
		for _, g := range r.gateways {
			if err := r.startGateway(g); err != nil {
				return false, err
			}
		}
		r.say("all gateways were killed and start again")
	}
	wg.Wait()
	for _, s := range servers {
		most, when := busiestSecond(s.arrivals(), sentAt, coldAt+coldSettle, coldAt+coldMs*time.Millisecond)
		r.say("cold server %s got at most %d requests in a second, from %.3f s on; the bound is %.1f", s.id, most, when.Seconds(), bound)
		broken = broken || float64(most) > bound
	}
	return broken, nil
}

// busiestSecond returns the largest number of requests that were sent and arrived inside one
// second, of those that were sent between two times, and when that second begins.
func busiestSecond(runs []arrival, sentAt map[string]time.Duration, from, to time.Duration) (most int, begin time.Duration) {
	for _, first := range runs {
		start := sentAt[first.attempt]
		if start < from || start+time.Second > to {
			continue
		}
		count := 0
		for _, run := range runs {
			if sentAt[run.attempt] >= start && run.at < start+time.Second {
				count++
			}
		}
		if count > most {
			most, begin = count, start
		}
	}
	return most, begin
}
