package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the value of TCP_USER_TIMEOUT: the time after which the kernel closes a
// connection whose peer has not acknowledged sent data. It also replaces the number of
// unanswered keep-alive probes as the limit for an idle connection.
const userTimeout = 3 * time.Second

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
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
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
