package gateway

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// homeFindTimeout bounds the time without progress of a search in the home partition of
	// a turn, and fullFindTimeout that of a search in all partitions. A partition that is
	// being read proceeds.
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
	// Position is the offset up to which the home has read the partition.
	Position int64 `json:"position,omitempty"`
}

// turnLocation is the place of a turn in the partition of a findTurnsRequest.
type turnLocation struct {
	Turn string `json:"turn"`
	// Places contains the places of all records of the turn, in their order.
	Places []chain.Location `json:"places"`
}

// turnFinder finds turns that the index of this gateway does not have. It asks the
// homes of the partitions, so that a gateway that starts need not read the partitions
// itself: only the homes do, each its own.
type turnFinder struct {
	turns *turnStore
	homes *homeClient
}

// findInHomePartitions looks for turns in their home partitions. It returns nil if each
// of those was read to its end or all turns in it were found.
func (f *turnFinder) findInHomePartitions(ctx context.Context, search *turnSearch, ids []string) error {
	partitions := map[int][]string{}
	for _, id := range ids {
		home := f.turns.homePartition(id)
		partitions[home] = append(partitions[home], id)
	}
	return f.find(ctx, search, partitions, homeFindTimeout)
}

// findInAllPartitions looks for turns in every partition. It returns nil if each of them
// was read to its end or all turns were found in it.
func (f *turnFinder) findInAllPartitions(ctx context.Context, search *turnSearch, ids []string) error {
	partitions := map[int][]string{}
	for i := range f.turns.readers {
		partitions[i] = ids
	}
	return f.find(ctx, search, partitions, fullFindTimeout)
}

// find looks for turns in partitions, which maps each partition to the turns to look for,
// and adds what it finds to the search. timeout bounds the time in which no partition is
// read further until the places of the turns are known, but not the reads of turns that no
// home has sent. It returns the error of one partition that failed; nil if there is none.
func (f *turnFinder) find(ctx context.Context, search *turnSearch, partitions map[int][]string, timeout clock.Millis) error {
	located, err := f.locateAll(ctx, search, partitions, timeout)
	size := bytesToFetch(search, located)
	if size == 0 {
		return err
	}
	if err := search.reservation.raise(ctx, search.textBytes()+size); err != nil {
		return err
	}
	end, busyErr := search.reservation.beginLoad(ctx)
	if busyErr != nil {
		return busyErr
	}
	defer end()
	if fetchErr := f.fetchAll(ctx, search, located); fetchErr != nil {
		err = fetchErr
	}
	return err
}

// fetchAll fetches located turns, from several partitions at the same time. It returns the
// error of one partition that failed; nil if there is none.
func (f *turnFinder) fetchAll(ctx context.Context, search *turnSearch, located []locatedTurns) error {
	var group errgroup.Group
	for _, partition := range located {
		group.Go(func() error { return f.fetch(ctx, search, partition) })
	}
	return group.Wait()
}

// bytesToFetch returns the size of the records of those located turns that the search does
// not have. A turn that is located in several partitions counts once.
func bytesToFetch(search *turnSearch, located []locatedTurns) (size int64) {
	counted := map[string]bool{}
	for _, partition := range located {
		for _, turn := range partition.turns {
			if counted[turn.Turn] || search.hasAll([]string{turn.Turn}) {
				continue
			}
			counted[turn.Turn] = true
			for _, place := range turn.Places {
				size += int64(place.Bytes)
			}
		}
	}
	return size
}

// locateAll looks for turns in partitions concurrently. It adds those to the search that
// the homes have in their indexes, and returns the places of the others.
func (f *turnFinder) locateAll(ctx context.Context, search *turnSearch, partitions map[int][]string, timeout clock.Millis) (located []locatedTurns, err error) {
	type result struct {
		located locatedTurns
		err     error
	}
	results := make(chan result, len(partitions))
	for partition, ids := range partitions {
		go func() {
			located, err := f.findIn(ctx, search, findTurnsRequest{Partition: partition, Turns: ids}, timeout)
			results <- result{located: located, err: err}
		}()
	}
	for range partitions {
		result := <-results
		if result.err != nil {
			err = result.err
			continue
		}
		located = append(located, result.located)
	}
	return located, err
}

// findIn looks for turns in one partition. It adds those to the search that the home has
// in its index, and returns the places of the others. It fails when the home reads nothing
// of the partition for a timeout.
func (f *turnFinder) findIn(ctx context.Context, search *turnSearch, request findTurnsRequest, timeout clock.Millis) (located locatedTurns, err error) {
	ctx, restartTimeout, cancel := withIdleTimeout(ctx, timeout)
	defer cancel()
	reader := f.turns.readers[request.Partition]
	var first firstResult[[]turnLocation]
	err = f.homes.run(ctx, reader.partition, homeOperation{
		local: func(ctx context.Context, progressed func()) error {
			return first.set(f.readWithProgress(ctx, search, request, callBoth(progressed, restartTimeout)))
		},
		remote: func(_ context.Context, call remoteCall, progressed func()) error {
			return first.set(f.ask(call, search, request, callBoth(progressed, restartTimeout)))
		},
	})
	return locatedTurns{reader: reader, turns: first.get()}, err
}

// callBoth returns a function that calls two others.
func callBoth(first, second func()) func() {
	return func() {
		first()
		second()
	}
}

// fetch reads turns of one partition from the store, unless they have been found meanwhile,
// and adds them to the search and the index. It ends with the first one that fails, since a
// partition that does not answer takes the timeout of a call for each.
func (f *turnFinder) fetch(ctx context.Context, search *turnSearch, located locatedTurns) error {
	for _, place := range located.turns {
		if search.hasAll([]string{place.Turn}) {
			continue
		}
		records, err := located.reader.readRecords(ctx, place.Places)
		if err != nil {
			return err
		}
		turn, err := f.turns.addTurn(records)
		if err != nil {
			return errors.Wrapf(err, "turn %q", place.Turn)
		}
		search.add(turn)
	}
	return nil
}

// ask looks for turns at one home, adds those that it sends to the search, and returns the
// places of the others that it knows. It asks again while the home is reading the
// partition, and calls progressed when the home has read some of it.
func (f *turnFinder) ask(call remoteCall, search *turnSearch, request findTurnsRequest, progressed func()) (located []turnLocation, err error) {
	for position := int64(0); ; {
		var reply findTurnsReply
		if err := call(methodFindTurns, request, &reply); err != nil {
			return nil, err
		}
		for _, turn := range f.turns.addRecords(reply.Records) {
			search.add(turn)
		}
		if !reply.Reading || len(reply.Records)+len(reply.Located) >= len(request.Turns) {
			return reply.Located, nil
		}
		if reply.Position > position {
			position = reply.Position
			progressed()
		}
	}
}

// readWithProgress is read, except that it calls progressed about every homeAnswerTime
// while the partition is read.
func (f *turnFinder) readWithProgress(ctx context.Context, search *turnSearch, request findTurnsRequest, progressed func()) (located []turnLocation, err error) {
	reader := f.turns.readers[request.Partition]
	for {
		position := reader.position()
		slice, cancel := context.WithTimeout(ctx, homeAnswerTime.Duration())
		located, err = f.read(slice, search, request)
		isOver := err == nil || slice.Err() == nil || ctx.Err() != nil
		cancel()
		if isOver {
			return located, err
		}
		if reader.position() > position {
			progressed()
		}
	}
}

// read reads the rest of a partition unless the search has all turns or their places are
// known. It returns the known places of turns that the search does not have.
func (f *turnFinder) read(ctx context.Context, search *turnSearch, request findTurnsRequest) (located []turnLocation, err error) {
	found := func() bool {
		return len(f.locate(search, request)) >= len(search.missing(request.Turns))
	}
	if !found() {
		err = f.turns.readers[request.Partition].catchUp(ctx, found)
	}
	return f.locate(search, request), err
}

// locate returns the known places of those turns that the search does not have.
func (f *turnFinder) locate(search *turnSearch, request findTurnsRequest) (located []turnLocation) {
	for _, id := range search.missing(request.Turns) {
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
	search := newTurnSearch(f.turns.index, nil)
	located, err := f.read(ctx, search, request)
	if err != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply, err
	}
	reply = f.reply(search, request, located)
	reply.Reading = err != nil
	reply.Position = f.turns.readers[request.Partition].position()
	return reply, nil
}

// reply returns the turns of the search, up to maxTurnsReplyBytes, and the places of further
// ones beside located. A turn whose place is not known is returned in any case.
func (f *turnFinder) reply(search *turnSearch, request findTurnsRequest, located []turnLocation) findTurnsReply {
	var turns []*chain.Turn
	size := int64(0)
	for _, turn := range search.turns(request.Turns) {
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
