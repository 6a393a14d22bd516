package main

import (
	"fmt"
	"sync"
	"time"
)

var scenarios = map[string]scenario{
	"silent": playSilent,
}

// config returns a configuration. The calls go to the service calls.
func config(version int, calls string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "chat", "host": "h.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "goal_ms": 200, "priority": 1, "service": "models", "attempts": 1, "keeps_history": true, "retention_s": 60.0, "resumable": false, "gap_aim_ms": 200},
			map[string]any{"name": "look", "host": "h.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 1200, "goal_ms": 80, "priority": 2, "service": calls, "attempts": 2},
			map[string]any{"name": "charge", "host": "h.example", "path_prefix": "/charge/", "kind": "non_idempotent", "timeout_ms": 2000, "goal_ms": 250, "priority": 2, "service": calls, "attempts": 1},
		},
		"services": []any{
			map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"slots": 16, "event_tokens": 12}},
			map[string]any{"name": "app-1", "max_conns": 96},
			map[string]any{"name": "app-2", "max_conns": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// playSilent: all open channels to the store go silent, new ones work. Then the operator
// moves a route to another service, and a server drains.
func playSilent(r *rig) (broken bool, err error) {
	const gateways = 3
	const clump = 30
	store, err := r.serveStore()
	if err != nil {
		return false, err
	}
	var relays []*relay
	var zones, stores []string
	for range gateways {
		p, err := newRelay(store)
		if err != nil {
			return false, err
		}
		relays = append(relays, p)
		stores = append(stores, p.address())
		zones = append(zones, "a")
	}
	model, err := r.newServer("m1", 20*time.Millisecond, 6)
	if err != nil {
		return false, err
	}
	old, err := r.newServer("s1", 13*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	next, err := r.newServer("s2", 13*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	r.put("keyed.op", "config", config(1, "app-1"))
	r.put("keyed.servers", "m1", model.entry("models", "a", "ready", 1))
	r.put("keyed.servers", "s1", old.entry("app-1", "a", "ready", 1))
	r.put("keyed.servers", "s2", next.entry("app-2", "a", "ready", 1))
	r.newGateways(zones, stores)
	if err := r.startAll(); err != nil {
		return false, err
	}
	r.notFirst()
	time.Sleep(8 * time.Second)

	// Programs and calls, the whole time.
	var mu sync.Mutex
	sentAt := map[string]time.Duration{}
	sentTo := map[string]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, g := range r.gateways {
		wg.Add(2)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(33 * time.Millisecond):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				wg.Add(1)
				go func() {
					defer wg.Done()
					mu.Lock()
					sentAt[id], sentTo[id] = r.now(), g.name
					mu.Unlock()
					res := r.send(g.front, request{method: "GET", host: "h.example", path: "/look/x", attempt: id, deadline: 1200 * time.Millisecond})
					r.note("%s sent to %s at %.3f: status %d after %d ms, err %v", id, g.name, res.sent.Seconds(), res.status, res.took.Milliseconds(), res.err)
				}()
			}
		}()
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Second):
				}
				for k := range clump {
					wg.Add(1)
					go func() {
						defer wg.Done()
						r.playProgram(g, fmt.Sprintf("p-%d-%d-%d", i, n, k), 3)
					}()
				}
			}
		}()
	}
	time.Sleep(10 * time.Second)
	var mutedAt time.Duration
	muted := 0
	mutedAt = r.now()
	if r.trouble {
		for _, p := range relays {
			muted += p.muteAll()
		}
		r.say("%d open channels to the store go silent", muted)
	}
	time.Sleep(50 * time.Millisecond)
	ackedAt := r.put("keyed.op", "config", config(2, "app-2"))
	r.say("the operator moves /look/ from app-1 to app-2: acknowledged")
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()

	bound := max(ackedAt+2*time.Second, mutedAt+3*time.Second)
	late := 0
	var last time.Duration
	for _, run := range old.arrivals() {
		if run.path == "/look/x" && sentAt[run.attempt] > ackedAt {
			last = max(last, sentAt[run.attempt])
		}
		if run.path == "/look/x" && sentAt[run.attempt] > bound {
			late++
			r.note("BROKEN: %s, sent to %s at %.3f, %.3f s after the acknowledgement and %.3f s after the disturbance, was run by the old service", run.attempt, sentTo[run.attempt], sentAt[run.attempt].Seconds(), (sentAt[run.attempt] - ackedAt).Seconds(), (sentAt[run.attempt] - mutedAt).Seconds())
		}
	}
	r.say("the last request that the old service ran was sent %.3f s after the acknowledgement; %d were sent after the bound", (last - ackedAt).Seconds(), late)
	return late > 0, nil
}

// playProgram plays the turns of a program at a gateway, and returns the results.
func (r *rig) playProgram(g *gateway, name string, turns int) (results []result) {
	previous := ""
	for i := range turns {
		id := fmt.Sprintf("%s-t%d", name, i)
		q := request{
			method: "POST", host: "h.example", path: "/chat/x", attempt: id, deadline: 3 * time.Second, body: "input of " + id,
			headers: map[string]string{"X-Program-Id": name, "X-Session-Id": name, "X-Token-Budget": "2304", "X-Token-Count": "100,288", "X-Finish-Ms": "5200"},
		}
		if previous != "" {
			q.headers["X-Previous-Turn"] = previous
		}
		res := r.send(g.front, q)
		r.note("turn %s sent to %s at %.3f: status %d after %d ms, err %v", id, g.name, res.sent.Seconds(), res.status, res.took.Milliseconds(), res.err)
		results = append(results, res)
		if res.status != 200 || !res.whole {
			return results
		}
		previous = id
		time.Sleep(20 * time.Millisecond)
	}
	return results
}
