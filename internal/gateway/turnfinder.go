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
	// maxTurnsReplyBytes bounds the turns in one answer to another gateway, which can read
	// larger ones from the store.
	maxTurnsReplyBytes = 512 << 10
	// methodFindTurns asks the home of a partition for turns.
	methodFindTurns = "gateway.findTurns"
)

// findTurnsRequest asks for turns in one partition.
type findTurnsRequest struct {
	Partition int      `json:"partition"`
	Turns     []string `json:"turns"`
}

// locatedTurns holds turns whose records have to be read from the partition of a reader.
type locatedTurns struct {
	reader *partitionReader
	turns  []turnLocation
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
	// Places contains the places of all records of the turn, in their order.
	Places []chain.Location `json:"places"`
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

// find makes searches, which maps partitions to turns, concurrently, and adds what it
// finds to the index. timeout bounds the searches, but not the reads of turns that are not
// at a home. It returns the error of one search that failed; nil if there is none.
func (f *turnFinder) find(ctx context.Context, searches map[int][]string, timeout clock.Millis) (err error) {
	searchCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	type result struct {
		located locatedTurns
		err     error
	}
	results := make(chan result, len(searches))
	for partition, ids := range searches {
		go func() {
			located, err := f.findIn(searchCtx, findTurnsRequest{Partition: partition, Turns: ids})
			results <- result{located: located, err: err}
		}()
	}
	for range searches {
		result := <-results
		if result.err == nil {
			result.err = f.fetch(ctx, result.located)
		}
		if result.err != nil {
			err = result.err
		}
	}
	return err
}

// findIn looks for turns in one partition. It adds those to the index that the home has in
// its own, and returns the places of the others.
func (f *turnFinder) findIn(ctx context.Context, request findTurnsRequest) (located locatedTurns, err error) {
	reader := f.turns.readers[request.Partition]
	var first firstResult[[]turnLocation]
	err = f.homes.run(ctx, reader.partition, func(ctx context.Context) error {
		return first.set(f.read(ctx, request))
	}, func(_ context.Context, call remoteCall) error {
		return first.set(f.ask(call, request))
	})
	return locatedTurns{reader: reader, turns: first.get()}, err
}

// fetch reads turns from the store, unless they are in the index, and adds them to it.
func (f *turnFinder) fetch(ctx context.Context, located locatedTurns) error {
	for _, turn := range located.turns {
		if f.hasAll([]string{turn.Turn}) {
			continue
		}
		records, err := located.reader.readRecords(ctx, turn.Places)
		if err != nil {
			return err
		}
		if err := f.turns.addTurn(records); err != nil {
			return errors.Wrapf(err, "turn %q", turn.Turn)
		}
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
		return len(f.locate(request))+len(f.turns.index.Turns(request.Turns)) >= len(request.Turns)
	}
	if !found() {
		err = f.turns.readers[request.Partition].catchUp(ctx, found)
	}
	return f.locate(request), err
}

// locate returns the known places of those turns that are not in the index.
func (f *turnFinder) locate(request findTurnsRequest) (located []turnLocation) {
	for _, id := range request.Turns {
		if f.hasAll([]string{id}) {
			continue
		}
		if places := f.turns.locations[request.Partition].Find(id); len(places) > 0 {
			located = append(located, turnLocation{Turn: id, Places: places})
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
	reply = f.reply(request, located)
	reply.Reading = err != nil
	return reply, nil
}

// reply returns the turns of the index, up to maxTurnsReplyBytes, and the places of further
// ones beside located. A turn whose place is not known is returned in any case.
func (f *turnFinder) reply(request findTurnsRequest, located []turnLocation) findTurnsReply {
	var turns []*chain.Turn
	size := int64(0)
	for _, turn := range f.turns.index.Turns(request.Turns) {
		places := f.turns.locations[request.Partition].Find(turn.ID)
		if size+turn.TextBytes() > maxTurnsReplyBytes && len(places) > 0 {
			located = append(located, turnLocation{Turn: turn.ID, Places: places})
			continue
		}
		size += turn.TextBytes()
		turns = append(turns, turn)
	}
	return findTurnsReply{Records: encodeTurns(turns), Located: located}
}
