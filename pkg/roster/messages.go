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
	// EntriesOnly limits the reply to the rows of the entries and the node's own row. It
	// is set by agents.
	EntriesOnly bool `json:"entriesOnly,omitempty"`
	// Root is the hash of all rows that the node has, including its own row. The parent
	// compares it with the hash of the same rows of its list.
	Root uint64 `json:"root"`
	// Digests are the digests of the node's buckets. They are sent only after a reply
	// with NeedDigests, because they would make a request five times as long while
	// nothing changes.
	Digests *Digests `json:"digests,omitempty"`
	// MaxWait is the maximum time for which the parent may hold the request while the
	// lists of both nodes are equal.
	MaxWait clock.Millis `json:"waitMs"`
}

// PullReply is the answer to a PullRequest. If Age is not negative and neither
// NeedDigests nor Digests is set, the lists of both nodes are equal.
type PullReply struct {
	// Age is an upper bound of the age of the answering node's list: the time since the
	// platform was asked for it. It is negative when that node has no list. It is not a
	// point in time, because the clocks of two VMs differ.
	Age clock.Millis `json:"ageMs"`
	// AgeUncertainty is the uncertainty of Age: the true age is between Age -
	// AgeUncertainty and Age.
	AgeUncertainty clock.Millis `json:"spreadMs,omitempty"`
	// HoldTime is the time for which the answering node held the request.
	HoldTime clock.Millis `json:"heldMs,omitempty"`
	// NeedDigests asks the requesting node to repeat the request with digests, because
	// the lists differ.
	NeedDigests bool `json:"needDigests,omitempty"`
	// Digests are the answering node's digests of all buckets. Rows contains only the
	// buckets whose digests differ between the two nodes. Both are set only in the reply
	// to a request with digests.
	Digests *Digests `json:"digests,omitempty"`
	Rows    []Rows   `json:"rows,omitempty"`
	// Own is the row of the requesting node. It is set only together with Digests, in the
	// reply to a request with EntriesOnly, if the platform lists that node.
	Own *spool.VM `json:"own,omitempty"`
}
