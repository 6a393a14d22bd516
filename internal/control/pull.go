package control

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// degradedWait bounds the long poll at a peer while the log cannot be read,
	// so that several peers are asked within the isolation limit.
	degradedWait clock.Millis = 500
	// failedPenalty and stalePenalty keep a peer from being asked again at once.
	failedPenalty clock.Millis = 500
	stalePenalty  clock.Millis = 1000
	maxPenalty                 = 8 * clock.Second
)

// readsLog reports whether this node reads the log itself. With LogReaders set,
// only the chosen entries of a failure domain do, and any entry whose state has
// grown old.
func (r *Reader) readsLog() bool {
	if r.config.LogReaders == 0 || r.peers == nil || r.clients == nil {
		return true
	}
	r.mu.RLock()
	age := r.fresh.freshFor(r.clock.Now())
	r.mu.RUnlock()
	if age < 0 || age > r.staleAfter() {
		return true
	}
	rank := 0
	own := score(string(r.config.FailureDomain), r.config.Node)
	for _, peer := range r.entries() {
		if peer.FailureDomain == r.config.FailureDomain && score(string(r.config.FailureDomain), peer.ID) > own {
			rank++
		}
	}
	return rank < r.config.LogReaders
}

// staleAfter is the age of the state beyond which something is wrong upstream.
func (r *Reader) staleAfter() clock.Millis { return 2*r.config.Wait + degradedWait }

// entries lists the other entries that live.
func (r *Reader) entries() []spool.VM {
	var entries []spool.VM
	for _, vm := range r.peers() {
		if vm.Role == spool.RoleEntry && vm.ID != r.config.Node && vm.Address != "" {
			entries = append(entries, vm)
		}
	}
	return entries
}

// score spreads the children of many nodes evenly over the parents.
func score(child string, parent spool.NodeID) uint64 {
	return xxhash.Sum64String(child + "\x00" + string(parent))
}

// penalty keeps a peer out of the choice for a while.
type penalty struct {
	until    clock.Millis
	failures int
}

// pull asks peers for as long as the reader is open, except while the log
// itself answers.
func (r *Reader) pull() {
	penalties := map[string]penalty{}
	var idle backoff
	for attempt := 0; r.ctx.Err() == nil; attempt++ {
		if !r.needsPeers() {
			r.pause(idlePoll)
			continue
		}
		peer, ok := r.choose(attempt, penalties)
		if !ok {
			r.pause(idle.next(r.jitter()))
			continue
		}
		fresh, err := r.pullFrom(peer)
		switch {
		case r.ctx.Err() != nil:
			return
		case err != nil:
			r.event("control.pullFailed")
			r.logger.Debug("pull failed", zap.String("peer", string(peer.ID)), zap.Error(err))
			failures := penalties[peer.Address].failures
			wait := min(maxPenalty, failedPenalty<<min(failures, 6))
			penalties[peer.Address] = penalty{until: r.clock.Now() + wait, failures: failures + 1}
		case !fresh:
			penalties[peer.Address] = penalty{until: r.clock.Now() + stalePenalty}
		default:
			delete(penalties, peer.Address)
			idle.reset()
		}
	}
}

// needsPeers reports whether the node has to ask peers: always when it does not
// read the log, and otherwise when the log has not answered in time.
func (r *Reader) needsPeers() bool {
	if r.log == nil {
		return true
	}
	r.mu.RLock()
	silent := r.clock.Now()-r.fresh.direct > r.config.Wait+degradedWait || !r.fresh.loaded
	r.mu.RUnlock()
	return silent || !r.readsLog()
}

// choose picks the entry to ask: of the own failure domain first, and within it
// always the same one while it answers. A node whose state is old alternates
// between its own and other failure domains, since only an entry elsewhere
// proves that the node is not cut off together with its failure domain.
func (r *Reader) choose(attempt int, penalties map[string]penalty) (spool.VM, bool) {
	now := r.clock.Now()
	r.mu.RLock()
	age := r.fresh.freshFor(now)
	r.mu.RUnlock()
	abroad := age > r.staleAfter() && attempt%2 == 1
	var choice []spool.VM
	for _, peer := range r.entries() {
		if penalties[peer.Address].until <= now {
			choice = append(choice, peer)
		}
	}
	if len(penalties) > 4*len(choice)+64 {
		clear(penalties)
	}
	sort.Slice(choice, func(i, j int) bool {
		a, b := choice[i], choice[j]
		if (a.State == spool.VMLive) != (b.State == spool.VMLive) {
			return a.State == spool.VMLive
		}
		homeA, homeB := a.FailureDomain == r.config.FailureDomain, b.FailureDomain == r.config.FailureDomain
		if homeA != homeB {
			return homeA != abroad
		}
		return r.preference(a) > r.preference(b)
	})
	if len(choice) == 0 {
		return spool.VM{}, false
	}
	return choice[0], true
}

// preference ranks parents. Entries prefer the entries that read the log, which
// have the highest score for the failure domain; agents spread over all.
func (r *Reader) preference(parent spool.VM) uint64 {
	if r.config.LogReaders > 0 && r.config.Role == spool.RoleEntry {
		return score(string(parent.FailureDomain), parent.ID)
	}
	return score(string(r.config.Node), parent.ID)
}

// pullFrom asks one peer and applies its answer. It reports whether the peer's
// state is recent.
func (r *Reader) pullFrom(peer spool.VM) (fresh bool, err error) {
	wait := r.config.Wait
	if r.log != nil {
		wait = min(wait, degradedWait)
	}
	after, sent := r.Offset(), r.clock.Now()
	if !r.Ready() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.ctx, (wait + replyGrace).Duration())
	defer cancel()
	var reply wire.PullReply
	request := wire.PullRequest{After: after, Wait: wait, Node: r.config.Node}
	if err := r.clients.Call(ctx, peer.Address, wire.MethodPull, request, &reply, nil); err != nil {
		return false, err
	}
	if err := r.takeIn(reply); err != nil {
		return false, err
	}
	proves := r.provesContact(peer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.offset >= reply.Last {
		r.fresh.heardPeer(sent, reply.FreshFor, proves)
	}
	return reply.FreshFor >= 0 && reply.FreshFor <= r.staleAfter(), nil
}

// provesContact reports whether an answer of peer shows that this node is not
// cut off together with its failure domain.
func (r *Reader) provesContact(peer spool.VM) bool {
	if peer.FailureDomain != r.config.FailureDomain {
		return true
	}
	for _, other := range r.entries() {
		if other.FailureDomain != r.config.FailureDomain {
			return false
		}
	}
	return true
}

func (r *Reader) takeIn(reply wire.PullReply) error {
	if reply.Snapshot != nil && reply.SnapshotAt > r.Offset() {
		var data []byte
		if err := json.Unmarshal(reply.Snapshot, &data); err != nil {
			return errors.Wrap(err, "decode snapshot of a peer")
		}
		state, err := RestoreCompressed(data)
		if err != nil {
			return err
		}
		r.restore(state)
	}
	return r.apply(reply.Batches)
}
