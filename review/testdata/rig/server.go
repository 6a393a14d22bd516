package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// heartbeat is how often a server writes its record.
const heartbeat = 1200 * time.Millisecond

// serverConn is one connection to a server. A handler may keep state in it.
type serverConn struct {
	net.Conn
	// due are bytes that a faulty server still sends, where the next answer is expected.
	due []byte
}

// server is a stand-in of a server of a service.
type server struct {
	id       string
	listener net.Listener
	// handle answers a request and reports whether the connection stays open.
	handle func(conn *serverConn, request *http.Request, body []byte) (keep bool)
}

func startServer(id, address string, handle func(conn *serverConn, request *http.Request, body []byte) (keep bool)) (*server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, listener: listener, handle: handle}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(&serverConn{Conn: conn})
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve(conn *serverConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if want := request.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nX-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !s.handle(conn, request, body) {
			return
		}
	}
}

// beat writes the record of a server every heartbeat, as a sound server does.
func beat(s *store, id, service, address, zone string, slots int, born int64) (stop func()) {
	done := make(chan struct{})
	write := func(seq int) {
		s.put("keyed.servers", id, serverRecord(service, address, zone, "ready", slots, seq, born))
	}
	write(1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
				write(seq)
			}
		}
	}()
	return func() { close(done) }
}
