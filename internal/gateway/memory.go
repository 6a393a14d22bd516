package gateway

import "runtime/debug"

// defaultMemoryMB is the memory of a VM whose settings name none.
const defaultMemoryMB = 512

// Shares of the memory of a process. What they leave is for connections, code and the
// garbage of buffers that are no longer in use.
const (
	bufferShare  = 1.0 / 6
	indexShare   = 1.0 / 8
	historyShare = 1.0 / 6
	runtimeShare = 0.7
)

// memoryShares divides the memory of a process among its uses.
type memoryShares struct{ bytes float64 }

// newMemoryShares returns the shares of a process with the given memory; 0 if that is not
// known.
func newMemoryShares(memoryMB int64) memoryShares {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryShares{bytes: float64(memoryMB) * (1 << 20)}
}

// bufferBytes returns the size of the buffers of all requests.
func (m memoryShares) bufferBytes() int64 { return int64(bufferShare * m.bytes) }

// indexBytes returns the size of the turns in the index. It holds a longest prompt with
// room for others.
func (m memoryShares) indexBytes() int64 { return max(2*maxPromptBytes, int64(indexShare*m.bytes)) }

// historyBytes returns the size of the histories of all requests in flight.
func (m memoryShares) historyBytes() int64 { return int64(historyShare * m.bytes) }

// LimitMemory makes the runtime of this process collect garbage in time to stay below its
// share of the memory of a VM, in MB, unless the environment has set a lower limit.
func LimitMemory(memoryMB int64) {
	limit := int64(runtimeShare * newMemoryShares(memoryMB).bytes)
	if current := debug.SetMemoryLimit(-1); current > limit {
		debug.SetMemoryLimit(limit)
	}
}
