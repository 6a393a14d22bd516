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

// ErrLogBehind means that the end of the log in the answer to a read is before the
// offset from which the node read, for example because a lagging replica of the log
// sent the answer.
var ErrLogBehind = errors.New("log ends before the offset that is in force")

// Node is the deterministic core of a Reader. It applies pages of the log and
// replies of peers, and answers queries from the resulting state. Callers pass the
// current time as an argument. It is not safe for concurrent use.
type Node struct {
	config Config
	// state is changed by each applied batch, and replaced only by a state with a
	// higher offset.
	state     *State
	relay     *relayBuffer
	freshness freshness
	// keyWatches holds, by key ID, the channels that Withdrawn returned and that are
	// not yet closed. CloseWithdrawn closes and removes them.
	keyWatches    map[string]chan struct{}
	peerPenalties membership.PeerPenalties
	// logStart is the lowest offset that the log held when it was last read; 0
	// before the first read.
	logStart  spool.Offset
	startedAt clock.Millis
	// observe, if not nil, is called after each applied batch and after each
	// snapshot that replaces the state.
	observe Observer
}

// Observer is called with each new state of the control stream, in the order of
// the log. batch is the batch that led to the state, or nil if the state comes from a
// snapshot, which can contain several new batches. An Observer must not retain the
// state, which changes with the next batch, and must not call the Reader, whose lock is
// held during the call.
type Observer func(batch *spool.Batch, state *State)

// NewNode returns a node with an empty state.
func NewNode(config Config, now clock.Millis) *Node {
	config.PollWait = orDefault(config.PollWait, defaultPollWait)
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

// State returns the current state. Callers must not change it. The node changes it
// with the next batch.
func (n *Node) State() *State { return n.state }

// ApplyPage applies the log's answer to a read of the batches after the offset
// after. sentAt is the time at which the read was sent. If the state then reaches the
// end of the log, ApplyPage records that it matched the log at sentAt. It returns the
// records that were not applied. It fails with ErrLogBehind if the log ends before
// after, and with ErrGap if batches are missing.
func (n *Node) ApplyPage(sentAt clock.Millis, after spool.Offset, page spool.Page) (rejected []Rejection, err error) {
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

// ApplyReply applies a peer's reply to a pull request that was sent at sentAt.
// provesContact is the result of ProvesContact for the peer. A snapshot in the reply
// replaces the state if it is newer. ApplyReply returns the records that were not
// applied. It fails if the snapshot is damaged, and with ErrGap if batches are missing.
func (n *Node) ApplyReply(now, sentAt clock.Millis, reply wire.PullReply, provesContact bool) (rejected []Rejection, err error) {
	if reply.Snapshot != nil && reply.SnapshotAt > n.state.offset {
		var data []byte
		if err := json.Unmarshal(reply.Snapshot, &data); err != nil {
			return nil, errors.Wrap(err, "decode snapshot of a peer")
		}
		state, err := RestoreCompressed(data)
		if err != nil {
			return nil, err
		}
		n.ReplaceState(state)
	}
	if rejected, err = n.applyBatches(reply.Batches); err != nil {
		return rejected, err
	}
	if n.state.offset >= reply.Last {
		answeredAt := min(now, sentAt+max(0, reply.HeldFor))
		n.freshness.recordPeerReply(answeredAt, reply.StateAge, provesContact)
	}
	return rejected, nil
}

// ReplaceState replaces the state if the given one has a higher offset, and reports
// whether it did. It then also drops the batches that are kept for peers, because the
// next batch may not follow them without a gap, and calls the Observer.
func (n *Node) ReplaceState(state *State) bool {
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

// applyBatches applies the batches after the state's offset, keeps them for peers and
// calls the Observer. It ignores the other batches. It returns the records that were
// not applied, and stops at the first gap with ErrGap.
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

// Authenticate returns the account and the identifier of a key. Its error is a
// *spool.Refusal, which never contains the secret of the key. The identifier is also
// returned if the key is known but was withdrawn, has expired, or has a closed account.
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

// Isolated reports whether the node refuses requests with a key. This is the case if
// the state was never fully loaded. It is also the case if, for longer than the setting
// control.isolationMs, the state was not known to match the log and no peer for which
// ProvesContact is true has answered.
func (n *Node) Isolated(now clock.Millis) bool {
	scope := settings.Scope{Region: n.config.Region, FailureDomain: n.config.FailureDomain}
	return n.freshness.isIsolated(now, n.state.tree.ValuesFor(scope).Duration(settings.ControlIsolationMs))
}

// StateAge returns the age of the state, or -1 if the state was never fully loaded.
func (n *Node) StateAge(now clock.Millis) clock.Millis { return n.freshness.age(now) }

// Withdrawn returns a channel that CloseWithdrawn closes once the key is no longer in
// force or the node is isolated. The channel is already closed if one of the two is
// the case now.
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

// CloseWithdrawn closes and forgets the channels that Withdrawn returned for keys that
// are no longer in force: withdrawn and expired keys, and keys of closed accounts. On an
// isolated node these are all keys.
func (n *Node) CloseWithdrawn(now clock.Millis) {
	for id, watch := range n.keyWatches {
		if !n.keyInForce(now, id) {
			close(watch)
			delete(n.keyWatches, id)
		}
	}
}

// keyInForce reports whether requests with the key may continue: the key is known,
// neither withdrawn nor expired, and its account is not closed. On an isolated node no
// key is in force, because the node cannot learn of withdrawals.
func (n *Node) keyInForce(now clock.Millis, keyID string) bool {
	if n.Isolated(now) {
		return false
	}
	key, _, ok := n.state.ring.Get(keyID)
	if !ok || !key.ValidAt(now) {
		return false
	}
	account, ok := n.state.Account(key.Account)
	return ok && !account.Closed
}

// BatchesAfter returns the batches after an offset, for a peer. The reply holds no
// batches if the peer is up to date, and also if the node no longer keeps the next
// batch; in the second case needsSnapshot is set and the peer needs a snapshot.
func (n *Node) BatchesAfter(now clock.Millis, after spool.Offset) (reply wire.PullReply, needsSnapshot bool) {
	reply = wire.PullReply{Last: n.state.offset, StateAge: n.freshness.age(now)}
	if after >= n.state.offset {
		return reply, false
	}
	if !n.relay.hasBatchAfter(after) {
		return reply, true
	}
	reply.Batches = n.relay.batchesAfter(after)
	return reply, false
}

// SnapshotDue reports whether the node that appends the snapshots has to append one.
// This is the case when half of the retention has passed since the last snapshot. It
// is also the case when the log has removed records and the last snapshot covers less
// than half of the offsets that are still on the log. If there is no snapshot yet, one
// is due when an eighth of the retention has passed since the node was created. No
// snapshot is due while the state is empty or was never fully loaded.
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
