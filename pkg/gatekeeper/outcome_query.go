package gatekeeper

// CallState is the state of an in-doubt call that an outcome query returns.
type CallState int

// The states that an outcome query can return.
const (
	// CallStateUnknown means that the call may or may not have run.
	CallStateUnknown CallState = iota
	// CallStateNotSeen means that the call has not run and that no dispatch up to
	// the one in the query will run.
	CallStateNotSeen
	// CallStateActive means that a dispatch of the call is waiting or running.
	CallStateActive
	// CallStateDone means that the call ran and its outcome is stored.
	CallStateDone
)

// QueryResult is the agent's answer to an outcome query.
type QueryResult struct {
	State CallState
	// Outcome is set with CallStateDone.
	Outcome Outcome
}

// handleOutcomeQuery answers an outcome query, or refuses it if the epoch of the
// query is below the highest one seen for the stream. Otherwise it first refuses
// the waiting calls of the stream with lower epochs. Unless the call is active or
// may have run, it also fences the dispatches of the call up to (Epoch, Attempt).
// CallStateNotSeen requires the mark from the intent of the call. The mark proves
// that the call was sent only to this incarnation of the agent, and that no outcome
// recorded after the mark has been dropped.
func (k *Kernel) handleOutcomeQuery(m OutcomeQuery) {
	k.lastTicket = max(k.lastTicket, m.Ticket)
	if !k.raiseEpoch(m.Stream, m.Epoch) {
		k.emit(OutcomeQueryReply{Ticket: m.Ticket, Refusal: fencedRefusal("epoch %d of %s is below %d", m.Epoch, m.Stream, k.highestEpochs[m.Stream])})
		return
	}
	k.emit(OutcomeQueryReply{Ticket: m.Ticket, QueryResult: k.queryOutcome(m)})
}

// queryOutcome returns the known state of the call. Unless a record shows that the
// call is active or may have run, it fences the dispatches of the call. It then
// returns CallStateNotSeen if the fence is stored and the agent would have a record
// of any dispatch, otherwise CallStateUnknown.
func (k *Kernel) queryOutcome(m OutcomeQuery) QueryResult {
	rec := k.records.byKey[m.Key]
	if rec != nil {
		switch rec.state {
		case recordActive:
			return QueryResult{State: CallStateActive}
		case recordDone:
			return QueryResult{State: CallStateDone, Outcome: rec.outcome}
		case recordUnknown:
			return QueryResult{State: CallStateUnknown}
		}
	}
	hasEvidence := k.wouldHaveRecord(m)
	if !k.fenceDispatches(m) || !hasEvidence {
		return QueryResult{State: CallStateUnknown}
	}
	return QueryResult{State: CallStateNotSeen}
}

// wouldHaveRecord reports whether the agent would certainly still have a record of
// the call if any dispatch of it had arrived.
func (k *Kernel) wouldHaveRecord(m OutcomeQuery) bool {
	lastDropped := k.records.lastDroppedRetained
	if m.Idempotent {
		lastDropped = max(lastDropped, k.records.lastDroppedEvictable)
	}
	return m.Mark.Boot == k.incarnation && m.Mark.Admitted <= uint64(m.Ticket) && uint64(lastDropped) <= m.Mark.Admitted
}

// fenceDispatches makes the kernel refuse dispatches of the call up to (Epoch,
// Attempt) that arrive later. It returns false, without a fence, if that needs
// another retained record and Config.MaxOutcomes is reached.
func (k *Kernel) fenceDispatches(m OutcomeQuery) bool {
	rec := k.records.byKey[m.Key]
	if (rec == nil || !rec.retained) && k.records.full(k.config.MaxOutcomes) {
		return false
	}
	rec = k.records.getOrCreate(m.Key, true)
	rec.idempotent = rec.idempotent && m.Idempotent
	if !rec.fence.blocks(m.Epoch, m.Attempt) {
		rec.fence = &fence{epoch: m.Epoch, attempt: m.Attempt}
	}
	rec.ticket = m.Ticket
	k.records.scheduleExpiry(m.Key, rec, k.now+k.config.OutcomeRetention)
	return true
}

// Fence holds the highest fencing number of operator orders that an agent has
// accepted. The agent checks the numbers itself because some engines ignore them.
type Fence struct{ highest uint64 }

// Check accepts number unless it is below the highest one accepted so far. In that
// case it returns a refusal with CodeFenced.
func (f *Fence) Check(number uint64) error {
	if number < f.highest {
		return fencedRefusal("order %d is followed by %d", number, f.highest)
	}
	f.highest = number
	return nil
}
