package httpconn_test

import (
	"net"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// fallSilent makes the kernel drop each segment that arrives for conn, so that none is
// acknowledged.
func fallSilent(conn *net.TCPConn) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	controlSocket(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}

// endSilence undoes fallSilent.
func endSilence(conn *net.TCPConn) {
	controlSocket(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

// controlSocket calls control with the file descriptor of conn.
func controlSocket(conn *net.TCPConn, control func(fd int) error) {
	defer ginkgo.GinkgoRecover()
	raw, err := conn.SyscallConn()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var result error
	err = raw.Control(func(fd uintptr) { result = control(int(fd)) })
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(result).NotTo(gomega.HaveOccurred())
}
