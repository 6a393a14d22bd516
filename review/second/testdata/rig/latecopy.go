package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["latecopy"] = playLateCopy }

// appServer is a server of a plain service: it works on slots requests at once, queues a
// few more, and rejects the others.
type appServer struct {
	r        *rig
	id       string
	listener net.Listener
	slots    chan struct{}
	queue    int
	// copies is the share of the answers that are followed by a second copy, and
	// minDelay and maxDelay bound how late it comes.
	copies             float64
	minDelay, maxDelay time.Duration

	mu       sync.Mutex
	held     int
	runs     map[string]int
	rejected int
	copied   int
}

func (r *rig) newAppServer(id string, slots, queue int) (*appServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &appServer{r: r, id: id, listener: listener, slots: make(chan struct{}, slots), queue: queue, minDelay: 50 * time.Millisecond, maxDelay: 300 * time.Millisecond, runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *appServer) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": s.listener.Addr().String(), "zone": "a", "version": "v1", "slots": cap(s.slots), "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": s.r.start.UnixMilli(),
	}
}

func (s *appServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var writes sync.Mutex
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		answer := s.answer(request)
		writes.Lock()
		_, err = io.WriteString(conn, answer)
		writes.Unlock()
		if err != nil {
			return
		}
		if s.sendsCopy() {
			time.AfterFunc(s.minDelay+rand.N(s.maxDelay-s.minDelay), func() {
				writes.Lock()
				defer writes.Unlock()
				s.r.note("server %s sends a second copy of its answer to %s: %.28q", s.id, request.Header.Get("X-Attempt-Id"), answer)
				_, _ = io.WriteString(conn, answer)
			})
		}
	}
}

// answer works on a request, or rejects it, and returns the bytes of the answer.
func (s *appServer) answer(request *http.Request) string {
	attempt := request.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + s.id + "\r\n"
	s.mu.Lock()
	if s.held >= cap(s.slots)+s.queue {
		s.rejected++
		s.mu.Unlock()
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	s.held++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	s.r.note("server %s runs %s", s.id, attempt)
	time.Sleep(minWork + rand.N(maxWork-minWork))
	<-s.slots
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Server-Seal: %s.%s\r\nContent-Length: 800\r\n\r\n%s", head, s.id, attempt, strings.Repeat("z", 800))
}

// A request of the plain service runs for a time between these two, 35 ms on average.
const (
	minWork = 15 * time.Millisecond
	maxWork = 55 * time.Millisecond
)

// setCopies sets the share of the answers that are followed by a second copy.
func (s *appServer) setCopies(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = share
}

// sendsCopy draws whether an answer is followed by a second copy.
func (s *appServer) sendsCopy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() >= s.copies {
		return false
	}
	s.copied++
	return true
}

// playLateCopy: servers send second copies of some answers late, while many clients come at
// once.
func playLateCopy(r *rig) (broken bool, err error) {
	const (
		gateways = 4
		servers  = 4
		// base is the number of requests a second, burst by how much it is multiplied.
		base  = 600.0
		burst = 2.1
		play  = 80 * time.Second
		// In each cycle the second copies are sent from copiesFrom to copiesTo, and the burst
		// lasts from burstFrom to burstTo.
		cycle                = 10 * time.Second
		copiesFrom, copiesTo = 4 * time.Second, 9 * time.Second
		burstFrom, burstTo   = 4500 * time.Millisecond, 8500 * time.Millisecond
		// The first copying servers send a second copy of this share of their answers.
		copying = 2
		copies  = 0.03
	)
	store, err := r.serveStore()
	if err != nil {
		return false, err
	}
	var apps []*appServer
	for i := range servers {
		s, err := r.newAppServer(fmt.Sprintf("s%d", i+1), 6, 24)
		if err != nil {
			return false, err
		}
		apps = append(apps, s)
		r.put("keyed.servers", s.id, s.entry("app-1"))
	}
	r.put("keyed.op", "config", config(1, "app-1"))
	var zones, stores []string
	for range gateways {
		zones, stores = append(zones, "a"), append(stores, store)
	}
	r.newGateways(zones, stores)
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	answers := map[string]int{}
	n := 0
	for time.Since(start) < play {
		rate, at := base, time.Since(start)%cycle
		if at >= burstFrom && at < burstTo {
			rate *= burst
		}
		share := 0.0
		if r.trouble && at >= copiesFrom && at < copiesTo {
			share = copies
		}
		for _, s := range apps[:copying] {
			s.setCopies(share)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		n++
		id := fmt.Sprintf("charge-%d", n)
		g := r.gateways[n%gateways]
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := r.send(g.front, request{method: "POST", host: "h.example", path: "/charge/x", attempt: id, deadline: 2 * time.Second, body: "fee"})
			r.note("%s sent to %s at %.3f: status %d after %d ms, err %v", id, g.name, res.sent.Seconds(), res.status, res.took.Milliseconds(), res.err)
			mu.Lock()
			statuses[fmt.Sprint(res.status)]++
			answers[id] = res.status
			mu.Unlock()
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	twice, refused := 0, 0
	runs := map[string]int{}
	for _, s := range apps {
		s.mu.Lock()
		for id, count := range s.runs {
			runs[id] += count
		}
		r.say("server %s ran %d requests, rejected %d, sent %d answers twice", s.id, len(s.runs), s.rejected, s.copied)
		s.mu.Unlock()
	}
	for id, count := range runs {
		if count > 1 {
			twice++
			r.note("TWICE: %s ran %d times, its client got %d", id, count, answers[id])
		}
		if status := answers[id]; status == 503 || status == 429 {
			refused++
			r.note("REFUSED: %s ran, its client got %d", id, status)
		}
	}
	r.say("%d requests, answers %v; %d ran more than once, %d ran and were answered 503 or 429", n, statuses, twice, refused)
	return twice > 0, nil
}
