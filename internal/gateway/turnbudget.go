package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// turnBudget is the set of tokens that are allocated to one running turn. It is not safe
// for concurrent use.
type turnBudget struct {
	store *budgetStore
	id    spool.ProgramID
	// maxTokens is the largest number of tokens that the turn may generate. budget is
	// the whole token budget of the program.
	maxTokens, budget int64
	// fromReserve is the number of tokens that the reserve has granted.
	fromReserve int64
	// grants is where fromLog tokens are allocated; nil if there are none.
	grants  *programGrants
	fromLog int64
}

// beginTurn allocates tokens to a turn. It takes maxTokens from a grant of the log, or the
// first part of them from the reserve if the log provides no grant within logGrantTimeout
// and does not report the budget as spent. It fails with errBudgetSpent, or with
// errBudgetUnknown if neither provides the tokens.
func (s *budgetStore) beginTurn(ctx context.Context, id spool.ProgramID, maxTokens, budget int64) (turn *turnBudget, err error) {
	defer func() { err = errors.Wrapf(err, "budget of program %q", id) }()
	turn = &turnBudget{store: s, id: id, maxTokens: maxTokens, budget: budget}
	err = turn.addFromLog(ctx)
	if err == nil || errors.Is(err, errBudgetSpent) {
		return turn, err
	}
	added, reserveErr := turn.addFromReserve(ctx, spend.FirstNeed(maxTokens))
	switch {
	case added:
		return turn, nil
	case reserveErr != nil:
		return nil, errors.WithMessage(err, reserveErr.Error())
	default:
		return nil, err
	}
}

// cover makes sure that the turn may pass tokens on to the caller in total. It requests
// missing tokens from the reserve, and from the log if the reserve grants none, because
// the store may be back. It fails if neither grants them.
func (t *turnBudget) cover(ctx context.Context, tokens int64) (err error) {
	missing := min(tokens, t.maxTokens) - t.fromReserve - t.fromLog
	if missing <= 0 {
		return nil
	}
	defer func() { err = errors.Wrapf(err, "%d more tokens of program %q", missing, t.id) }()
	if added, _ := t.addFromReserve(ctx, missing); added {
		return nil
	}
	return t.addFromLog(ctx)
}

// addFromLog allocates all tokens that are missing up to maxTokens from the log.
func (t *turnBudget) addFromLog(ctx context.Context) (err error) {
	missing := t.maxTokens - t.fromReserve
	if t.grants, err = t.store.allocateFromLog(ctx, t.id, missing, t.budget); err == nil {
		t.fromLog = missing
	}
	return err
}

// addFromReserve allocates need tokens from the reserve, or more if it has plenty, and
// reports whether it granted them.
func (t *turnBudget) addFromReserve(ctx context.Context, need int64) (added bool, err error) {
	granted, err := t.store.reserve.take(ctx, reserveRequest{
		Program: t.id, Need: need, Want: t.maxTokens - t.fromReserve, Budget: t.budget,
	})
	t.fromReserve += granted
	return granted > 0, err
}

// endTurn records that the turn has generated used tokens, and releases the rest of its
// allocation.
func (t *turnBudget) endTurn(used int64) {
	usedOfReserve := min(used, t.fromReserve)
	t.store.reserve.returnUnused(t.id, t.fromReserve-usedOfReserve)
	if t.grants != nil {
		t.grants.release(t.store.clock.Now(), t.fromLog, used-usedOfReserve)
	}
}
