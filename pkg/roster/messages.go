package roster

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PullRequest asks an entry for what the asking node lacks of the VM list.
type PullRequest struct {
	// Node is the asking node.
	Node spool.NodeID `json:"node"`
	// EntriesOnly asks for the rows of the entries and the node's own row only.
	EntriesOnly bool `json:"entriesOnly,omitempty"`
	// Root is the hash of the rows that the node has, with EntriesOnly also of its
	// own row.
	Root uint64 `json:"root"`
	// Digests are those of the node's buckets. They are sent only after a reply
	// with NeedDigests, since a request at rest would be five times as long.
	Digests *Digests `json:"digests,omitempty"`
	// Wait bounds the long poll.
	Wait clock.Millis `json:"waitMs"`
}

// PullReply holds what the asking node lacks; with neither NeedDigests nor
// Digests it lacks nothing.
type PullReply struct {
	// Age is how long ago, at most, the platform's list was read of which this is
	// a copy; negative when the answering node has none. A duration, since the
	// clocks of two VMs differ.
	Age clock.Millis `json:"ageMs"`
	// Spread is by how much less the true age may be.
	Spread clock.Millis `json:"spreadMs,omitempty"`
	// Held is how long the request waited at the answering node.
	Held clock.Millis `json:"heldMs,omitempty"`
	// NeedDigests asks to repeat the request with digests, because the lists
	// differ.
	NeedDigests bool `json:"needDigests,omitempty"`
	// Digests are those after the buckets in Rows have been replaced.
	Digests *Digests `json:"digests,omitempty"`
	Rows    []Rows   `json:"rows,omitempty"`
	// Own is the row of the asking node, if it is listed, with EntriesOnly.
	Own *spool.VM `json:"own,omitempty"`
}
