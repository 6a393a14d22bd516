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
	fresh freshness
	// watched holds the channel of each key that somebody watches; a channel is
	// closed when it is taken out.
	watched map[string]chan struct{}
	avoided membership.Avoidance
	// first is the lowest offset on the log when it was last read.
	first   spool.Offset
	started clock.Millis
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
		fresh: newFreshness(now), watched: map[string]chan struct{}{}, started: now,
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
func (n *Node) TakePage(sent clock.Millis, after spool.Offset, page spool.Page) (rejected []Rejection, err error) {
	if page.Last < after {
		return nil, errors.Wrapf(ErrLogBehind, "offset %d before %d", page.Last, after)
	}
	if rejected, err = n.apply(page.Batches); err != nil {
		return rejected, err
	}
	n.first = page.First
	if n.state.offset >= page.Last {
		n.fresh.heardLog(sent)
	}
	return rejected, nil
}

// TakeReply takes in a peer's answer to a request that was sent at sent. proves
// tells that reaching the peer shows that the node is not cut off. It fails with
// ErrGap or when the peer's snapshot is damaged.
func (n *Node) TakeReply(now, sent clock.Millis, reply wire.PullReply, proves bool) (rejected []Rejection, err error) {
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
	if rejected, err = n.apply(reply.Batches); err != nil {
		return rejected, err
	}
	if n.state.offset >= reply.Last {
		answered := min(now, sent+max(0, reply.Held))
		n.fresh.heardPeer(answered, reply.FreshFor, proves)
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

func (n *Node) apply(batches []spool.Batch) (rejected []Rejection, err error) {
	for _, batch := range batches {
		if batch.Offset <= n.state.offset {
			continue
		}
		more, err := n.state.Apply(batch)
		if err != nil {
			return rejected, err
		}
		n.relay.add(batch)
		if n.observe != nil {
			n.observe(&batch, n.state)
		}
		rejected = append(rejected, more...)
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
	if holder, ok := n.state.Account(account); !ok || holder.Closed {
		return "", id, spool.Refuse(spool.CodeUnauthorized, "account of key %s is closed", id)
	}
	return account, id, nil
}

// Isolated reports whether the node refuses keyed requests because it has lost
// touch with the log and all peers, or has not loaded the state yet.
func (n *Node) Isolated(now clock.Millis) bool {
	place := settings.Scope{Region: n.config.Region, FailureDomain: n.config.FailureDomain}
	return n.fresh.isolated(now, n.state.tree.At(place).Duration(settings.ControlIsolationMs))
}

// FreshFor returns the age of the state, or -1 when it was never complete.
func (n *Node) FreshFor(now clock.Millis) clock.Millis { return n.fresh.freshFor(now) }

// Withdrawn returns a channel that CloseWatched closes when the key is no
// longer in force, or when the node is isolated.
func (n *Node) Withdrawn(now clock.Millis, keyID string) <-chan struct{} {
	if watched, ok := n.watched[keyID]; ok {
		return watched
	}
	watched := make(chan struct{})
	if n.live(now, keyID) {
		n.watched[keyID] = watched
	} else {
		close(watched)
	}
	return watched
}

// CloseWatched closes the channels of the keys that are no longer in force.
func (n *Node) CloseWatched(now clock.Millis) {
	for id, watched := range n.watched {
		if !n.live(now, id) {
			close(watched)
			delete(n.watched, id)
		}
	}
}

// live reports whether requests of a key may go on. A node that has lost touch
// cannot learn of withdrawals, so there no key is.
func (n *Node) live(now clock.Millis, keyID string) bool {
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
func (n *Node) Answer(now clock.Millis, after spool.Offset) (reply wire.PullReply, behind bool) {
	reply = wire.PullReply{Last: n.state.offset, FreshFor: n.fresh.freshFor(now)}
	if after >= n.state.offset {
		return reply, false
	}
	if !n.relay.covers(after) {
		return reply, true
	}
	reply.Batches = n.relay.after(after)
	return reply, false
}

// SnapshotDue reports whether the node that is responsible has to append a
// snapshot: when half of the retention has passed since the last one, or when
// the log removes records and the last one covers less than half of those it
// still holds.
func (n *Node) SnapshotDue(now clock.Millis) bool {
	if !n.fresh.loaded || n.state.offset == 0 {
		return false
	}
	mark := n.state.snapshot
	if n.first > 1 && mark.Covers-n.first < (n.state.offset-n.first)/2 {
		return true
	}
	if mark.Covers == 0 {
		return now-n.started >= n.config.Retention/8
	}
	return now-mark.At >= n.config.Retention/2
}
