package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Four servers as on the small installation: 6 slots each. They queue a few more.
	plainServers = 4
	plainSlots   = 6
	plainQueue   = 4
	// faultyServers of them answer extraShare of their requests twice.
	faultyServers = 2
	extraShare    = 0.03
	feeGateways   = 8
	feeClients    = 56
	// In each of feeSpells spells, all clients send for spellDuration, and the faulty
	// servers answer twice for the first extraDuration of it. In the pauses few send.
	feeSpells     = 12
	spellDuration = 6 * time.Second
	extraDuration = 5 * time.Second
	spellPause    = time.Second
	pauseClients  = 8
	feeTimeout    = 1500 * time.Millisecond
	feeWork       = 35 * time.Millisecond
)

// feeServer is a plain server with a few slots and a queue.
type feeServer struct {
	id     string
	faulty bool
	rig    *feeRig

	mu     sync.Mutex
	taken  int
	slots  chan struct{}
	random *rand.Rand
}

// feeRig counts where each request ran and which extra answers were sent.
type feeRig struct {
	mu sync.Mutex
	// begin is when the first spell begins.
	begin  time.Time
	runs   map[string][]string
	extras map[string]string
}

// inSpell returns how long the present spell has lasted; ok is false in a pause and before
// the first spell.
func (rig *feeRig) inSpell() (since time.Duration, ok bool) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	if rig.begin.IsZero() {
		return 0, false
	}
	since = time.Since(rig.begin) % (spellDuration + spellPause)
	return since, since < spellDuration
}

func (f *feeServer) enter() (full, extra bool) {
	since, ok := f.rig.inSpell()
	f.mu.Lock()
	defer f.mu.Unlock()
	extra = f.faulty && ok && since < extraDuration && f.random.Float64() < extraShare
	if f.taken >= plainSlots+plainQueue {
		return true, extra
	}
	f.taken++
	return false, extra
}

func (f *feeServer) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken--
}

// handle runs a request or refuses it if the server is full. An extra answer is a second
// copy of an answer. It comes late, where the next answer on the channel is expected.
func (f *feeServer) handle(conn *serverConn, request *http.Request, _ []byte) bool {
	id := request.Header.Get("X-Attempt-Id")
	if len(conn.due) > 0 {
		_, _ = conn.Write(conn.due)
		conn.due = nil
	}
	full, extra := f.enter()
	text := "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Instance-Id: " + f.id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if !full {
		f.slots <- struct{}{}
		f.rig.mu.Lock()
		f.rig.runs[id] = append(f.rig.runs[id], f.id)
		f.rig.mu.Unlock()
		time.Sleep(feeWork)
		<-f.slots
		f.leave()
		body := "receipt of " + id
		text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + f.id + "." + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	if extra {
		conn.due = []byte(text)
		f.rig.mu.Lock()
		f.rig.extras[id] += fmt.Sprintf(" %s(run %v)", f.id, !full)
		f.rig.mu.Unlock()
	}
	_, err := conn.Write([]byte(text))
	return err == nil
}

// playLateRefusal sends charges, which may run once at most, to servers that are full now
// and then. With trouble, two of the four servers send a few answers twice.
func playLateRefusal(r *run) (broken int, err error) {
	s, err := newStore()
	if err != nil {
		return 0, err
	}
	s.put("keyed.op", "config", configuration)
	rig := &feeRig{runs: map[string][]string{}, extras: map[string]string{}}
	for i := range plainServers {
		f := &feeServer{
			id: fmt.Sprintf("i-ledger-%d", i+1), faulty: r.trouble && i < faultyServers, rig: rig,
			slots: make(chan struct{}, plainSlots), random: rand.New(rand.NewPCG(uint64(i), 7)),
		}
		server, err := startServer(f.id, "127.0.0.1:0", f.handle)
		if err != nil {
			return 0, err
		}
		defer beat(s, f.id, plainService, server.address(), []string{"ndar-a", "dkr-b"}[i%2], plainSlots, time.Now().UnixMilli())()
	}
	gateways, err := startGateways(r, s.address(), feeGateways)
	if err != nil {
		return 0, err
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	rig.mu.Lock()
	rig.begin = time.Now()
	rig.mu.Unlock()
	end := rig.begin.Add(feeSpells * (spellDuration + spellPause))
	for c := range feeClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ch := &channel{address: gateways[c%feeGateways].front}
			defer ch.close()
			for n := 0; time.Now().Before(end); n++ {
				if _, ok := rig.inSpell(); !ok && c >= pauseClients {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("%08x%08x", c+1, n+1)
				a := ch.send(http.MethodPost, feePath, id, nil, []byte(strings.Repeat("f", 600)), feeTimeout)
				mu.Lock()
				statuses[id] = a.status
				mu.Unlock()
				if a.status != http.StatusOK {
					// The client comes back with an attempt of its own.
					seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(max(0.02, seconds) * float64(time.Second)))
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	return rig.judge(r, statuses), nil
}

// judge counts the requests that ran more than once, and those that were answered with a
// promise not to run and have run.
func (rig *feeRig) judge(r *run, statuses map[string]int) (broken int) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	byStatus := map[int]int{}
	ran, twice, refusedAndRun := 0, 0, 0
	for id, status := range statuses {
		byStatus[status]++
		runs := rig.runs[id]
		if len(runs) > 0 {
			ran++
		}
		isTwice := len(runs) > 1
		isRefused := len(runs) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest)
		if isTwice {
			twice++
		}
		if isRefused {
			refusedAndRun++
		}
		if isTwice || isRefused {
			broken++
		}
		if isTwice || isRefused || rig.extras[id] != "" {
			r.note("request %s answered %d ran at %v; sent twice by%s; broken %v", id, status, runs, rig.extras[id], isTwice || isRefused)
		}
	}
	r.note("requests sent %d, by status %v, ran %d, answers sent twice %d", len(statuses), byStatus, ran, len(rig.extras))
	r.note("TWICE: %d requests ran more than once; REFUSED: %d were answered 503 and ran", twice, refusedAndRun)
	return broken
}
