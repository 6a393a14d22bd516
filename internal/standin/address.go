package standin

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is the first port of FreeAddress. It lies below the ports of outgoing
// connections, which could take the port of a process between two of its starts.
const firstPort = 20_000

// portsUsed is the number of ports that FreeAddress has returned.
var portsUsed atomic.Int64

// FreeAddress returns an address, as host:port, that nothing else uses: each process has
// its own loopback IP address, and takes each port once.
func FreeAddress() string {
	return fmt.Sprintf("%s:%d", LoopbackOf(os.Getpid()), firstPort+portsUsed.Add(1))
}

// LoopbackOf returns the loopback IP address of the process with the given identifier.
func LoopbackOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}
