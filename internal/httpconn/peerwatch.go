package httpconn

import (
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// watchInterval is the interval at which a peerWatch checks its connection.
	watchInterval = 250 * clock.Millis(1)
	// silentChecks is the number of successive checks without an acknowledgment after which
	// a peer counts as silent.
	silentChecks = int(userTimeout / watchInterval)
)

// peerWatch closes a connection whose peer falls silent while a response arrives before the
// request has been read. It takes the place of TCP_USER_TIMEOUT, which cannot tell a silent
// peer from one that reads the rest of the request late: the kernel closes a connection
// whose peer takes no data, even if the peer acknowledges everything that it gets.
type peerWatch struct {
	// write is the write of the request to the peer.
	write *requestWrite
	// stopped is closed by stop.
	stopped chan struct{}
	// ended is closed when the watch no longer uses the connection. The connection is then
	// closed, or has its TCP_USER_TIMEOUT again.
	ended chan struct{}
}

// newPeerWatch starts to watch the peer to which write sends a request. The watch ends when
// stop is called, when the peer has acknowledged the whole request, or when the connection
// is closed.
func newPeerWatch(write *requestWrite) *peerWatch {
	w := &peerWatch{write: write, stopped: make(chan struct{}), ended: make(chan struct{})}
	setUserTimeout(write.conn, 0)
	go func() {
		defer close(w.ended)
		if w.awaitSilence() {
			_ = write.conn.Close()
			return
		}
		setUserTimeout(write.conn, userTimeout)
	}()
	return w
}

// awaitSilence returns true when the peer has fallen silent, and false when the watch ends
// for another reason.
func (w *peerWatch) awaitSilence() (silent bool) {
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
	for unanswered := 0; unanswered < silentChecks; {
		select {
		case <-w.stopped:
			return false
		case <-ticker.C:
		}
		if w.write.isAcknowledged() {
			return false
		}
		state, ok := readSendState(w.write.conn)
		if !ok {
			return false
		}
		if state.isAwaitingAck() && state.sinceAck >= watchInterval {
			unanswered++
		} else {
			unanswered = 0
		}
	}
	return true
}

// stop ends the watch and waits until it no longer uses the connection. It must be called at
// most once.
func (w *peerWatch) stop() {
	close(w.stopped)
	<-w.ended
}
