package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// hostName is the host of all routes, and apiKey the key of the only tenant.
const (
	hostName = "ficu95.example"
	apiKey   = "3fexd9dnn2ctnfzs989a"
)

// answer is what a client saw of one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole reports that the answer was complete by its framing.
	whole bool
	err   error
	after time.Duration
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d whole %v bytes %d after %d ms", a.status, a.whole, len(a.body), a.after.Milliseconds())
	if a.err != nil {
		text += " error " + a.err.Error()
	}
	return text
}

// channel is a client's channel to a gateway. It is opened when it is needed and kept as
// long as the gateway keeps it.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// uses counts the requests on the present connection.
	uses int
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its answer.
func (c *channel) send(method, path, id string, header map[string]string, body []byte, timeout time.Duration) (a answer) {
	start := time.Now()
	defer func() { a.after = time.Since(start) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.uses = conn, bufio.NewReader(conn), 0
	}
	c.uses++
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, hostName, id, timeout.Milliseconds(), apiKey)
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	_ = c.conn.SetDeadline(start.Add(timeout + time.Second))
	if _, err := c.conn.Write(append([]byte(text.String()), body...)); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.whole = a.err == nil
	if a.err != nil || response.Close {
		c.close()
	}
	return a
}

// pieces returns the data of the events of a stream that have ended, and what is left.
func pieces(stream []byte) (data []string, rest string) {
	for {
		event, after, found := bytes.Cut(stream, []byte("\n\n"))
		if !found {
			return data, string(stream)
		}
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
				data = append(data, string(value))
			}
		}
		stream = after
	}
}
