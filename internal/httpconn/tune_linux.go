package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time after which the kernel closes a connection with
// unacknowledged data.
const userTimeout = 3 * time.Second

// Tune configures conn so that the kernel detects an unreachable peer. It enables
// TCP keep-alive probes at interval probe and sets TCP_USER_TIMEOUT.
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

// isOpenAndEmpty reports whether an idle connection is open and has no unread
// data. Unread data would be an unsolicited response.
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
