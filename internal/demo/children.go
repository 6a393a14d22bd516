package demo

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// startEntryProcess starts an entry as a separate process, listening on address for
// other processes and on a free address for callers. It does not wait until the entry is
// ready.
func (c *cluster) startEntryProcess(node string, domain spool.FailureDomain, address string) error {
	httpAddress, err := freeAddress()
	if err != nil {
		return err
	}
	args := append(append([]string{}, c.entryCommand[1:]...),
		"--node", node, "--failure-domain", string(domain), "--region", region, "--listen", address, "--http-listen", httpAddress,
		"--vms-address", c.vmsAddress, "--log-address", c.logAddress, "--streams", fmt.Sprint(streamCount),
		"--lame-duck-ms", "0", "--log-level", "error")
	entry := exec.Command(c.entryCommand[0], args...)
	// On one core, the measured processor time leaves out the cost of threads that
	// wake each other.
	entry.Env = append(os.Environ(), "GOMAXPROCS=1")
	entry.Stdout, entry.Stderr = os.Stderr, os.Stderr
	if err := entry.Start(); err != nil {
		return err
	}
	c.entryProcesses = append(c.entryProcesses, entry)
	c.addresses = append(c.addresses, httpAddress)
	return nil
}

// entryProcessesReady reports whether every entry responds to /readyz with status 200. It
// does not check that streams have owners, because the start of a program waits for an
// owner.
func (c *cluster) entryProcessesReady() bool {
	for _, address := range c.addresses {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", time.Second)
		if err != nil || status != fasthttp.StatusOK {
			return false
		}
	}
	return true
}

// entryProcessTimes returns the processor time that each entry process has used.
func (c *cluster) entryProcessTimes() (used []time.Duration) {
	for _, child := range c.entryProcesses {
		used = append(used, cputime.ProcessTime(child.Process.Pid))
	}
	return used
}

// killEntryProcesses kills the entry processes. They need no graceful shutdown,
// because no caller uses them any more.
func (c *cluster) killEntryProcesses() {
	for _, child := range c.entryProcesses {
		_ = child.Process.Signal(syscall.SIGKILL)
		_ = child.Wait()
	}
}
