package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// modelServer is a sound model server. It keeps the prompt of each turn that it ran.
type modelServer struct {
	id string

	mu      sync.Mutex
	prompts map[string]string
	// whole holds the turns whose stream it has written to the end.
	whole map[string]bool
}

func newModelServer(id string) *modelServer {
	return &modelServer{id: id, prompts: map[string]string{}, whole: map[string]bool{}}
}

// handle runs a turn: a stream of turnPieces events in chunks.
func (m *modelServer) handle(conn *serverConn, request *http.Request, body []byte) bool {
	attempt := request.Header.Get("X-Attempt-Id")
	m.mu.Lock()
	m.prompts[attempt] = string(body)
	m.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, m.id, attempt)
	for n := 1; n <= turnPieces && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, pieceText(attempt, n))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(pieceGap)
	}
	if err == nil {
		_, err = conn.Write([]byte("0\r\n\r\n"))
	}
	m.mu.Lock()
	m.whole[attempt] = err == nil
	m.mu.Unlock()
	return err == nil
}

func (m *modelServer) prompt(attempt string) (prompt string, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	prompt, ran = m.prompts[attempt]
	return prompt, ran
}

func (m *modelServer) ranWhole(attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.whole[attempt]
}

// startModels starts the store with the configuration, a sound model server and two
// gateways.
func startModels(r *run) (m *modelServer, gateways []*gateway, s *store, err error) {
	if s, err = newStore(); err != nil {
		return nil, nil, nil, err
	}
	s.put("keyed.op", "config", configuration)
	m = newModelServer("i-model-1")
	server, err := startServer(m.id, "127.0.0.1:0", m.handle)
	if err != nil {
		return nil, nil, nil, err
	}
	beat(s, m.id, modelService, server.address(), "ndar-a", 16, time.Now().UnixMilli())
	gateways, err = startGateways(r, s.address(), 2)
	return m, gateways, s, err
}

// program is an agent program with one line of turns.
type program struct {
	name string
	// previous is the identifier of the last turn that was answered whole, and history
	// what the next prompt begins with.
	previous, history string
	turns             int
}

// turn sends the next turn of a program. It reports whether it was answered whole.
func (p *program) turn(ch *channel, input string) (id string, a answer, whole bool) {
	p.turns++
	id = fmt.Sprintf("%s-%d", p.name, p.turns)
	header := map[string]string{
		"X-Program-Id": p.name, "X-Session-Id": "s" + p.name, "X-Finish-Ms": "5200",
		"X-Token-Budget": "9216", "X-Token-Count": "640,288", "X-Model": "m", "X-Prompt-Prefix": "5c1e07a2:512,91bd3f06:128",
	}
	if p.previous != "" {
		header["X-Previous-Turn"] = p.previous
	}
	a = ch.send(http.MethodPost, turnPath, id, header, []byte(input), 3*time.Second)
	data, _ := pieces(a.body)
	if a.status != http.StatusOK || !a.whole || len(data) != turnPieces {
		return id, a, false
	}
	p.previous = id
	p.history += input
	for _, piece := range data {
		p.history += piece + "\n"
	}
	return id, a, true
}
