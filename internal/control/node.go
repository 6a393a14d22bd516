package control

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ErrLogBehind means that the log ends before the offset that is in force, as a
// replica of it that lags would show.
var ErrLogBehind = errors.New("log ends before the offset that is in force")

// Node is the deterministic part of a Reader: it takes in pages of the log and
// replies of peers, and answers from the state. Time is an argument. It is not
// safe for concurrent use.
type Node struct {
	config Config
	// state never goes back: it is replaced only by one with a higher offset.
	state *State
	relay *relayBuffer
	freshness freshness
	// watched holds the channel of each key that somebody watches; a channel is
	// closed when it is taken out.
	keyWatches map[string]chan struct{}
	peerPenalties membership.Avoidance
	// first is the lowest offset on the log when it was last read.
	logStart   spool.Offset
	startedAt clock.Millis
	// observe, unless nil, is called with each batch and the state after it.
	observe Observer
}

// Observer sees every state of the control stream in the order of the log.
// batch is nil when a snapshot has taken the place of batches that were not
// seen. It must not keep the state and must not call the Reader.
type Observer func(batch *spool.Batch, state *State)

// NewNode returns a node that has read nothing yet.
func NewNode(config Config, now clock.Millis) *Node {
	config.Wait = orDefault(config.Wait, defaultWait)
	config.Retention = orDefault(config.Retention, defaultRetention)
	return &Node{
		config: config, state: NewState(), relay: newRelayBuffer(orDefault(config.RelayBytes, defaultRelayBytes)),
		freshness: newFreshness(now), keyWatches: map[string]chan struct{}{}, startedAt: now,
	}
}

func orDefault[T int | clock.Millis](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// State returns the state in force.
func (n *Node) State() *State { return n.state }

// TakePage takes in the log's answer to a read that was sent at sent for the
// batches after the offset after. It fails with ErrLogBehind or ErrGap.
func (n *Node) TakePage(sentAt clock.Millis, after spool.Offset, page spool.Page) (rejected []Rejection, err error) {
	if page.Last < after {
		return nil, errors.Wrapf(ErrLogBehind, "offset %d before %d", page.Last, after)
	}
	if rejected, err = n.applyBatches(page.Batches); err != nil {
		return rejected, err
	}
	n.logStart = page.First
	if n.state.offset >= page.Last {
		n.freshness.recordLogRead(sentAt)
	}
	return rejected, nil
}

// TakeReply takes in a peer's answer to a request that was sent at sent. proves
// tells that reaching the peer shows that the node is not cut off. It fails with
// ErrGap or when the peer's snapshot is damaged.
func (n *Node) TakeReply(now, sentAt clock.Millis, reply wire.PullReply, provesContact bool) (rejected []Rejection, err error) {
	if reply.Snapshot != nil && reply.SnapshotAt > n.state.offset {
		var data []byte
		if err := json.Unmarshal(reply.Snapshot, &data); err != nil {
			return nil, errors.Wrap(err, "decode snapshot of a peer")
		}
		state, err := RestoreCompressed(data)
		if err != nil {
			return nil, err
		}
		n.TakeSnapshot(state)
	}
	if rejected, err = n.applyBatches(reply.Batches); err != nil {
		return rejected, err
	}
	if n.state.offset >= reply.Last {
		answeredAt := min(now, sentAt+max(0, reply.Held))
		n.freshness.recordPeerReply(answeredAt, reply.FreshFor, provesContact)
	}
	return rejected, nil
}

// TakeSnapshot replaces the state by a later one and reports whether it did.
func (n *Node) TakeSnapshot(state *State) bool {
	if state.offset <= n.state.offset {
		return false
	}
	n.state = state
	n.relay.clear()
	if n.observe != nil {
		n.observe(nil, n.state)
	}
	return true
}

func (n *Node) applyBatches(batches []spool.Batch) (rejected []Rejection, err error) {
	for _, batch := range batches {
		if batch.Offset <= n.state.offset {
			continue
		}
		rejectedRecords, err := n.state.Apply(batch)
		if err != nil {
			return rejected, err
		}
		n.relay.add(batch)
		if n.observe != nil {
			n.observe(&batch, n.state)
		}
		rejected = append(rejected, rejectedRecords...)
	}
	return rejected, nil
}

// Authenticate returns the account and the identifier of a key. It fails with
// a *spool.Refusal, which never contains the key.
func (n *Node) Authenticate(now clock.Millis, key string) (account spool.AccountID, id string, err error) {
	if n.Isolated(now) {
		return "", "", spool.Refuse(spool.CodeIsolated, "this entry has lost touch with the control stream").WithRetryAfter(clock.Second)
	}
	account, id, err = n.state.ring.Verify(key, now)
	switch {
	case errors.Is(err, keyring.ErrWithdrawn):
		return "", id, spool.Refuse(spool.CodeKeyWithdrawn, "key %s was withdrawn or has expired", id)
	case err != nil:
		return "", "", spool.Refuse(spool.CodeUnauthorized, "key is not valid")
	}
	if record, ok := n.state.Account(account); !ok || record.Closed {
		return "", id, spool.Refuse(spool.CodeUnauthorized, "account of key %s is closed", id)
	}
	return account, id, nil
}

// Isolated reports whether the node refuses keyed requests because it has lost
// touch with the log and all peers, or has not loaded the state yet.
func (n *Node) Isolated(now clock.Millis) bool {
	scope := settings.Scope{Region: n.config.Region, FailureDomain: n.config.FailureDomain}
	return n.freshness.isIsolated(now, n.state.tree.At(scope).Duration(settings.ControlIsolationMs))
}

// FreshFor returns the age of the state, or -1 when it was never complete.
func (n *Node) FreshFor(now clock.Millis) clock.Millis { return n.freshness.age(now) }

// Withdrawn returns a channel that CloseWatched closes when the key is no
// longer in force, or when the node is isolated.
func (n *Node) Withdrawn(now clock.Millis, keyID string) <-chan struct{} {
	if watch, ok := n.keyWatches[keyID]; ok {
		return watch
	}
	watch := make(chan struct{})
	if n.keyInForce(now, keyID) {
		n.keyWatches[keyID] = watch
	} else {
		close(watch)
	}
	return watch
}

// CloseWatched closes the channels of the keys that are no longer in force.
func (n *Node) CloseWatched(now clock.Millis) {
	for id, watch := range n.keyWatches {
		if !n.keyInForce(now, id) {
			close(watch)
			delete(n.keyWatches, id)
		}
	}
}

// live reports whether requests of a key may go on. A node that has lost touch
// cannot learn of withdrawals, so there no key is.
func (n *Node) keyInForce(now clock.Millis, keyID string) bool {
	if n.Isolated(now) {
		return false
	}
	key, _, ok := n.state.ring.Get(keyID)
	if !ok || !key.Live(now) {
		return false
	}
	account, ok := n.state.Account(key.Account)
	return ok && !account.Closed
}

// Answer returns what follows the offset, or an empty reply. behind tells that
// the node no longer has it and that the peer needs a snapshot.
func (n *Node) Answer(now clock.Millis, after spool.Offset) (reply wire.PullReply, needsSnapshot bool) {
	reply = wire.PullReply{Last: n.state.offset, FreshFor: n.freshness.age(now)}
	if after >= n.state.offset {
		return reply, false
	}
	if !n.relay.hasBatchAfter(after) {
		return reply, true
	}
	reply.Batches = n.relay.batchesAfter(after)
	return reply, false
}

// SnapshotDue reports whether the node that is responsible has to append a
// snapshot: when half of the retention has passed since the last one, or when
// the log removes records and the last one covers less than half of those it
// still holds.
func (n *Node) SnapshotDue(now clock.Millis) bool {
	if !n.freshness.loaded || n.state.offset == 0 {
		return false
	}
	latest := n.state.snapshot
	if n.logStart > 1 && latest.Covers-n.logStart < (n.state.offset-n.logStart)/2 {
		return true
	}
	if latest.Covers == 0 {
		return now-n.startedAt >= n.config.Retention/8
	}
	return now-latest.At >= n.config.Retention/2
}
