package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// history returns the turn id preceded by all earlier turns that it continues, and raises
// the reservation to their size. It fails with errNoTurn if id belongs to another account or
// does not exist, with errTurnUncertain if that is not certain or an earlier turn was not
// found, and with errHistoriesBusy if the reservation was not granted.
func (s *turnStore) history(ctx context.Context, account spool.AccountID, id string, reservation *historyReservation) (turns []*chain.Turn, err error) {
	defer func() { err = errors.Wrapf(err, "history of turn %q", id) }()
	search := newTurnSearch(s.index, reservation)
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
	turns = append(search.turns(last.History), last)
	return turns, reservation.raise(ctx, textBytes(turns))
}

// lookUp looks for turns in the index, in their home partitions, at other gateways that may
// have served the turn id, and in all partitions, until search has all of them. It fails
// with errNoTurn if it has read all partitions and some turn is in none of them, and with
// errTurnUncertain if some partition could not be read.
func (s *turnStore) lookUp(ctx context.Context, search *turnSearch, id string, wanted []string) error {
	if search.hasAll(wanted) {
		return nil
	}
	err := s.findAtHomesOrPeers(ctx, search, id, wanted)
	if !search.hasAll(wanted) && !errors.Is(err, errHistoriesBusy) {
		err = s.finder.findInAllPartitions(ctx, search, search.missing(wanted))
	}
	switch {
	case search.hasAll(wanted):
		return nil
	case errors.Is(err, errHistoriesBusy):
		return err
	case err != nil:
		return errors.Wrap(errTurnUncertain, err.Error())
	default:
		return errNoTurn
	}
}

// findAtHomesOrPeers looks for turns in their home partitions. When that has failed, or has
// lasted for homeFindTimeout, it also asks other gateways that may have served the turn id.
// It returns the error of the home partitions. A turn that was not found may be in any other
// partition.
func (s *turnStore) findAtHomesOrPeers(ctx context.Context, search *turnSearch, id string, wanted []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peersAsked := make(chan struct{})
	askPeers := time.AfterFunc(homeFindTimeout.Duration(), func() {
		defer close(peersAsked)
		if s.fetchFromPeers(ctx, search, id); search.hasAll(wanted) {
			cancel()
		}
	})
	err := s.finder.findInHomePartitions(ctx, search, search.missing(wanted))
	switch {
	case !askPeers.Stop():
		<-peersAsked
	case !search.hasAll(wanted):
		s.fetchFromPeers(ctx, search, id)
	}
	return err
}
