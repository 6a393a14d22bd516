package httpconn

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// maxIdleTime is the idle time after which a connection is not reused. A shorter timeout
	// in the peer's Keep-Alive header, minus keepAliveMargin, takes precedence.
	maxIdleTime = 4 * clock.Second
	// keepAliveMargin is subtracted from the timeout in the peer's Keep-Alive header, so
	// that the connection is not reused just before the peer closes it.
	keepAliveMargin = 500 * clock.Millis(1)
	// maxIdlePerAddress is the maximum number of idle connections to one address. Further
	// connections are closed after their response.
	maxIdlePerAddress = 32
)

// idleConns holds the connections that wait for a call. It is safe for concurrent use.
type idleConns struct {
	clock clock.Clock
	mu    sync.Mutex
	// byAddress contains the connections to each address, the most recently used one last.
	// A list may be empty until closeExpired removes it.
	byAddress map[string][]*clientConn
}

// newIdleConns returns a set without connections. It reads the time from system, to decide
// which connections have expired.
func newIdleConns(system clock.Clock) *idleConns {
	return &idleConns{clock: system, byAddress: map[string][]*clientConn{}}
}

// put adds a connection after a response with the given header, or closes it if there are
// too many or the peer closes it soon.
func (i *idleConns) put(address string, conn *clientConn, header http.Header) {
	idleTime := maxIdleTime
	if peerTimeout, ok := parseKeepAliveTimeout(header.Get("Keep-Alive")); ok {
		idleTime = min(idleTime, peerTimeout-keepAliveMargin)
	}
	conn.expiresAt = i.clock.Now() + idleTime
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddress[address]
	if len(list) >= maxIdlePerAddress || idleTime <= 0 {
		_ = conn.conn.Close()
		return
	}
	i.byAddress[address] = append(list, conn)
}

func parseKeepAliveTimeout(value string) (timeout clock.Millis, ok bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(text)
		return clock.Millis(seconds) * clock.Second, err == nil
	}
	return 0, false
}

// take removes a connection that call can use, and returns it without deadlines; nil if
// there is none. It closes those that it finds expired, ended or with unread data.
func (i *idleConns) take(call *Call) *clientConn {
	for conn := i.pop(call); conn != nil; conn = i.pop(call) {
		if i.clock.Now() < conn.expiresAt && isOpenAndEmpty(conn.conn) {
			_ = conn.conn.SetDeadline(time.Time{})
			return conn
		}
		_ = conn.conn.Close()
	}
	return nil
}

// pop removes the most recently used connection on which no call with the same identity was
// refused, and returns it; nil if there is none.
func (i *idleConns) pop(call *Call) *clientConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddress[call.Address]
	for n, conn := range slices.Backward(list) {
		if call.Identity == "" || !slices.Contains(conn.refused, call.Identity) {
			i.byAddress[call.Address] = slices.Delete(list, n, n+1)
			return conn
		}
	}
	return nil
}

// closeAll closes the connections to an address.
func (i *idleConns) closeAll(address string) {
	i.mu.Lock()
	list := i.byAddress[address]
	delete(i.byAddress, address)
	i.mu.Unlock()
	closeConns(list)
}

// closeExpired closes the connections that are too old to be reused.
func (i *idleConns) closeExpired() {
	now := i.clock.Now()
	var expired []*clientConn
	i.mu.Lock()
	for address, list := range i.byAddress {
		kept := list[:0]
		for _, conn := range list {
			if now < conn.expiresAt {
				kept = append(kept, conn)
				continue
			}
			expired = append(expired, conn)
		}
		i.byAddress[address] = kept
		if len(kept) == 0 {
			delete(i.byAddress, address)
		}
	}
	i.mu.Unlock()
	closeConns(expired)
}

func closeConns(conns []*clientConn) {
	for _, conn := range conns {
		_ = conn.conn.Close()
	}
}
