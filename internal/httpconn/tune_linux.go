package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time after which unacknowledged bytes break a connection.
const userTimeout = 3 * time.Second

// Tune makes the kernel notice a peer that went silent: idle connections are
// probed, and bytes that nobody acknowledges break the connection.
func Tune(conn net.Conn, probe time.Duration) {
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

// isQuiet reports whether a kept connection is open and holds no bytes that
// nobody asked for.
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
