package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// A program has a budget for eight turns of longPieces events of eventTokens each, and
	// sends tooManyTurns.
	longPieces   = 24
	eventTokens  = 12
	tokenBudget  = 2304
	tooManyTurns = 14
)

// handleLong runs a turn: a stream of longPieces events, whose lines end as lineEnd says.
func (m *modelServer) handleLong(lineEnd string) func(conn *serverConn, request *http.Request, body []byte) bool {
	return func(conn *serverConn, request *http.Request, body []byte) bool {
		attempt := request.Header.Get("X-Attempt-Id")
		m.mu.Lock()
		m.prompts[attempt] = string(body)
		m.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, m.id, attempt)
		for n := 1; n <= longPieces && err == nil; n++ {
			event := fmt.Sprintf("id: %d%sdata: %s%s%s", n, lineEnd, pieceText(attempt, n), lineEnd, lineEnd)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(pieceGap / 2)
		}
		if err == nil {
			_, err = conn.Write([]byte("0\r\n\r\n"))
		}
		return err == nil
	}
}

// playLineEnds sends the turns of one program, each on the one before. With trouble, the
// lines of the servers' events end with CR LF.
func playLineEnds(r *run) (broken int, err error) {
	s, err := newStore()
	if err != nil {
		return 0, err
	}
	s.put("keyed.op", "config", configuration)
	m := newModelServer("i-model-1")
	lineEnd := "\n"
	if r.trouble {
		lineEnd = "\r\n"
	}
	server, err := startServer(m.id, "127.0.0.1:0", m.handleLong(lineEnd))
	if err != nil {
		return 0, err
	}
	beat(s, m.id, modelService, server.address(), "ndar-a", 16, time.Now().UnixMilli())
	gateways, err := startGateways(r, s.address(), 2)
	if err != nil {
		return 0, err
	}
	previous, history, handed := "", "", 0
	for n := 1; n <= tooManyTurns; n++ {
		id, input := fmt.Sprintf("40c8f1a7b3e9%04x", n), fmt.Sprintf("Question %d. ", n)
		header := map[string]string{
			"X-Program-Id": "3fa81c", "X-Session-Id": "77d20b", "X-Finish-Ms": "15200", "X-Token-Budget": fmt.Sprint(tokenBudget),
			"X-Token-Count": "640,288", "X-Model": "m", "X-Prompt-Prefix": "5c1e07a2:512,91bd3f06:128",
		}
		if previous != "" {
			header["X-Previous-Turn"] = previous
		}
		ch := &channel{address: gateways[n%2].front}
		a := ch.send(http.MethodPost, turnPath, id, header, []byte(input), 3*time.Second)
		ch.close()
		data, _ := pieces([]byte(strings.ReplaceAll(string(a.body), "\r\n", "\n")))
		handed += len(data) * eventTokens
		prompt, ran := m.prompt(id)
		r.note("turn %s on %q: %v; %d events; %d tokens handed to the program of %d; prompt %d bytes, the chain has %d", id, previous, a, len(data), handed, tokenBudget, len(prompt), len(history+input))
		if ran && prompt != history+input {
			r.note("UNASKED: the prompt of turn %s is not its chain: %.150q", id, prompt)
			broken++
		}
		if a.status != http.StatusOK {
			break
		}
		previous, history = id, history+input
		for _, piece := range data {
			history += piece + "\n"
		}
	}
	if most := tokenBudget + longPieces*eventTokens; handed > most {
		r.note("BUDGET: the program was handed %d tokens, its budget and one turn are %d", handed, most)
		broken++
	}
	return broken, nil
}
