package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LossCause is the reason why a node no longer serves a stream.
type LossCause int

// The reasons for a loss.
const (
	// LossClaimed means that another node has claimed the stream.
	LossClaimed LossCause = iota
	// LossReleased means that the node has released the stream.
	LossReleased
	// LossAbandoned means that the node stopped following the stream before it
	// claimed it.
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
		// Serial identifies the read, so that a late result of a read for an
		// earlier claim is ignored.
		Serial uint64
		// After is the offset after which the read starts. Wait is the long-poll
		// timeout.
		After spool.Offset
		Wait  clock.Millis
	}

	// Replicate sends units to a replica. The result is passed to ReplicateDone.
	Replicate struct {
		// Node is the replica.
		Node spool.NodeID
		// Epoch is the sender's claim. Committed is the highest sequence on the
		// stream.
		Epoch     spool.Epoch
		Committed uint64
		// Units are ordered by sequence. A message without units only asks for the
		// replica's incarnation and reports Committed.
		Units []Unit
	}

	// Fence asks a node to reject lower epochs and to return the units of these
	// epochs that it holds. The result is passed to FenceDone.
	Fence struct {
		// Node is a previous replica or owner. Epoch is the new claim.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// RequestLease asks a replica for a lease: the replica answers no fence
	// request of a higher epoch for a time. The result is passed to LeaseDone.
	RequestLease struct {
		// Node is the replica. Epoch is the sender's claim.
		Node  spool.NodeID
		Epoch spool.Epoch
		// RequestedAt is the time of the request and identifies it.
		RequestedAt clock.Millis
		// Duration is the duration of the lease.
		Duration clock.Millis
	}

	// Discard tells a node that all units of epochs below Epoch are on the
	// stream, so that it discards its copies. The answer, if there is one, is
	// passed to DiscardDone.
	Discard struct {
		// Node is a previous replica or owner.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// Answer is the final answer to a submission.
	Answer struct {
		// Ticket is the one that was passed to Submit.
		Ticket Ticket
		// Refusal is nil when the submission is durable.
		Refusal *spool.Refusal
	}

	// Reset tells the user of the stream to discard its state.
	Reset struct {
		// Epoch is the highest epoch known so far.
		Epoch spool.Epoch
	}

	// Apply passes the next unit, or the records of a snapshot, to the user.
	Apply struct {
		// Batch holds the records. Its offset is 0 for a snapshot and for a unit
		// that is not on the stream yet.
		Batch spool.Batch
	}

	// Serving reports that the node serves the stream from now on.
	Serving struct {
		// Epoch is the node's claim.
		Epoch spool.Epoch
		// HandoverData is the handover data of the previous owner; nil if there is
		// none.
		HandoverData json.RawMessage
	}

	// Handover asks the user for the data that it passes to the next owner. The
	// result is passed to HandoverReady, and the release is appended after that.
	Handover struct {
		// Epoch is the claim that is about to be released.
		Epoch spool.Epoch
	}

	// Lost reports that the node no longer serves the stream or has given up its
	// claim.
	Lost struct {
		// Cause is the reason.
		Cause LossCause
	}

	// Retain passes units that may be acknowledged and are not on the stream to
	// the node's own ReplicaStore, where the next owner finds them.
	Retain struct {
		// Epoch is the claim that was lost.
		Epoch spool.Epoch
		// Units are ordered by sequence.
		Units []Unit
	}

	// Snapshot asks the user for its state in compact form. The result is passed
	// to SnapshotTaken and must reflect exactly the units applied before this
	// command.
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
