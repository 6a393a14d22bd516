package roster

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PullRequest is the request of a node to an entry, its parent, for the rows of the
// VM list that differ from its own.
type PullRequest struct {
	// Node is the requesting node.
	Node spool.NodeID `json:"node"`
	// EntriesOnly limits the answer to the rows of the entries and the node's own row.
	EntriesOnly bool `json:"entriesOnly,omitempty"`
	// Root is the hash of the rows that the node has. With EntriesOnly it also covers
	// the node's own row.
	Root uint64 `json:"root"`
	// Digests are the digests of the node's buckets. They are sent only after a reply
	// with NeedDigests, because they would make a request five times as long while
	// nothing changes.
	Digests *Digests `json:"digests,omitempty"`
	// Wait is the maximum duration of the long poll.
	MaxWait clock.Millis `json:"waitMs"`
}

// PullReply is the answer to a PullRequest. If neither NeedDigests nor Digests is
// set, the lists of both nodes are equal.
type PullReply struct {
	// Age is the maximum time since the platform's list was read of which the answering
	// node has a copy. It is negative when that node has no list. It is a duration,
	// because the clocks of two VMs differ.
	Age clock.Millis `json:"ageMs"`
	// Spread is the uncertainty of Age: the true age is between Age - Spread and Age.
	AgeUncertainty clock.Millis `json:"spreadMs,omitempty"`
	// Held is the time for which the answering node held the request.
	HoldTime clock.Millis `json:"heldMs,omitempty"`
	// NeedDigests asks the requesting node to repeat the request with digests, because
	// the lists differ.
	NeedDigests bool `json:"needDigests,omitempty"`
	// Digests are the expected digests after the buckets in Rows have been replaced.
	// Rows holds only the buckets that differ.
	Digests *Digests `json:"digests,omitempty"`
	Rows    []Rows   `json:"rows,omitempty"`
	// Own is the row of the requesting node. It is set only with EntriesOnly and if the
	// node is listed.
	Own *spool.VM `json:"own,omitempty"`
}
