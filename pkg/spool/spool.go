// Package spool is the root package of baobabspool. It holds the identifiers,
// the refusals and the interfaces of everything that varies: the platform's
// log, VM list and engines, and the scheduling policies. Implementations live
// in the packages below pkg/policy and in internal/platform.
package spool

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. They are plain strings so that they can be map keys and JSON
// values; each has its own type so that they cannot be confused.
type (
	// AccountID names a client account.
	AccountID string
	// ProgramID names a program. It is assigned by the entry that creates the
	// program and cannot be guessed.
	ProgramID string
	// CallID names a call within its program. The caller chooses it, so that a
	// repeated request can be recognised.
	CallID string
	// NodeID names a process of the system, and the VM that it runs on.
	NodeID string
	// EndpointID names an endpoint. It equals the NodeID of its agent.
	EndpointID string
	// ServiceName names a group of interchangeable endpoints, for example
	// "appraiser-models".
	ServiceName string
	// ModelName names a model that a model service can run.
	ModelName string
	// FailureDomain names a set of VMs that can fail together.
	FailureDomain string
	// Region names a set of failure domains that are close to each other.
	Region string
	// Stream names a stream of the platform's log.
	Stream string
)

// Epoch numbers the claims of a stream. It fences owners that are late: a
// receiver refuses an epoch lower than the highest it has seen.
type Epoch uint64

// AgentMark is a point in the life of one agent process. A call whose intent
// was written after its owner had learned the mark can only have been admitted
// by the process Boot, and only after the first Admitted ones. This orders the
// call against restarts and forgotten outcomes without comparing clocks.
type AgentMark struct {
	// Boot is unique for each start of an agent.
	Boot string `json:"boot,omitempty"`
	// Admitted counts the requests that the agent had taken in.
	Admitted uint64 `json:"admitted,omitempty"`
}

// Offset is a position in a stream. The first batch has offset 1; 0 stands
// before every batch.
type Offset int64

// ControlStream carries settings, keys, accounts, services and drains.
const ControlStream Stream = "control"

// ProgramStream names program stream number i.
func ProgramStream(i int) Stream {
	return Stream("programs-" + strconv.Itoa(i))
}

// StreamOfProgram returns the stream that carries program p when there are
// count program streams. A sub-agent's identifier starts with its root's
// identifier and a dot, so a whole tree shares the stream of its root.
func StreamOfProgram(p ProgramID, count int) Stream {
	return ProgramStream(shardIndex(string(p.Root()), count))
}

// StreamOfAccount returns the stream whose owner holds account a's rate pool
// when there are count program streams.
func StreamOfAccount(a AccountID, count int) Stream {
	return ProgramStream(shardIndex(string(a), count))
}

// Root returns the root program of the tree that p belongs to.
func (p ProgramID) Root() ProgramID {
	for i := range len(p) {
		if p[i] == '.' {
			return p[:i]
		}
	}
	return p
}

func shardIndex(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}
