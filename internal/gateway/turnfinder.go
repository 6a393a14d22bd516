package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// homeFindTimeout bounds a search in the home partitions of turns, and
	// fullFindTimeout a search in all partitions.
	homeFindTimeout = 500 * clock.Millis(1)
	fullFindTimeout = 700 * clock.Millis(1)
	// homeAnswerTime is the time after which a home answers even if it is still reading the
	// partition. homeHedgeDelay is how long it may take before a second gateway is asked
	// as well. So only a home that is gone makes a second gateway read the partition.
	homeAnswerTime = 100 * clock.Millis(1)
	homeHedgeDelay = 150 * clock.Millis(1)
	// homeRetryTime is how long the homes of a partition are asked again while none of them
	// answers, with a pause of homeRetryDelay. Gateways that start together need that time
	// until all of them listen.
	homeRetryTime  = 300 * clock.Millis(1)
	homeRetryDelay = 40 * clock.Millis(1)
	// methodFindTurns asks the home of a partition for turns.
	methodFindTurns = "gateway.findTurns"
)

// homeCaller calls the gateway at an address about a partition of which it is the home.
type homeCaller func(ctx context.Context, address, method string, request, reply any) error

// findTurnsRequest asks for turns in one partition.
type findTurnsRequest struct {
	Partition int      `json:"partition"`
	Turns     []string `json:"turns"`
}

// findTurnsReply is the answer to a findTurnsRequest.
type findTurnsReply struct {
	// Records holds the encoded turns that were found.
	Records [][]byte `json:"records,omitempty"`
	// Reading reports that the home is still reading the partition. Otherwise, turns that
	// are missing from Records were not in it when the request arrived.
	Reading bool `json:"reading,omitempty"`
}

// turnFinder looks up turns that the index of this gateway does not have. It asks the
// homes of the partitions, so that a gateway that starts need not read the partitions
// itself: only the homes do, each its own.
type turnFinder struct {
	turns    *turnStore
	homes    *homes.Table
	callHome homeCaller
	log      *zap.Logger
	// hedge asks a second home when the first one is silent. failover is used where this
	// gateway is the first one, and asks the second one only when this one cannot read.
	hedge, failover *hedge
}

func newTurnFinder(turns *turnStore, table *homes.Table, callHome homeCaller, log *zap.Logger) *turnFinder {
	isFinal := func(err error) bool { return err == nil }
	return &turnFinder{turns: turns, homes: table, callHome: callHome, log: log, hedge: newHedge(homeHedgeDelay, isFinal), failover: newHedge(0, isFinal)}
}

// findInHomePartitions looks for turns in their home partitions. It returns nil if each
// of those was read to its end or all turns in it were found.
func (f *turnFinder) findInHomePartitions(ctx context.Context, ids []string) error {
	searches := map[int][]string{}
	for _, id := range ids {
		home := f.turns.homePartition(id)
		searches[home] = append(searches[home], id)
	}
	return f.find(ctx, searches, homeFindTimeout)
}

// findInAllPartitions looks for turns in every partition. It returns nil if each of them
// was read to its end or all turns were found in it.
func (f *turnFinder) findInAllPartitions(ctx context.Context, ids []string) error {
	searches := map[int][]string{}
	for i := range f.turns.readers {
		searches[i] = ids
	}
	return f.find(ctx, searches, fullFindTimeout)
}

// find makes searches, which maps partitions to turns, concurrently. It returns the error
// of one that failed; nil if there is none.
func (f *turnFinder) find(ctx context.Context, searches map[int][]string, timeout clock.Millis) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	results := make(chan error, len(searches))
	for partition, ids := range searches {
		go func() { results <- f.findIn(ctx, findTurnsRequest{Partition: partition, Turns: ids}) }()
	}
	for range searches {
		if result := <-results; result != nil {
			err = result
		}
	}
	return err
}

// findIn looks for turns in one partition. It asks the homes of the partition. It reads
// the partition itself only if none of them answers for homeRetryTime, since all gateways
// would do so at the same time.
func (f *turnFinder) findIn(ctx context.Context, request findTurnsRequest) (err error) {
	f.awaitHomes(ctx)
	giveUpAt := f.turns.clock.Now() + homeRetryTime
	for {
		isHome, err := f.askHomes(ctx, request)
		if err == nil || isHome || ctx.Err() != nil {
			return err
		}
		if f.turns.clock.Now() >= giveUpAt {
			f.log.Info("partition is read without its homes", zap.Int("partition", request.Partition), zap.Error(err))
			return f.read(ctx, request)
		}
		if !clock.Pause(ctx, homeRetryDelay) {
			return err
		}
	}
}

// askHomes asks the homes of a partition once. isHome reports that this gateway is one of
// them.
func (f *turnFinder) askHomes(ctx context.Context, request findTurnsRequest) (isHome bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := f.homes.Candidates(f.turns.readers[request.Partition].partition)
	if len(candidates) == 0 {
		return false, errNoPeer
	}
	var attempts []func() error
	for _, home := range candidates {
		isHome = isHome || home.Address == ""
		attempts = append(attempts, func() error { return f.ask(ctx, home, request) })
	}
	order := f.hedge
	if candidates[0].Address == "" {
		order = f.failover
	}
	return isHome, order.run(ctx, attempts...)
}

// awaitHomes waits until the other gateways are known, but not longer than
// homeHedgeDelay. Without it, each gateway of a deployment that starts would read the
// partitions itself.
func (f *turnFinder) awaitHomes(ctx context.Context) {
	timer := time.NewTimer(homeHedgeDelay.Duration())
	defer timer.Stop()
	select {
	case <-f.homes.Known():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask looks for turns at one home and adds those that it has to the index. It asks again
// while the home is reading the partition.
func (f *turnFinder) ask(ctx context.Context, home homes.Gateway, request findTurnsRequest) error {
	if home.Address == "" {
		return f.read(ctx, request)
	}
	for {
		var reply findTurnsReply
		sentAt := f.turns.clock.Now()
		err := f.callHome(ctx, home.Address, methodFindTurns, request, &reply)
		f.recordHomeResult(home, err, f.turns.clock.Now()-sentAt)
		if err != nil {
			return err
		}
		f.turns.addRecords(reply.Records)
		if !reply.Reading || f.hasAll(request.Turns) {
			return nil
		}
	}
}

// recordHomeResult records whether a home has answered within homeHedgeDelay. A refusal is
// an answer. A home that refuses connections fails at once and costs no time, so it is
// asked again: it may just be starting.
func (f *turnFinder) recordHomeResult(home homes.Gateway, err error, elapsed clock.Millis) {
	var refusal *spool.Refusal
	switch {
	case err == nil || errors.As(err, &refusal):
		f.homes.RecordAnswer(home.Node)
	case elapsed >= homeHedgeDelay:
		f.log.Info("home of a partition does not answer", zap.String("home", string(home.Node)), zap.Int64("elapsedMs", int64(elapsed)), zap.Error(err))
		f.homes.RecordFailure(home.Node)
	}
}

// hasAll reports whether all turns are in the index.
func (f *turnFinder) hasAll(ids []string) bool { return len(f.turns.index.Turns(ids)) == len(ids) }

// read reads the rest of a partition unless all turns are in the index.
func (f *turnFinder) read(ctx context.Context, request findTurnsRequest) error {
	found := func() bool { return f.hasAll(request.Turns) }
	if found() {
		return nil
	}
	return f.turns.readers[request.Partition].catchUp(ctx, found)
}

// answer handles methodFindTurns.
func (f *turnFinder) answer(ctx context.Context, request findTurnsRequest) (reply findTurnsReply, err error) {
	defer func() { err = errors.Wrapf(err, "find turns in partition %d", request.Partition) }()
	if request.Partition < 0 || request.Partition >= len(f.turns.readers) {
		return reply, errors.New("partition does not exist")
	}
	ctx, cancel := context.WithTimeout(ctx, homeAnswerTime.Duration())
	defer cancel()
	err = f.read(ctx, request)
	if err != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply, err
	}
	return findTurnsReply{Records: encodeTurns(f.turns.index.Turns(request.Turns)), Reading: err != nil}, nil
}
