package gateway

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/baobabspool/baobabspool/internal/telemetry"
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
	// minTurnReads and maxTurnReads are the lowest and the highest bound of the pages of turns
	// that a gateway reads at the same time. With maxPageBytes, a VM with the slowest link
	// receives them within half a second.
	minTurnReads = 3
	maxTurnReads = 12
)

// turnStore stores turns in the partitions of a topic. A hash of the identifier selects
// the home partition of a turn. If that partition cannot be written in time, the turn
// is written to others. A turn may therefore be in any partition, and in more than one.
type turnStore struct {
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	index     *chain.Index
	appenders []*appender
	readers   []*partitionReader
	// locations contains, by partition, the places of the turns that readers have read.
	locations []*chain.Locations
	finder    *turnFinder
	// memory bounds the histories of the requests in flight.
	memory *historyMemory
	// recordBytes bounds the size of a record.
	recordBytes int
	// logRetention is how long the store retains a record; 0 if that is not known.
	logRetention clock.Millis
	// queryPeers asks other gateways for a turn and all earlier turns that it
	// continues. It returns their encoded records; nil if no gateway has all of them.
	queryPeers func(ctx context.Context, turn string) [][]byte
}

func newTurnStore(ctx context.Context, store spool.Store, systemClock clock.Clock, settings spool.GatewaySettings, t *telemetry.Telemetry, homes *homeClient, queryPeers func(ctx context.Context, turn string) [][]byte) *turnStore {
	shares := newMemoryShares(settings.MemoryMB)
	s := &turnStore{
		clock: systemClock, telemetry: t, index: chain.NewIndex(shares.indexBytes()), memory: newHistoryMemory(shares.historyBytes()),
		queryPeers: queryPeers, logRetention: settings.LogRetention, recordBytes: maxTurnRecordBytes,
	}
	if settings.MaxRecordBytes > 0 {
		s.recordBytes = min(s.recordBytes, settings.MaxRecordBytes)
	}
	slots := newReadSlots(minTurnReads, maxTurnReads)
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

// addRecords adds encoded turns to the index and returns them. It ignores records that are
// not whole turns.
func (s *turnStore) addRecords(records [][]byte) (turns []*chain.Turn) {
	for _, record := range records {
		// The error is ignored: such a record is not a turn, or a part of one.
		if turn, err := s.addTurn([][]byte{record}); err == nil {
			turns = append(turns, turn)
		}
	}
	return turns
}

// addTurn adds the turn that consists of all of the records to the index and returns it.
func (s *turnStore) addTurn(records [][]byte) (turn *chain.Turn, err error) {
	turn, err = chain.DecodeRecords(records)
	if err == nil {
		s.addToIndex(turn)
	}
	return turn, err
}

// addToIndex adds a turn to the index and counts those that leave it for lack of room.
func (s *turnStore) addToIndex(turn *chain.Turn) {
	if evicted := s.index.Add(s.clock.Now(), turn); evicted > 0 {
		s.telemetry.CountEvents("turnEvicted", int64(evicted))
	}
}

// homePartition returns the index of the partition that a turn is written to first.
func (s *turnStore) homePartition(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(s.appenders)))
}

// append writes a turn and returns when it is durable. renewable contains those turns of its
// history that may have to be written again with it, because a turn is retained together
// with its chain.
func (s *turnStore) append(ctx context.Context, turn *chain.Turn, renewable []*chain.Turn) (err error) {
	defer func() { err = errors.Wrapf(err, "store turn %q", turn.ID) }()
	renewals := s.renewalsOf(turn, renewable)
	if len(renewals) == 0 {
		return s.write(ctx, turn)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, record := range append(renewals, turn) {
		group.Go(func() error { return s.write(ctx, record) })
	}
	return group.Wait()
}

// renewalsOf returns copies, to be written with turn, of those turns that the store may
// remove before it.
func (s *turnStore) renewalsOf(turn *chain.Turn, history []*chain.Turn) (renewals []*chain.Turn) {
	for _, earlier := range s.renewable(history, turn.WrittenAt, turn.Retention) {
		renewed := *earlier
		renewed.WrittenAt = turn.WrittenAt
		renewals = append(renewals, &renewed)
	}
	return renewals
}

// renewable returns those turns of a history that the store may remove before a turn that
// continues it and is written at a time.
func (s *turnStore) renewable(history []*chain.Turn, writtenAt, retention clock.Millis) (renewable []*chain.Turn) {
	if s.logRetention <= 0 {
		return nil
	}
	next := &chain.Turn{WrittenAt: writtenAt, Retention: retention}
	for _, earlier := range history {
		if next.OutlivesRecord(earlier, s.logRetention) {
			renewable = append(renewable, earlier)
		}
	}
	return renewable
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
	s.addToIndex(turn)
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
