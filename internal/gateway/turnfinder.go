package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/chain"
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
	// Records holds the encoded turns that the home has in its index.
	Records [][]byte `json:"records,omitempty"`
	// Located holds the places of further turns, which the home has read earlier.
	Located []turnLocation `json:"located,omitempty"`
	// Reading reports that the home is still reading the partition. Otherwise, turns that
	// are in neither list were not in it when the request arrived.
	Reading bool `json:"reading,omitempty"`
}

// turnLocation is the place of a turn in the partition of a findTurnsRequest.
type turnLocation struct {
	Turn string `json:"turn"`
	chain.Location
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

// findIn looks for turns in one partition and adds them to the index. It reads those
// from the store of which the home knows only the place.
func (f *turnFinder) findIn(ctx context.Context, request findTurnsRequest) (err error) {
	reader := f.turns.readers[request.Partition]
	var located firstResult[[]turnLocation]
	err = f.homes.run(ctx, reader.partition, func(ctx context.Context) error {
		return located.set(f.read(ctx, request))
	}, func(_ context.Context, call remoteCall) error {
		return located.set(f.ask(call, request))
	})
	if err != nil {
		return err
	}
	for _, turn := range located.get() {
		if f.hasAll([]string{turn.Turn}) {
			continue
		}
		record, err := reader.readRecord(ctx, turn.Location)
		if err != nil {
			return err
		}
		f.turns.addRecords([][]byte{record})
	}
	return nil
}

// ask looks for turns at one home, adds those that it has to the index, and returns the
// places of the others that it knows. It asks again while the home is reading the
// partition.
func (f *turnFinder) ask(call remoteCall, request findTurnsRequest) (located []turnLocation, err error) {
	for {
		var reply findTurnsReply
		if err := call(methodFindTurns, request, &reply); err != nil {
			return nil, err
		}
		f.turns.addRecords(reply.Records)
		if !reply.Reading || len(reply.Records)+len(reply.Located) >= len(request.Turns) {
			return reply.Located, nil
		}
	}
}

// hasAll reports whether all turns are in the index.
func (f *turnFinder) hasAll(ids []string) bool { return len(f.turns.index.Turns(ids)) == len(ids) }

// read reads the rest of a partition unless all turns are in the index or their places
// are known. It returns the known places of turns that are not in the index.
func (f *turnFinder) read(ctx context.Context, request findTurnsRequest) (located []turnLocation, err error) {
	found := func() bool {
		located = f.locate(request)
		return len(located)+len(f.turns.index.Turns(request.Turns)) >= len(request.Turns)
	}
	if found() {
		return located, nil
	}
	err = f.turns.readers[request.Partition].catchUp(ctx, found)
	return f.locate(request), err
}

// locate returns the known places of those turns that are not in the index.
func (f *turnFinder) locate(request findTurnsRequest) (located []turnLocation) {
	for _, id := range request.Turns {
		if f.hasAll([]string{id}) {
			continue
		}
		if place, ok := f.turns.locations[request.Partition].Find(id); ok {
			located = append(located, turnLocation{Turn: id, Location: place})
		}
	}
	return located
}

// answer handles methodFindTurns.
func (f *turnFinder) answer(ctx context.Context, request findTurnsRequest) (reply findTurnsReply, err error) {
	defer func() { err = errors.Wrapf(err, "find turns in partition %d", request.Partition) }()
	if request.Partition < 0 || request.Partition >= len(f.turns.readers) {
		return reply, errors.New("partition does not exist")
	}
	ctx, cancel := context.WithTimeout(ctx, homeAnswerTime.Duration())
	defer cancel()
	located, err := f.read(ctx, request)
	if err != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply, err
	}
	return findTurnsReply{Records: encodeTurns(f.turns.index.Turns(request.Turns)), Located: located, Reading: err != nil}, nil
}
