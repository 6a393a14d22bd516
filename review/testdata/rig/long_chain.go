package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// retention is retention_s of the route.
	retention = 60 * time.Second
	// longPause is how long a program with trouble is away before its second and its
	// third turn. It is two thirds of the retention.
	longPause     = 40 * time.Second
	shortPause    = 2 * time.Second
	pausing       = 6
	otherPrograms = 40
)

// playLongChain lets programs go on from turns that were answered less than retention_s
// ago. Meanwhile other programs run, whose lines come through another gateway from turn
// to turn.
func playLongChain(r *run) (broken int, err error) {
	m, gateways, _, err := startModels(r)
	if err != nil {
		return 0, err
	}
	pause := shortPause
	if r.trouble {
		pause = longPause
	}
	begin := time.Now()
	var programs []*program
	endedAt := map[string]time.Time{}
	for round := range 3 {
		time.Sleep(time.Until(begin.Add(time.Duration(round) * pause)))
		for i := range pausing {
			if round == 0 {
				programs = append(programs, &program{name: fmt.Sprintf("3fa81c%02x", i)})
			}
			p := programs[i]
			ch := &channel{address: gateways[i%2].front}
			before, expected := p.previous, p.history
			id, a, whole := p.turn(ch, fmt.Sprintf("Question %d of program %d. ", round+1, i))
			ch.close()
			age := time.Duration(0)
			if before != "" {
				age = time.Since(endedAt[before])
			}
			r.note("turn %s after %q, which was answered whole %d ms ago: %v", id, before, age.Milliseconds(), a)
			prompt, ran := m.prompt(id)
			switch {
			case before != "" && age < retention && (a.status == http.StatusNotFound || a.status == http.StatusGone):
				r.note("LOST: turn %s was answered %d though %s was answered whole %d ms ago", id, a.status, before, age.Milliseconds())
				broken++
			case ran && prompt != expected+fmt.Sprintf("Question %d of program %d. ", round+1, i):
				r.note("UNASKED: the prompt of turn %s is not its chain: %q", id, prompt)
				broken++
			case !whole:
				return broken, fmt.Errorf("turn %s was not served: %v", id, a)
			}
			endedAt[id] = time.Now()
		}
		if round == 0 {
			playOthers(r, gateways)
		}
	}
	return broken, nil
}

// playOthers plays programs of four turns each, through both gateways in turn.
func playOthers(r *run, gateways []*gateway) {
	done := make(chan int)
	for i := range otherPrograms {
		go func() {
			p, whole := &program{name: fmt.Sprintf("77d20b%02x", i)}, 0
			for n := range 4 {
				ch := &channel{address: gateways[(i+n)%2].front}
				if _, _, ok := p.turn(ch, "Go on. "); ok {
					whole++
				}
				ch.close()
				time.Sleep(20 * time.Millisecond)
			}
			done <- whole
		}()
	}
	whole := 0
	for range otherPrograms {
		whole += <-done
	}
	r.note("%d other programs: %d of %d turns were answered whole", otherPrograms, whole, 4*otherPrograms)
}
