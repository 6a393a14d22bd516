package gatekeeper

// FateKind is what the agent knows of a call.
type FateKind int

// The kinds. NotSeen is said only when the call has not run and will not.
const (
	FateUnknown FateKind = iota
	FateNotSeen
	FateRunning
	FateDone
)

// Standing is the answer to the question about a call's fate.
type Standing struct {
	Kind FateKind
	// Outcome is set with FateDone.
	Outcome Outcome
}

// fate fences lower epochs and the dispatches up to (Epoch, Attempt), and tells
// what became of the call. NotSeen needs the mark of the call's intent: it
// shows that the call can only have been sent to this start of the agent, and
// that no outcome as late as the mark has been dropped.
func (k *Kernel) fate(m Fate) {
	k.last = max(k.last, m.Ticket)
	if !k.raise(m.Stream, m.Epoch) {
		k.emit(FateReply{Ticket: m.Ticket, Refusal: fenced("epoch %d of %s is below %d", m.Epoch, m.Stream, k.epochs[m.Stream])})
		return
	}
	k.emit(FateReply{Ticket: m.Ticket, Standing: k.standing(m)})
}

func (k *Kernel) standing(m Fate) Standing {
	rec := k.records.byKey[m.Key]
	if rec != nil {
		switch rec.state {
		case recordLive:
			return Standing{Kind: FateRunning}
		case recordDone:
			return Standing{Kind: FateDone, Outcome: rec.outcome}
		case recordLost:
			return Standing{Kind: FateUnknown}
		}
	}
	watched := k.watched(m)
	if !k.fence(m) || !watched {
		return Standing{Kind: FateUnknown}
	}
	return Standing{Kind: FateNotSeen}
}

// watched reports whether the agent would know the call had it ever arrived.
func (k *Kernel) watched(m Fate) bool {
	forgotten := k.records.forgotten
	if m.Idempotent {
		forgotten = max(forgotten, k.records.forgottenLoose)
	}
	return m.Mark.Boot == k.boot && m.Mark.Admitted <= uint64(m.Ticket) && uint64(forgotten) <= m.Mark.Admitted
}

// fence refuses later dispatches of the call up to (Epoch, Attempt). It reports
// false when there is no room for another record.
func (k *Kernel) fence(m Fate) bool {
	rec := k.records.byKey[m.Key]
	if (rec == nil || !rec.strict) && k.records.full(k.config.MaxOutcomes) {
		return false
	}
	rec = k.records.ensure(m.Key, true)
	rec.idempotent = rec.idempotent && m.Idempotent
	if !rec.fence.blocks(m.Epoch, m.Attempt) {
		rec.fence = &fence{epoch: m.Epoch, attempt: m.Attempt}
	}
	rec.ticket = m.Ticket
	k.records.keep(m.Key, rec, k.now+k.config.OutcomeFor)
	return true
}

// Fence is the highest fencing number of operator orders that an agent has seen.
// It stands in for engines that ignore the number.
type Fence struct{ highest uint64 }

// Check accepts number unless it is below the highest one accepted.
func (f *Fence) Check(number uint64) error {
	if number < f.highest {
		return fenced("order %d is followed by %d", number, f.highest)
	}
	f.highest = number
	return nil
}
