// Package spool is the root package of baobabspool. It defines the identifiers, the
// refusals and the interfaces with several implementations: the platform's log, VM
// list and engines, and the scheduling policies. The implementations are in the
// packages below pkg/policy and in internal/platform.
package spool

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. They are strings, so that they can be map keys and JSON values. Each
// kind has its own type, so that the compiler rejects an identifier of the wrong kind.
type (
	// AccountID identifies a client account.
	AccountID string
	// ProgramID identifies a program. The entry that creates a root program assigns a
	// random identifier that cannot be guessed. The identifier of a sub-agent is that of
	// its parent, a dot and a suffix.
	ProgramID string
	// CallID identifies a call within its program. The caller chooses it and uses it
	// again when it repeats a request, so that the system recognises the repeat.
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

// Epoch numbers the ownership claims on a stream. It fences off former owners: the
// receiver of a message refuses an epoch that is lower than the highest one that it has
// received for the stream.
type Epoch uint64

// AgentMark is a position in the sequence of requests that one agent process has
// admitted. The owner of a program stores the latest mark that it has received in the
// intent of a call, and sends the mark with the call. Only the process Boot admits that
// call, and only after the first Admitted requests of that process. This orders the
// call relative to restarts of the agent and to outcomes that the agent has discarded,
// without comparing clocks.
type AgentMark struct {
	// Boot identifies the incarnation of the agent. It is unique for each start.
	Boot string `json:"boot,omitempty"`
	// Admitted is the number of requests that the process Boot had admitted when it sent
	// the mark.
	Admitted uint64 `json:"admitted,omitempty"`
}

// Offset is a position in a stream. The first batch has offset 1. 0 is the position
// before the first batch.
type Offset int64

// ControlStream is the stream with the records of settings, keys, accounts, services
// and drains. Unlike a program stream it has no owner.
const ControlStream Stream = "control"

// ProgramStream returns the name of program stream number i.
func ProgramStream(i int) Stream {
	return Stream("programs-" + strconv.Itoa(i))
}

// StreamOfProgram returns the stream with the records of program p when there are count
// program streams. It depends only on the root program, so the records of a whole
// program tree are on one stream.
func StreamOfProgram(p ProgramID, count int) Stream {
	return ProgramStream(shardIndex(string(p.Root()), count))
}

// StreamOfAccount returns the stream whose owner manages the rate limit of account
// a when there are count program streams.
func StreamOfAccount(a AccountID, count int) Stream {
	return ProgramStream(shardIndex(string(a), count))
}

// Root returns the root program of the tree of p: the part of p before the first dot.
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
