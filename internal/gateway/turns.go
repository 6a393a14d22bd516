package gateway

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of turns.
var (
	errNoTurn        = errors.New("turn does not exist")
	errTurnUncertain = errors.New("store cannot tell whether the turn exists")
)

const (
	// turnTry is the time after which a turn's record goes to another partition as
	// well.
	turnTry = 250 * clock.Millis(1)
	// turnRead bounds one read of a partition.
	turnRead = 700 * clock.Millis(1)
)

// turnStore keeps turns in the partitions of a topic. A turn belongs to the
// partition of its identifier, but while that one cannot be written it goes to any
// other: a turn is known by its identifier, wherever it is, and a second copy does
// no harm.
type turnStore struct {
	store     spool.Store
	clock     clock.Clock
	index     *chain.Index
	appenders []*appender
	readers   []*turnReader
}

// turnReader reads one partition up to its end when a turn is looked for.
type turnReader struct {
	mu   sync.Mutex
	next int64
}

func newTurnStore(ctx context.Context, store spool.Store, system clock.Clock, settings spool.GatewaySettings) *turnStore {
	s := &turnStore{store: store, clock: system, index: chain.NewIndex()}
	for i := range settings.Partitions {
		partition := spool.Partition{Topic: spool.TopicTurns, Index: i}
		s.appenders = append(s.appenders, newAppender(ctx, store, partition, settings.MaxAppendBytes, system))
		s.readers = append(s.readers, &turnReader{})
	}
	return s
}

func (s *turnStore) home(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(s.appenders)))
}

// keep writes a turn to the store and returns when it is durable.
func (s *turnStore) keep(ctx context.Context, turn *chain.Turn) (err error) {
	defer func() { err = errors.Wrapf(err, "keep turn %q", turn.ID) }()
	record := turn.Encode()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(s.appenders))
	home, started := s.home(turn.ID), 0
	start := func() {
		partition := s.appenders[(home+started)%len(s.appenders)]
		started++
		go func() {
			_, err := partition.append(ctx, record)
			results <- err
		}()
	}
	start()
	for {
		wait, stop := context.WithTimeout(ctx, turnTry.Duration())
		select {
		case err := <-results:
			stop()
			if err != nil {
				return err
			}
			s.index.Add(s.clock.Now(), turn)
			return nil
		case <-wait.Done():
			stop()
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if started < len(s.appenders) {
			start()
		}
	}
}

// line returns the turns that a successor of id continues. It fails with errNoTurn
// only when every partition has been read to its end.
func (s *turnStore) line(ctx context.Context, account spool.AccountID, id string) (line []*chain.Turn, err error) {
	line, missing := s.index.Line(id)
	if len(missing) > 0 {
		line, err = s.find(ctx, id, missing)
	}
	if err != nil {
		return nil, err
	}
	if line[len(line)-1].Account != account {
		return nil, errNoTurn
	}
	return line, nil
}

func (s *turnStore) find(ctx context.Context, id string, missing []string) (line []*chain.Turn, err error) {
	// The second round finds the earlier turns that the first one named.
	for range 2 {
		homes := map[int]bool{}
		for _, turn := range missing {
			homes[s.home(turn)] = true
		}
		if err := s.read(ctx, homes); err != nil {
			break
		}
		if line, missing = s.index.Line(id); len(missing) == 0 {
			return line, nil
		}
	}
	all := map[int]bool{}
	for i := range s.readers {
		all[i] = true
	}
	failed := s.read(ctx, all)
	if line, missing = s.index.Line(id); len(missing) == 0 {
		return line, nil
	}
	if failed != nil {
		return nil, errors.Wrap(errTurnUncertain, failed.Error())
	}
	return nil, errNoTurn
}

// read brings partitions up to their ends, side by side.
func (s *turnStore) read(ctx context.Context, partitions map[int]bool) error {
	results := make(chan error, len(partitions))
	for i := range partitions {
		go func() { results <- s.readers[i].catchUp(ctx, s, i) }()
	}
	var failed error
	for range partitions {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// catchUp reads a partition until its end, as the end stands during the call.
func (r *turnReader) catchUp(ctx context.Context, s *turnStore, index int) error {
	ctx, cancel := context.WithTimeout(ctx, turnRead.Duration())
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		page, err := s.store.Read(ctx, spool.Partition{Topic: spool.TopicTurns, Index: index}, r.next, 0)
		if errors.Is(err, spool.ErrTrimmed) && page.First > r.next {
			r.next = page.First
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			if turn, err := chain.Decode(record); err == nil {
				s.index.Add(s.clock.Now(), turn)
			}
		}
		r.next += int64(len(page.Records))
		if r.next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}
