package httpconn

import (
	"net"

	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// sendState is what the kernel knows about the data that is sent on a connection.
type sendState struct {
	// unsentBytes is the size of the data that has been written and not sent.
	unsentBytes uint32
	// unackedSegments is the number of segments that were sent and not acknowledged.
	unackedSegments uint32
	// unansweredProbes is the number of probes since the last acknowledgment. The kernel
	// sends them while the peer has no room for more data.
	unansweredProbes uint8
	// sinceAck is the time since the last acknowledgment arrived.
	sinceAck clock.Millis
}

// readSendState returns the state of conn. ok is false if conn is closed or is not a TCP
// connection.
func readSendState(conn net.Conn) (state sendState, ok bool) {
	isOpen := controlTCP(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		state = sendState{
			unsentBytes:      info.Notsent_bytes,
			unackedSegments:  info.Unacked,
			unansweredProbes: info.Probes,
			sinceAck:         clock.Millis(info.Last_ack_recv),
		}
	})
	return state, isOpen && ok
}

// isDone reports whether the peer has acknowledged all data that was written.
func (s sendState) isDone() bool { return s.unsentBytes == 0 && s.unackedSegments == 0 }

// isAwaitingAck reports whether something was sent that the peer has to acknowledge.
func (s sendState) isAwaitingAck() bool { return s.unackedSegments > 0 || s.unansweredProbes > 0 }
