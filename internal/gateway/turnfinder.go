package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// homeFindTimeout bounds a search in the home partitions of turns, and
	// fullFindTimeout a search in all partitions.
	homeFindTimeout = 500 * clock.Millis(1)
	fullFindTimeout = 700 * clock.Millis(1)
	// methodFindTurns asks the home of a partition for turns.
	methodFindTurns = "gateway.findTurns"
)

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
	turns *turnStore
	homes *homeClient
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

// findIn looks for turns in one partition.
func (f *turnFinder) findIn(ctx context.Context, request findTurnsRequest) (err error) {
	partition := f.turns.readers[request.Partition].partition
	return f.homes.run(ctx, partition, func(ctx context.Context) error {
		return f.read(ctx, request)
	}, func(_ context.Context, call remoteCall) error {
		return f.ask(call, request)
	})
}

// ask looks for turns at one home and adds those that it has to the index. It asks again
// while the home is reading the partition.
func (f *turnFinder) ask(call remoteCall, request findTurnsRequest) error {
	for {
		var reply findTurnsReply
		if err := call(methodFindTurns, request, &reply); err != nil {
			return err
		}
		f.turns.addRecords(reply.Records)
		if !reply.Reading || f.hasAll(request.Turns) {
			return nil
		}
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
