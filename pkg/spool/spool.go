// Package spool is the root package of baobabspool. It defines the identifiers, the
// refusals and the interfaces with several implementations: the platform's log, VM
// list and engines, and the scheduling policies. The implementations are in the
// packages below pkg/policy and in internal/platform.
package spool

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. They are strings, so they can be map keys and JSON values. Each has
// its own type, so the compiler rejects a mix-up.
type (
	// AccountID identifies a client account.
	AccountID string
	// ProgramID identifies a program. The entry that creates the program assigns it.
	// It cannot be guessed.
	ProgramID string
	// CallID identifies a call within its program. The caller chooses it, so that the
	// system recognises a repeated request.
	CallID string
	// NodeID identifies a process of the system and the VM that it runs on.
	NodeID string
	// EndpointID identifies an endpoint. It equals the NodeID of the agent of the
	// endpoint.
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

// Epoch numbers the ownership claims on a stream. It fences off former owners: a
// receiver refuses an epoch that is lower than the highest one it has seen.
type Epoch uint64

// AgentMark is a position in the sequence of requests that one agent process has
// admitted. A call whose intent was written after its owner had received the mark can
// only have been admitted by the process Boot, and only after the first Admitted
// requests of that process. This orders the call relative to restarts of the agent
// and to outcomes that the agent has discarded, without comparing clocks.
type AgentMark struct {
	// Boot identifies the incarnation of the agent. It is unique for each start.
	Boot string `json:"boot,omitempty"`
	// Admitted is the number of requests that the agent had admitted.
	Admitted uint64 `json:"admitted,omitempty"`
}

// Offset is a position in a stream. The first batch has offset 1. 0 is the position
// before the first batch.
type Offset int64

// ControlStream carries settings, keys, accounts, services and drains.
const ControlStream Stream = "control"

// ProgramStream returns the name of program stream number i.
func ProgramStream(i int) Stream {
	return Stream("programs-" + strconv.Itoa(i))
}

// StreamOfProgram returns the stream that carries program p when there are
// count program streams. The identifier of a sub-agent starts with the identifier of
// its root program and a dot, so a whole program tree is on the stream of its root.
func StreamOfProgram(p ProgramID, count int) Stream {
	return ProgramStream(shardIndex(string(p.Root()), count))
}

// StreamOfAccount returns the stream whose owner manages the rate limit of account
// a when there are count program streams.
func StreamOfAccount(a AccountID, count int) Stream {
	return ProgramStream(shardIndex(string(a), count))
}

// Root returns the root program of the tree of p.
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
