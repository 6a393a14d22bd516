package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LossCause is the reason why a node no longer serves or follows a stream.
type LossCause int

// The reasons for a loss.
const (
	// LossClaimed means that another node has claimed the stream, or may have:
	// retention has removed batches that this node had not read.
	LossClaimed LossCause = iota
	// LossReleased means that the node's release record is on the stream.
	LossReleased
	// LossAbandoned means that the node stopped following the stream without
	// having claimed it.
	LossAbandoned
)

// Command is a side effect that a Journal requests. It is one of the types in
// this file.
type Command interface{ command() }

// Ticket identifies a submission. The caller of Submit chooses it and must keep
// it unique within the journal.
type Ticket uint64

type (
	// Append requests an append to the stream. The result is passed to Appended.
	Append struct {
		// Batch is the batch to append.
		Batch spool.Batch
	}

	// Read requests a read of the stream. The result is passed to ReadDone.
	Read struct {
		// Serial identifies the read. The journal ignores the result of a read that
		// it started before it was reset.
		Serial uint64
		// After is the offset after which the read starts. Wait is how long the read
		// waits if the stream has no later batch; 0 means not at all.
		After spool.Offset
		Wait  clock.Millis
	}

	// Replicate sends units to a replica. The result is passed to ReplicateDone.
	Replicate struct {
		// Node is the replica.
		Node spool.NodeID
		// Epoch is the sender's claim. Committed is the highest sequence of Epoch
		// that is on the stream; the replica discards its copies up to it.
		Epoch     spool.Epoch
		Committed uint64
		// Units are ordered by sequence. A message without units only asks for the
		// replica's incarnation and reports Committed.
		Units []Unit
	}

	// Fence asks a node to reject epochs below Epoch and to return the units of
	// these epochs that it has stored. The result is passed to FenceDone.
	Fence struct {
		// Node is a previous replica or owner. Epoch is the new claim.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// RequestLease asks a replica for a lease: for Duration, the replica answers no
	// fence request of an epoch above Epoch. The result is passed to LeaseDone.
	RequestLease struct {
		// Node is the replica. Epoch is the sender's claim.
		Node  spool.NodeID
		Epoch spool.Epoch
		// RequestedAt is the time of the request and identifies it.
		RequestedAt clock.Millis
		// Duration is the duration of the lease. The replica counts it from the
		// arrival of the request, the owner from RequestedAt.
		Duration clock.Millis
	}

	// Discard tells a node to discard its copies of epochs below Epoch, because
	// these units are on the stream. An answer is passed to DiscardDone; nothing is
	// passed if the node does not answer.
	Discard struct {
		// Node is a previous replica or owner, or a replica of an owner that has
		// released the stream.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// Answer is the only answer to a submission.
	Answer struct {
		// Ticket is the one that was passed to Submit.
		Ticket Ticket
		// Refusal is nil when the submission is durable.
		Refusal *spool.Refusal
	}

	// Reset tells the user of the stream to discard its state, because the stream
	// is about to be read from its first retained batch.
	Reset struct {
		// Epoch is not set; it is always 0.
		Epoch spool.Epoch
	}

	// Apply passes the next unit, or the records of a snapshot, to the user.
	Apply struct {
		// Batch holds the records. Its offset is 0 for a snapshot and for a unit
		// that is not on the stream yet.
		Batch spool.Batch
	}

	// Serving reports that the node has begun to serve the stream.
	Serving struct {
		// Epoch is the node's claim.
		Epoch spool.Epoch
		// HandoverData is the data that the previous owner passed to this node; nil
		// if it passed none or did not release the stream.
		HandoverData json.RawMessage
	}

	// Handover asks the user for the data that it passes to the next owner. The
	// release is not appended before the result was passed to HandoverReady.
	Handover struct {
		// Epoch is the claim that is about to be released.
		Epoch spool.Epoch
	}

	// Lost reports that the journal has become idle: the node no longer serves,
	// claims or follows the stream.
	Lost struct {
		// Cause is the reason.
		Cause LossCause
	}

	// Retain passes units to the node's own ReplicaStore, which returns them when
	// the next owner fences the node. They may have been acknowledged, and they
	// were not read back from the stream.
	Retain struct {
		// Epoch is the claim that was lost.
		Epoch spool.Epoch
		// Units are ordered by sequence.
		Units []Unit
	}

	// Snapshot asks the user for records that describe its state. The result is
	// passed to SnapshotTaken and must reflect exactly the units that Apply
	// commands passed before this command.
	Snapshot struct {
		// Epoch is the claim of the requesting node.
		Epoch spool.Epoch
	}
)

func (Append) command()       {}
func (Read) command()         {}
func (Replicate) command()    {}
func (Fence) command()        {}
func (RequestLease) command() {}
func (Discard) command()      {}
func (Answer) command()       {}
func (Reset) command()        {}
func (Apply) command()        {}
func (Serving) command()      {}
func (Handover) command()     {}
func (Lost) command()         {}
func (Retain) command()       {}
func (Snapshot) command()     {}
