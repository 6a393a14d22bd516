package journal

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LossCause is why a node does not serve a stream any more.
type LossCause int

// The causes of a loss.
const (
	// LossTaken means that another node has claimed the stream.
	LossTaken LossCause = iota
	// LossReleased means that the node has released it.
	LossReleased
	// LossAbandoned means that the node has stopped following it.
	LossAbandoned
)

// Command is a side effect that a state machine asks for. It is one of the
// types in this file.
type Command interface{ command() }

// Ticket identifies a submission. The caller of Submit chooses it; it must be
// unique within the journal.
type Ticket uint64

type (
	// Append asks for an append to the stream. The answer goes to Appended.
	Append struct {
		// Batch is the batch to append.
		Batch spool.Batch
	}

	// Read asks for a read of the stream. The answer goes to ReadDone.
	Read struct {
		// Serial identifies the read, so that an answer to an earlier claim's read
		// is ignored.
		Serial uint64
		// After is the offset to read after; Wait bounds the long poll.
		After spool.Offset
		Wait  clock.Millis
	}

	// Hold sends units to a holder. The answer goes to HoldDone.
	Hold struct {
		// Node is the holder.
		Node spool.NodeID
		// Epoch is the sender's claim; Committed is the highest sequence that is
		// on the stream.
		Epoch     spool.Epoch
		Committed uint64
		// Units are in the order of their sequences; none only asks for the
		// holder's incarnation and tells it Committed.
		Units []Unit
	}

	// Seal asks a node to fence lower epochs and to return the units it holds.
	// The answer goes to SealDone.
	Seal struct {
		// Node is the holder or previous owner; Epoch is the new claim.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// Promise asks a holder to answer no seal of a higher epoch for a time. The
	// answer goes to PromiseDone.
	Promise struct {
		// Node is the holder; Epoch is the sender's claim.
		Node  spool.NodeID
		Epoch spool.Epoch
		// AskedAt identifies the question.
		AskedAt clock.Millis
		// For is the length of the promise.
		For clock.Millis
	}

	// Release tells a node that everything of epochs below Epoch is on the
	// stream. The answer, if there is one, goes to ReleaseDone.
	Release struct {
		// Node is a previous holder or owner.
		Node  spool.NodeID
		Epoch spool.Epoch
	}

	// Answer ends a submission.
	Answer struct {
		// Ticket is that of the submission.
		Ticket Ticket
		// Refusal is nil when the submission is durable.
		Refusal *spool.Refusal
	}

	// Reset tells the user of the stream to drop its state.
	Reset struct {
		// Epoch is the highest epoch known so far.
		Epoch spool.Epoch
	}

	// Apply passes the next unit, or the records of a snapshot, to the user.
	Apply struct {
		// Batch is the unit; its offset is 0 while it is not on the stream.
		Batch spool.Batch
	}

	// Serving tells that the node serves the stream from now on.
	Serving struct {
		// Epoch is the node's claim.
		Epoch spool.Epoch
		// Inherited is what the previous owner left with its release; nil without
		// one.
		Inherited json.RawMessage
	}

	// Handover asks the user what it leaves to the next owner. The answer goes to
	// HandoverTaken; the release is appended after it.
	Handover struct {
		// Epoch is the claim that is about to be released.
		Epoch spool.Epoch
	}

	// Lost tells that the node no longer serves, or has given up its claim.
	Lost struct {
		// Cause is why.
		Cause LossCause
	}

	// Retain passes units that are acknowledged but not on the stream to the
	// node's own holder, where the next owner finds them.
	Retain struct {
		// Epoch is the claim that was lost.
		Epoch spool.Epoch
		// Units are in order.
		Units []Unit
	}

	// Snapshot asks the user for its compact state. The answer goes to
	// SnapshotTaken and must reflect exactly the units applied before.
	Snapshot struct {
		// Epoch is the claim that asks.
		Epoch spool.Epoch
	}
)

func (Append) command()   {}
func (Read) command()     {}
func (Hold) command()     {}
func (Seal) command()     {}
func (Promise) command()  {}
func (Release) command()  {}
func (Answer) command()   {}
func (Reset) command()    {}
func (Apply) command()    {}
func (Serving) command()  {}
func (Handover) command() {}
func (Lost) command()     {}
func (Retain) command()   {}
func (Snapshot) command() {}
