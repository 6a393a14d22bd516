package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// turnPieces is the number of events of a turn.
	turnPieces = 6
	pieceGap   = 20 * time.Millisecond
	// One of seven servers at a time is killed, and another one starts crashDown later.
	modelServers = 7
	crashes      = 5
	crashDown    = 3 * time.Second
	crashGap     = 5 * time.Second
)

// pieceText returns the data of one event of a turn.
func pieceText(id string, number int) string {
	return fmt.Sprintf("piece-%d-of-%s-%s", number, id, strings.Repeat("w", 60))
}

// serveModelProcess is the process of one model server: rig model-process ID ADDRESS. Its
// streams have no length and end with their channel. It writes each event in two parts,
// and prints a line between them and one for each prompt.
func serveModelProcess() int {
	id, address := os.Args[2], os.Args[3]
	s, err := startServer(id, address, func(conn *serverConn, request *http.Request, body []byte) bool {
		attempt := request.Header.Get("X-Attempt-Id")
		fmt.Printf("prompt %s %q\n", attempt, body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
		for n := 1; n <= turnPieces; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, pieceText(attempt, n))
			half := len(event) / 2
			_, _ = conn.Write([]byte(event[:half]))
			fmt.Printf("half %s %d\n", attempt, n)
			time.Sleep(pieceGap)
			if _, err := conn.Write([]byte(event[half:])); err != nil {
				return false
			}
		}
		fmt.Printf("whole %s\n", attempt)
		return false
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Printf("listens %s\n", s.address())
	select {}
}

// modelProcess is a model server that the run has started.
type modelProcess struct {
	id, address string
	command     *exec.Cmd
	lines       chan string
}

func startModelProcess(r *run, id string) (*modelProcess, error) {
	m := &modelProcess{id: id, lines: make(chan string, 1000)}
	m.command = exec.Command(os.Args[0], "model-process", id, "127.0.0.1:0")
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := m.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := m.command.Start(); err != nil {
		return nil, err
	}
	r.started = append(r.started, m.command)
	scanner := bufio.NewScanner(output)
	if !scanner.Scan() {
		return nil, errors.New("model server does not listen")
	}
	m.address = strings.TrimPrefix(scanner.Text(), "listens ")
	go func() {
		defer close(m.lines)
		for scanner.Scan() {
			m.lines <- scanner.Text()
		}
	}()
	return m, nil
}

// modelPool is a service of model servers, each a process of its own.
type modelPool struct {
	run   *run
	store *store

	mu sync.Mutex
	// started counts the processes that were started, and killed those that were killed.
	started, killed int
	// victim is the turn in whose fourth event its server is killed; empty for none.
	victim string
}

// add starts a server and registers it.
func (p *modelPool) add() error {
	p.mu.Lock()
	p.started++
	m, err := startModelProcess(p.run, fmt.Sprintf("i-model-%d", p.started))
	p.mu.Unlock()
	if err != nil {
		return err
	}
	stop := beat(p.store, m.id, modelService, m.address, []string{"ndar-a", "dkr-b"}[p.started%2], 16, time.Now().UnixMilli())
	go func() {
		for line := range m.lines {
			if strings.HasPrefix(line, "prompt ") && strings.Contains(line, "-3 ") {
				p.run.note("%s runs a turn after the one that was cut: %s", m.id, line)
			}
			var turn string
			var number int
			_, _ = fmt.Sscanf(line, "half %s %d", &turn, &number)
			p.mu.Lock()
			isVictim := turn != "" && turn == p.victim && number == 4
			if isVictim {
				p.killed++
			}
			p.mu.Unlock()
			if !isVictim {
				continue
			}
			_ = m.command.Process.Signal(syscall.SIGKILL)
			p.run.note("%s is killed in the middle of event 4 of turn %s", m.id, turn)
			stop()
			// The entry of a server that has crashed is removed after three intervals.
			time.AfterFunc(3*heartbeat, func() { p.store.put("keyed.servers", m.id, "") })
			time.AfterFunc(crashDown, func() { _ = p.add() })
		}
	}()
	return nil
}

// playCutStream sends turns to a service of model servers, whose streams have no length
// and end with their channel. With trouble, the process of a server is killed now and
// then, in the middle of an event.
func playCutStream(r *run) (broken int, err error) {
	s, err := newStore()
	if err != nil {
		return 0, err
	}
	s.put("keyed.op", "config", configuration)
	pool := &modelPool{run: r, store: s}
	for range modelServers {
		if err := pool.add(); err != nil {
			return 0, err
		}
	}
	gateways, err := startGateways(r, s.address(), 2)
	if err != nil {
		return 0, err
	}
	ch := &channel{address: gateways[0].front}
	defer ch.close()
	served := 0
	for n := 1; n <= crashes; n++ {
		p := &program{name: fmt.Sprintf("3fa81c%02x", n)}
		for turn := 1; turn <= 3; turn++ {
			id := fmt.Sprintf("%s-%d", p.name, turn)
			if r.trouble && turn == 2 {
				pool.mu.Lock()
				pool.victim = id
				pool.mu.Unlock()
			}
			input := fmt.Sprintf("Question %d about rug %d. ", turn, n)
			_, a, whole := p.turn(ch, input)
			data, rest := pieces(a.body)
			r.note("client: turn %s: %v; whole pieces %d of %d, rest %q", id, a, len(data), turnPieces, rest)
			if whole {
				served++
			}
			if a.status == http.StatusOK && a.whole && len(data) < turnPieces {
				broken++
				r.note("ORDER: the stream of %s ended as complete before its last piece", id)
				// To the client the turn was answered whole, so that it goes on from it.
				p.previous = id
			}
		}
		time.Sleep(crashGap)
	}
	r.note("%d turns were answered whole, %d servers were killed", served, pool.killed)
	if served < crashes || r.trouble && pool.killed < crashes {
		return broken, fmt.Errorf("only %d turns were served, %d servers were killed", served, pool.killed)
	}
	return broken, nil
}
