package gateway

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of stored turns.
var (
	// errNoTurn means that the turn does not exist, or not for this account.
	// errTurnUncertain means that the turn was not found and that some partition could
	// not be read.
	errNoTurn        = errors.New("turn does not exist")
	errTurnUncertain = errors.New("store cannot tell whether the turn exists")
)

const (
	// partitionHedgeDelay is how long the write of a turn may take in one partition
	// before the turn is also written to the next one.
	partitionHedgeDelay = 250 * clock.Millis(1)
	// maxTurnRecordBytes bounds the size of a record of a turn. A longer turn is divided into
	// records, each of which fits into a page.
	maxTurnRecordBytes = 96 << 10
	// slowestLinkBytes is the number of bytes per millisecond that the slowest VM sends.
	slowestLinkBytes = 3750
	// peerQueryTimeout bounds the query to gateways that may have served the turn.
	peerQueryTimeout = 150 * clock.Millis(1)
	// methodTurns asks a gateway for a turn and all earlier turns that it continues.
	methodTurns = "gateway.turns"
	// maxQueriedPeers bounds the number of gateways that are queried for one turn.
	maxQueriedPeers = 12
	// maxTurnReads bounds the pages of turns that a gateway reads at the same time. With
	// maxPageBytes, a VM with the slowest link receives them within half a second.
	maxTurnReads = 3
)

// turnStore stores turns in the partitions of a topic. A hash of the identifier selects
// the home partition of a turn. If that partition cannot be written in time, the turn
// is written to others. A turn may therefore be in any partition, and in more than one.
type turnStore struct {
	clock     clock.Clock
	index     *chain.Index
	appenders []*appender
	readers   []*partitionReader
	// locations contains, by partition, the places of the turns that readers have read.
	locations []*chain.Locations
	finder    *turnFinder
	// recordBytes bounds the size of a record.
	recordBytes int
	// logRetention is how long the store retains a record; 0 if that is not known.
	logRetention clock.Millis
	// queryPeers asks other gateways for a turn and all earlier turns that it
	// continues. It returns their encoded records; nil if no gateway has all of them.
	queryPeers func(ctx context.Context, turn string) [][]byte
}

func newTurnStore(ctx context.Context, store spool.Store, systemClock clock.Clock, settings spool.GatewaySettings, homes *homeClient, queryPeers func(ctx context.Context, turn string) [][]byte) *turnStore {
	memory := newMemoryShares(settings.MemoryMB)
	s := &turnStore{clock: systemClock, index: chain.NewIndex(memory.indexBytes()), queryPeers: queryPeers, logRetention: settings.LogRetention, recordBytes: maxTurnRecordBytes}
	if settings.MaxRecordBytes > 0 {
		s.recordBytes = min(s.recordBytes, settings.MaxRecordBytes)
	}
	slots := semaphore.NewWeighted(maxTurnReads)
	for i := range settings.Partitions {
		partition := spool.Partition{Topic: spool.TopicTurns, Index: i}
		s.appenders = append(s.appenders, newAppender(ctx, store, partition, settings.MaxAppendBytes, systemClock))
		locations := chain.NewLocations()
		s.locations = append(s.locations, locations)
		s.readers = append(s.readers, newPartitionReader(ctx, store, systemClock, partition, slots, func(page spool.LogPage) {
			s.addRecords(page.Records)
			locate(locations, page)
		}))
	}
	s.finder = &turnFinder{turns: s, homes: homes}
	return s
}

// locate records the places of the turns in a page.
func locate(locations *chain.Locations, page spool.LogPage) {
	for i, record := range page.Records {
		locations.Add(page.From+int64(i), record)
	}
	locations.Trim(page.First)
}

// addRecords adds encoded turns to the index. It ignores records that are not whole turns.
func (s *turnStore) addRecords(records [][]byte) {
	for _, record := range records {
		// The error is ignored: such a record is not a turn, or a part of one.
		_ = s.addTurn([][]byte{record})
	}
}

// addTurn adds the turn that consists of all of the records to the index.
func (s *turnStore) addTurn(records [][]byte) error {
	turn, err := chain.DecodeRecords(records)
	if err == nil {
		s.index.Add(s.clock.Now(), turn)
	}
	return err
}

// homePartition returns the index of the partition that a turn is written to first.
func (s *turnStore) homePartition(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(s.appenders)))
}

// append writes a turn that continues history and returns when it is durable. Those turns
// of history that the store may remove before the new one are written again, because a
// turn is retained together with its chain.
func (s *turnStore) append(ctx context.Context, turn *chain.Turn, history []*chain.Turn) (err error) {
	defer func() { err = errors.Wrapf(err, "store turn %q", turn.ID) }()
	renewals := s.renewalsOf(turn, history)
	if len(renewals) == 0 {
		return s.write(ctx, turn)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, record := range append(renewals, turn) {
		group.Go(func() error { return s.write(ctx, record) })
	}
	return group.Wait()
}

// renewalsOf returns copies, to be written with turn, of those turns of its history that
// the store may remove before it.
func (s *turnStore) renewalsOf(turn *chain.Turn, history []*chain.Turn) (renewals []*chain.Turn) {
	if s.logRetention <= 0 {
		return nil
	}
	for _, earlier := range history {
		if !turn.OutlivesRecord(earlier, s.logRetention) {
			continue
		}
		renewed := *earlier
		renewed.WrittenAt = turn.WrittenAt
		renewals = append(renewals, &renewed)
	}
	return renewals
}

// write writes a turn and returns when it is durable. It starts with the first partition
// of writeOrder and adds the next one after each partitionHedgeDelay, plus the time that
// the turn takes on the slowest link, without success. On success, it adds the turn to the
// index.
func (s *turnStore) write(ctx context.Context, turn *chain.Turn) error {
	records := turn.EncodeRecords(s.recordBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var attempts []func() error
	for _, target := range s.writeOrder(turn.ID) {
		attempts = append(attempts, func() error { return target.appendAll(ctx, records) })
	}
	delay := partitionHedgeDelay + clock.Millis(turn.TextBytes()/slowestLinkBytes)
	// An appender repeats a failed write itself, so that each result is final.
	isFinal := func(error) bool { return true }
	if err := newHedge(delay, isFinal).run(ctx, attempts...); err != nil {
		return err
	}
	s.index.Add(s.clock.Now(), turn)
	return nil
}

// writeOrder returns the partitions in the order in which a turn is written to them:
// the home partition and those after it, except that partitions whose last append
// failed come last.
func (s *turnStore) writeOrder(id string) (order []*appender) {
	home := s.homePartition(id)
	var failing []*appender
	for i := range s.appenders {
		partition := s.appenders[(home+i)%len(s.appenders)]
		if partition.isFailing() {
			failing = append(failing, partition)
			continue
		}
		order = append(order, partition)
	}
	return append(order, failing...)
}

// history returns the turn id preceded by all earlier turns that it continues. It fails
// with errNoTurn if id belongs to another account or does not exist, and with
// errTurnUncertain if that is not certain or an earlier turn was not found.
func (s *turnStore) history(ctx context.Context, account spool.AccountID, id string) (turns []*chain.Turn, err error) {
	turns, missing := s.index.History(id)
	if len(missing) > 0 {
		turns, err = s.findHistory(ctx, id, missing)
	}
	if err != nil {
		return nil, err
	}
	if turns[len(turns)-1].Account != account {
		return nil, errNoTurn
	}
	return turns, nil
}

// findHistory looks for the missing turns until all are in the index. The first round
// looks for the turn id itself if that is missing. The turn names all turns before it, so
// that the second round looks for all the others.
func (s *turnStore) findHistory(ctx context.Context, id string, missing []string) (turns []*chain.Turn, err error) {
	for range 2 {
		wanted := missing
		searchErr := s.search(ctx, id, wanted)
		if turns, missing = s.index.History(id); len(missing) == 0 {
			return turns, nil
		}
		if searchErr != nil {
			return nil, errors.Wrap(errTurnUncertain, searchErr.Error())
		}
		if !s.finder.hasAll(wanted) {
			return nil, s.notFound(turns)
		}
	}
	return nil, errTurnUncertain
}

// notFound returns the error of a search that has read all partitions. found contains the
// turns that it has found, the last one of the chain at its end. A turn that is retained
// exists even if an earlier one is missing.
func (s *turnStore) notFound(found []*chain.Turn) error {
	if len(found) > 0 && found[len(found)-1].IsRetained(s.clock.Now()) {
		return errors.Wrap(errTurnUncertain, "an earlier turn is missing")
	}
	return errNoTurn
}

// search looks for turns in their home partitions, then at other gateways that may have
// served the turn id, then in all partitions, until all are in the index. It fails if a
// turn was not found and some partition could not be read.
func (s *turnStore) search(ctx context.Context, id string, wanted []string) error {
	if err := s.finder.findInHomePartitions(ctx, wanted); err == nil && s.finder.hasAll(wanted) {
		return nil
	}
	s.fetchFromPeers(ctx, id)
	if s.finder.hasAll(wanted) {
		return nil
	}
	return s.finder.findInAllPartitions(ctx, wanted)
}

// fetchFromPeers asks other gateways for the history of a turn and adds the turns in
// their answer to the index.
func (s *turnStore) fetchFromPeers(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout.Duration())
	defer cancel()
	s.addRecords(s.queryPeers(ctx, id))
}

type turnsRequest struct {
	Turn string `json:"turn"`
}

type turnsReply struct {
	// Records holds the encoded turn and all earlier turns that it continues. It is
	// empty if the answering gateway does not have all of them in its index, or they
	// exceed maxTurnsReplyBytes.
	Records [][]byte `json:"records,omitempty"`
}

// handlers returns the handlers of methodTurns, which is answered from the index without
// a call to the store, and of methodFindTurns.
func (s *turnStore) handlers() wire.Mux {
	return wire.Mux{
		methodTurns: wire.Handle(func(_ context.Context, request turnsRequest, _ wire.Send) (any, error) {
			var reply turnsReply
			turns, missing := s.index.History(request.Turn)
			if len(missing) > 0 || textBytes(turns) > maxTurnsReplyBytes {
				return reply, nil
			}
			reply.Records = encodeTurns(turns)
			return reply, nil
		}),
		methodFindTurns: wire.Handle(func(ctx context.Context, request findTurnsRequest, _ wire.Send) (any, error) {
			return s.finder.answer(ctx, request)
		}),
	}
}

// textBytes returns the size of the inputs and outputs of turns, in bytes.
func textBytes(turns []*chain.Turn) (size int64) {
	for _, turn := range turns {
		size += turn.TextBytes()
	}
	return size
}

func encodeTurns(turns []*chain.Turn) (records [][]byte) {
	for _, turn := range turns {
		records = append(records, turn.Encode())
	}
	return records
}
