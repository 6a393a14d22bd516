package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// history returns the turn id preceded by all earlier turns that it continues. It fails
// with errNoTurn if id belongs to another account or does not exist, and with
// errTurnUncertain if that is not certain or an earlier turn was not found.
func (s *turnStore) history(ctx context.Context, account spool.AccountID, id string) (turns []*chain.Turn, err error) {
	search := newTurnSearch(s.index)
	if err := s.lookUp(ctx, search, id, []string{id}); err != nil {
		return nil, err
	}
	last := search.turns([]string{id})[0]
	if last.Account != account {
		return nil, errNoTurn
	}
	err = s.lookUp(ctx, search, id, last.History)
	switch {
	case errors.Is(err, errNoTurn) && last.IsRetained(s.clock.Now()):
		// A turn that is retained exists even if an earlier one is missing.
		return nil, errors.Wrap(errTurnUncertain, "an earlier turn is missing")
	case err != nil:
		return nil, err
	}
	return append(search.turns(last.History), last), nil
}

// lookUp looks for turns in the index, in their home partitions, at other gateways that may
// have served the turn id, and in all partitions, until search has all of them. It fails
// with errNoTurn if it has read all partitions and some turn is in none of them, and with
// errTurnUncertain if some partition could not be read.
func (s *turnStore) lookUp(ctx context.Context, search *turnSearch, id string, wanted []string) error {
	if search.hasAll(wanted) {
		return nil
	}
	if s.findAtHomesOrPeers(ctx, search, id, wanted); search.hasAll(wanted) {
		return nil
	}
	err := s.finder.findInAllPartitions(ctx, search, search.missing(wanted))
	switch {
	case search.hasAll(wanted):
		return nil
	case err != nil:
		return errors.Wrap(errTurnUncertain, err.Error())
	default:
		return errNoTurn
	}
}

// findAtHomesOrPeers looks for turns in their home partitions. When that has failed, or has
// lasted for homeFindTimeout, it also asks other gateways that may have served the turn id.
// It ignores errors: a turn that was not found may be in any other partition.
func (s *turnStore) findAtHomesOrPeers(ctx context.Context, search *turnSearch, id string, wanted []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	atHomes := make(chan struct{})
	go func() {
		defer close(atHomes)
		_ = s.finder.findInHomePartitions(ctx, search, search.missing(wanted))
	}()
	select {
	case <-atHomes:
	case <-time.After(homeFindTimeout.Duration()):
	}
	if search.hasAll(wanted) {
		return
	}
	if s.fetchFromPeers(ctx, search, id); !search.hasAll(wanted) {
		<-atHomes
	}
}

// fetchFromPeers asks other gateways for the history of a turn and adds the turns in
// their answer to the search.
func (s *turnStore) fetchFromPeers(ctx context.Context, search *turnSearch, id string) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout.Duration())
	defer cancel()
	for _, turn := range s.addRecords(s.queryPeers(ctx, id)) {
		search.add(turn)
	}
}
