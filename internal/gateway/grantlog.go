package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxBudgetPartitions bounds the number of partitions for budget records. With at
	// most 2, more records share one append. One partition accepts a few hundred appends
	// per second.
	maxBudgetPartitions = 2
	// programLookupTimeout bounds the search for records of a program.
	programLookupTimeout = 150 * clock.Millis(1)
	// grantTimeout bounds the work of a home on one request for a grant.
	grantTimeout = clock.Second
	// grantRetention is how long a home keeps the result of a request, for the gateway
	// that asks again.
	grantRetention = 2 * clock.Second
	// grantEndTimeout bounds the retries of writing the end of a grant. If that record
	// is lost, the whole grant stays charged to the program.
	grantEndTimeout = 20 * clock.Second
	// remoteEndTimeout bounds the call that lets a home write the ends of grants.
	remoteEndTimeout = clock.Second
	// renewalsPerRetention is how often the end of a grant is written within the time for
	// which the store retains a record. More than 2, because a gateway that reads the record
	// anew does not know its age.
	renewalsPerRetention = 4
	// ledgerFreshness is the age of the newest read of a partition up to which its home
	// tells from memory whether a program is known.
	ledgerFreshness = clock.Second
)

// Methods that the home of a partition of budget records serves.
const (
	methodRequestGrant = "gateway.requestGrant"
	methodEndGrants    = "gateway.endGrants"
	methodKnowsProgram = "gateway.knowsProgram"
)

// grantRequest is a spend.Record that requests a grant.
type grantRequest struct {
	Program spool.ProgramID `json:"program"`
	Grant   string          `json:"grant"`
	Need    int64           `json:"need"`
	Want    int64           `json:"want"`
	Budget  int64           `json:"budget"`
}

// record returns the record that the request is written as.
func (r grantRequest) record() spend.Record {
	return spend.Record{Program: r.Program, Grant: r.Grant, Need: r.Need, Want: r.Want, Budget: r.Budget}
}

// grantResult is the result of a request for a grant.
type grantResult struct {
	// Granted is the size of the grant in tokens; 0 if the budget does not cover the
	// tokens that are needed.
	Granted int64 `json:"granted"`
	// Spent reports that the budget does not cover the tokens that are needed even with
	// the records after the request, and that no grant is open.
	Spent bool `json:"spent,omitempty"`
	// OpenGrants are the grants of the program that may contain unused tokens.
	OpenGrants []string `json:"openGrants,omitempty"`
	// Pending reports that the home has no result yet.
	Pending bool `json:"pending,omitempty"`
}

// grantEnds holds encoded end records of one partition.
type grantEnds struct {
	Partition int      `json:"partition"`
	Records   [][]byte `json:"records"`
}

type knowsProgramRequest struct {
	Program spool.ProgramID `json:"program"`
}

type knowsProgramReply struct {
	Known bool `json:"known"`
	// Reading reports that the home is still reading the partition.
	Reading bool `json:"reading,omitempty"`
}

// budgetLedger is the ledger of one partition, with the means to read and write the
// partition.
type budgetLedger struct {
	*spend.Ledger
	index    int
	appender *appender
	reader   *partitionReader
}

// grantLog requests and ends grants in the log. The home of a partition writes the
// records of all gateways and keeps the ledger, so that the others need not read the
// partition. Any gateway may do the same at the same time: the sizes of the grants follow
// from the log alone. A hash of the program's identifier selects the partition for its
// records.
type grantLog struct {
	ctx     context.Context
	clock   clock.Clock
	homes   *homeClient
	ledgers []*budgetLedger
	// logRetention is how long the store retains a record; 0 if that is not known.
	logRetention clock.Millis

	mu sync.Mutex
	// pending holds the requests that this gateway works on as a home, and their results
	// for grantRetention, by the identifier of the grant.
	pending map[string]*pendingGrant
}

// pendingGrant is a request that a home works on. result and err are set before done is
// closed.
type pendingGrant struct {
	done   chan struct{}
	result grantResult
	err    error
}

func newGrantLog(ctx context.Context, store spool.Store, systemClock clock.Clock, settings spool.GatewaySettings, homes *homeClient) *grantLog {
	l := &grantLog{ctx: ctx, clock: systemClock, homes: homes, logRetention: settings.LogRetention, pending: map[string]*pendingGrant{}}
	slots := newReadSlots(maxBudgetPartitions, maxBudgetPartitions)
	for i := range min(settings.Partitions, maxBudgetPartitions) {
		partition := spool.Partition{Topic: spool.TopicBudgets, Index: i}
		ledger := &budgetLedger{Ledger: spend.NewLedger(), index: i}
		ledger.reader = newPartitionReader(ctx, store, systemClock, partition, slots, func(page spool.LogPage) {
			ledger.SkipTo(page.From)
			ledger.Apply(systemClock.Now(), page.From, page.Records)
		})
		ledger.appender = newAppender(ctx, store, partition, settings.MaxAppendBytes, systemClock)
		ledger.appender.onWritten = ledger.reader.applyWritten
		l.ledgers = append(l.ledgers, ledger)
	}
	return l
}

func (l *grantLog) ledgerOf(program spool.ProgramID) *budgetLedger {
	return l.ledgers[xxhash.Sum64String(string(program))%uint64(len(l.ledgers))]
}

// request requests a grant from the home of the program's records.
func (l *grantLog) request(ctx context.Context, record spend.Record) (result grantResult, err error) {
	var first firstResult[grantResult]
	ledger := l.ledgerOf(record.Program)
	request := grantRequest{Program: record.Program, Grant: record.Grant, Need: record.Need, Want: record.Want, Budget: record.Budget}
	err = l.homes.run(ctx, ledger.reader.partition, homeOperation{
		local: func(ctx context.Context, _ func()) error {
			return first.set(l.requestLocally(ctx, record))
		},
		remote: func(_ context.Context, call remoteCall, _ func()) error {
			for {
				var reply grantResult
				if err := call(methodRequestGrant, request, &reply); err != nil || !reply.Pending {
					return first.set(reply, err)
				}
			}
		},
	})
	return first.get(), err
}

// requestLocally writes a request and applies the partition up to it. It writes nothing
// if the records that it knows show that the budget does not cover the request. With the
// request, it writes the ends of earlier grants again that the store may remove.
func (l *grantLog) requestLocally(ctx context.Context, record spend.Record) (result grantResult, err error) {
	ledger := l.ledgerOf(record.Program)
	if ledger.isSpent(record) {
		return grantResult{Spent: true}, nil
	}
	if ledger.appender.isUnavailable() {
		return grantResult{}, errPartitionUnavailable
	}
	ledger.Await(record.Grant)
	defer ledger.CancelAwait(record.Grant)
	if err := ledger.appender.appendAll(ctx, append(l.renewals(ledger, record.Program), record.Encode())); err != nil {
		return grantResult{}, err
	}
	isApplied := func() bool {
		_, ok := ledger.Granted(record.Grant)
		return ok
	}
	for !isApplied() {
		// A failed read is repeated, because the request may be granted already.
		if ledger.reader.catchUp(ctx, isApplied) == nil && isApplied() {
			break
		}
		if !clock.Pause(ctx, appendRetryDelay) {
			return grantResult{}, context.Cause(ctx)
		}
	}
	granted, _ := ledger.Granted(record.Grant)
	return grantResult{Granted: granted, Spent: ledger.isSpent(record), OpenGrants: ledger.OpenGrants(record.Program)}, nil
}

// renewals returns the encoded ends of grants of a program that have to be written again.
func (l *grantLog) renewals(ledger *budgetLedger, program spool.ProgramID) (records [][]byte) {
	if l.logRetention <= 0 {
		return nil
	}
	for _, end := range ledger.Renewals(l.clock.Now(), program, l.logRetention/renewalsPerRetention) {
		records = append(records, end.Encode())
	}
	return records
}

// isSpent reports whether, according to the records read so far, the budget does not
// cover the tokens that record needs and no gateway holds an open grant. Only the end of
// an open grant lowers the total of a program, so the result does not change back.
func (l *budgetLedger) isSpent(record spend.Record) bool {
	return l.Total(record.Program)+record.Need > record.Budget && len(l.OpenGrants(record.Program)) == 0
}

// handlers returns the handlers of the methods that a home serves.
func (l *grantLog) handlers() wire.Mux {
	return wire.Mux{
		methodRequestGrant: wire.Handle(func(_ context.Context, request grantRequest, _ wire.Send) (any, error) {
			return l.answerRequest(request.record())
		}),
		methodEndGrants: wire.Handle(func(ctx context.Context, request grantEnds, _ wire.Send) (any, error) {
			return struct{}{}, l.answerEnds(ctx, request)
		}),
		methodKnowsProgram: wire.Handle(func(ctx context.Context, request knowsProgramRequest, _ wire.Send) (any, error) {
			return l.answerKnows(ctx, request.Program)
		}),
	}
}

// answerRequest handles methodRequestGrant. The work goes on when the answer is that it
// is pending.
func (l *grantLog) answerRequest(record spend.Record) (result grantResult, err error) {
	pending := l.startRequest(record)
	timer := time.NewTimer(homeAnswerTime.Duration())
	defer timer.Stop()
	select {
	case <-pending.done:
		return pending.result, pending.err
	case <-timer.C:
		return grantResult{Pending: true}, nil
	}
}

// startRequest returns the work on a request and starts it unless it has been started.
func (l *grantLog) startRequest(record spend.Record) *pendingGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending := l.pending[record.Grant]; pending != nil {
		return pending
	}
	pending := &pendingGrant{done: make(chan struct{})}
	l.pending[record.Grant] = pending
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout.Duration())
		defer cancel()
		pending.result, pending.err = l.requestLocally(ctx, record)
		close(pending.done)
		time.AfterFunc(grantRetention.Duration(), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.pending, record.Grant)
		})
	}()
	return pending
}

// knows reports whether the log has a record of the program. It returns false if that
// cannot be found out within programLookupTimeout.
func (l *grantLog) knows(ctx context.Context, program spool.ProgramID) bool {
	ctx, cancel := context.WithTimeout(ctx, programLookupTimeout.Duration())
	defer cancel()
	var first firstResult[bool]
	ledger := l.ledgerOf(program)
	// The error is ignored: a program that cannot be looked up is treated as new.
	_ = l.homes.run(ctx, ledger.reader.partition, homeOperation{
		local: func(ctx context.Context, _ func()) error {
			return first.set(ledger.knows(ctx, program))
		},
		remote: func(_ context.Context, call remoteCall, _ func()) error {
			for {
				var reply knowsProgramReply
				if err := call(methodKnowsProgram, knowsProgramRequest{Program: program}, &reply); err != nil || !reply.Reading {
					return first.set(reply.Known, err)
				}
			}
		},
	})
	return first.get()
}

// knows reports whether the partition has a record of the program. It reads the
// partition unless it was read within ledgerFreshness.
func (l *budgetLedger) knows(ctx context.Context, program spool.ProgramID) (known bool, err error) {
	isKnown := func() bool { return l.Known(program) }
	if !isKnown() && !l.reader.wasReadWithin(ledgerFreshness) {
		err = l.reader.catchUp(ctx, isKnown)
	}
	return isKnown(), err
}

// answerKnows handles methodKnowsProgram.
func (l *grantLog) answerKnows(ctx context.Context, program spool.ProgramID) (reply knowsProgramReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, homeAnswerTime.Duration())
	defer cancel()
	known, err := l.ledgerOf(program).knows(ctx, program)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return knowsProgramReply{Known: known, Reading: !known}, nil
	}
	return knowsProgramReply{Known: known}, err
}

// end writes records that end grants. It does not wait for the writes; the returned
// channel is closed when the records are durable or were dropped. The records of a
// partition are sent to its home, or written by this gateway if that fails.
func (l *grantLog) end(records []spend.Record) (written <-chan struct{}) {
	perLedger := map[*budgetLedger][]spend.Record{}
	for _, record := range records {
		ledger := l.ledgerOf(record.Program)
		perLedger[ledger] = append(perLedger[ledger], record)
	}
	var wg sync.WaitGroup
	for ledger, ends := range perLedger {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if l.endAtHome(ledger, ends) {
				return
			}
			for _, record := range l.endLocally(ends) {
				<-record.done
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	return done
}

// endAtHome lets the home of a partition write records that end grants. It returns false
// if this gateway is the home or the home has not confirmed that it has written them. It
// does not use homeClient.run, because a home writes such records up to maxBatchDelay
// later and would be taken for silent.
func (l *grantLog) endAtHome(ledger *budgetLedger, records []spend.Record) bool {
	candidates := l.homes.homes.Candidates(ledger.reader.partition)
	if len(candidates) == 0 || candidates[0].Address == "" {
		return false
	}
	request := grantEnds{Partition: ledger.index}
	for _, record := range records {
		request.Records = append(request.Records, record.Encode())
	}
	ctx, cancel := context.WithTimeout(l.ctx, remoteEndTimeout.Duration())
	defer cancel()
	return l.homes.call(ctx, candidates[0].Address, methodEndGrants, request, &struct{}{}) == nil
}

// answerEnds handles methodEndGrants. It returns when the records are durable.
func (l *grantLog) answerEnds(ctx context.Context, request grantEnds) error {
	if request.Partition < 0 || request.Partition >= len(l.ledgers) {
		return errors.Errorf("partition %d does not exist", request.Partition)
	}
	var pending []*pendingRecord
	for _, data := range request.Records {
		if record, err := spend.Decode(data); err != nil || !record.End {
			return errors.New("record does not end a grant")
		}
		pending = append(pending, l.ledgers[request.Partition].appender.appendDeferred(ctx, data))
	}
	for _, record := range pending {
		if _, err := record.wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// endLocally queues records that end grants. A record is dropped if it cannot be written
// within grantEndTimeout.
func (l *grantLog) endLocally(records []spend.Record) (pending []*pendingRecord) {
	for _, record := range records {
		ctx, cancel := context.WithTimeout(l.ctx, grantEndTimeout.Duration())
		context.AfterFunc(ctx, cancel)
		pending = append(pending, l.ledgerOf(record.Program).appender.appendDeferred(ctx, record.Encode()))
	}
	return pending
}

// write writes records and waits until they are durable.
func (l *grantLog) write(ctx context.Context, records []spend.Record) error {
	for _, record := range records {
		if _, err := l.ledgerOf(record.Program).appender.append(ctx, record.Encode()); err != nil {
			return err
		}
	}
	return nil
}

// drain waits until all queued records are written or ctx ends.
func (l *grantLog) drain(ctx context.Context) {
	for _, ledger := range l.ledgers {
		ledger.appender.drain(ctx)
	}
}

// expire removes the programs without a recent record from the ledgers.
func (l *grantLog) expire(now clock.Millis) {
	for _, ledger := range l.ledgers {
		ledger.Expire(now)
	}
}
