package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// largeInput and largestInput are more than record_bytes, 262,144, and less than
	// max_body_bytes, 4,194,304. smallerInput is less than both.
	largeInput   = 307200
	largestInput = 4000002
	smallerInput = 204800
	largeTurns   = 6
	// memoryKB is memory_mb of a front machine in KB.
	memoryKB = 154 << 10
)

// peakKB returns the largest resident size that a gateway has had, in KB; 0 if unknown.
func (g *gateway) peakKB() (peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(value, &peak)
		}
	}
	return peak
}

// playLargeTurn sends turns on kept channels. With trouble, some are larger than a record
// of the store may be.
func playLargeTurn(r *run) (broken int, err error) {
	m, gateways, s, err := startModels(r)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	others, lost := 0, 0
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ch := &channel{address: gateways[0].front}
			defer ch.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				p := &program{name: fmt.Sprintf("77d20b%02x%04x", i, n)}
				kept := ch.conn != nil
				id, a, whole := p.turn(ch, "What is it worth? ")
				mu.Lock()
				others++
				if !whole && kept && m.ranWhole(id) {
					lost++
					r.note("LOST: other turn %s ran to its end at the server, and its channel was closed: %v", id, a)
				}
				mu.Unlock()
			}
		}()
	}
	closed := 0
	ch := &channel{address: gateways[0].front}
	defer ch.close()
	for i := range largeTurns {
		p := &program{name: fmt.Sprintf("3fa81c%02x", i)}
		if id, a, whole := p.turn(ch, "A short question. "); !whole {
			r.note("short turn %s: %v", id, a)
			ch.close()
			continue
		}
		size := smallerInput
		switch {
		case r.trouble && i < largeTurns/2:
			size = largeInput
		case r.trouble:
			size = largestInput
		}
		kept := ch.conn != nil
		id, a, whole := p.turn(ch, strings.Repeat("weave ", size/6))
		time.Sleep(200 * time.Millisecond)
		r.note("turn %s of %d bytes on a kept channel (%v): %v; ran to its end at the server %v; peak memory of the gateway %d KB of %d", id, size, kept, a, m.ranWhole(id), gateways[0].peakKB(), memoryKB)
		if !whole && kept && a.status == http.StatusOK && m.ranWhole(id) {
			closed++
			r.note("LOST: %s was passed on to a sound server, and its channel was closed without its answer", id)
		}
	}
	close(stop)
	wg.Wait()
	r.note("store refused %d appends; %d other turns, %d of them lost", s.refused, others, lost)
	// The rule allows three.
	if closed+lost <= 3 {
		return 0, nil
	}
	return closed + lost, nil
}
