package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// userTimeout is the value of TCP_USER_TIMEOUT: the time after which the kernel closes a
// connection whose peer has not acknowledged sent data, or has taken no data. It also
// replaces the number of unanswered keep-alive probes as the limit for an idle connection.
const userTimeout = 3 * clock.Second

// ConfigureKeepAlive configures conn so that the kernel detects an unreachable
// peer. It enables TCP keep-alive probes, which are sent at the interval probe while the
// connection is idle, and sets TCP_USER_TIMEOUT to userTimeout. It ignores errors, and
// does nothing if conn is not a TCP connection.
func ConfigureKeepAlive(conn net.Conn, probe time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: 3})
	setUserTimeout(conn, userTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT. Zero leaves the time to the kernel, which is many
// minutes. It ignores errors, and does nothing if conn is not a TCP connection.
func setUserTimeout(conn net.Conn, timeout clock.Millis) {
	_ = controlTCP(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
	})
}

// controlTCP calls control with the file descriptor of conn, and reports whether it has done
// so. It has not if conn is closed or is not a TCP connection.
func controlTCP(conn net.Conn, control func(fd int)) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { control(int(fd)) }) == nil
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread data in
// the kernel. Unread data would be a response that no request has asked for. The result
// is always true for a connection that is not TCP.
func isOpenAndEmpty(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = err == unix.EAGAIN
		return true
	})
	return err == nil && openAndEmpty
}
