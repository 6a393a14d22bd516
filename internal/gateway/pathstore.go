package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// methodStore asks a gateway to make a store call for the sender.
	methodStore = "gateway.store"
	// relayedStoreTimeout bounds a store call through another gateway.
	relayedStoreTimeout = 500 * clock.Millis(1)
	// hedgeDelay is how long a call over one path may take before it is also sent over
	// the other path. The store usually answers within a few milliseconds.
	hedgeDelay = 150 * clock.Millis(1)
	// maxHedgedCalls bounds the calls that a gateway sends over the second path only
	// because the first one is slow. When every call is slow, the store or the network is
	// overloaded, and second copies would make that worse.
	maxHedgedCalls = 4
)

// errNoPeer means that there is no gateway to call: no other gateway is known, or none
// with the requested incarnation.
var errNoPeer = errors.New("no other gateway is known")

// pathStore makes store calls directly or through another gateway, because the store
// may be unreachable for individual VMs only. A slow call is sent over both paths, so
// any record may be written twice.
type pathStore struct {
	direct spool.Store
	health *storeHealth
	// callPeer calls one other gateway.
	callPeer func(ctx context.Context, method string, request, reply any) error

	telemetry *telemetry.Telemetry
	// hedge runs a small call over both paths. failover does so for a call whose answer
	// may be large: it uses the second path only after the first one has failed.
	hedge, failover *hedge

	mu sync.Mutex
	// directFailing reports whether the last direct call got no answer from the store.
	// Reads of the operator topic always use the direct path and detect when the store
	// answers again.
	directFailing bool
}

var _ spool.Store = (*pathStore)(nil)

func newPathStore(direct spool.Store, health *storeHealth, callPeer func(ctx context.Context, method string, request, reply any) error, t *telemetry.Telemetry) *pathStore {
	return &pathStore{
		telemetry: t, direct: direct, health: health, callPeer: callPeer,
		hedge: newHedge(hedgeDelay, isAnswer, withMaxHedged(maxHedgedCalls)), failover: newHedge(0, isAnswer),
	}
}

// storeRequest is a store call for another gateway: an append to a keyed topic if Key
// is set, an append if Records is not empty, and a read otherwise.
type storeRequest struct {
	Topic     spool.Topic `json:"topic"`
	Partition int         `json:"partition"`
	Records   [][]byte    `json:"records,omitempty"`
	Key       string      `json:"key,omitempty"`
	Value     []byte      `json:"value,omitempty"`
	// End makes the append to a keyed topic conditional: it is the offset at which the
	// topic must end. nil for no condition.
	End *int64 `json:"end,omitempty"`
	// From and MaxBytes are those of a spool.ReadRequest.
	From     int64 `json:"from,omitempty"`
	MaxBytes int   `json:"maxBytes,omitempty"`
}

// storeReply is the result of a storeRequest. First, End and Records are the fields of
// the spool.LogPage of a read.
type storeReply struct {
	// Offset is the offset of the first appended record.
	Offset int64 `json:"offset"`
	// Trimmed reports whether the record at From has been removed by retention. First
	// is then the offset of the first record that remains.
	Trimmed bool `json:"trimmed,omitempty"`
	// ConditionFailed reports whether the topic did not end at the offset End of the
	// request, so that nothing was appended. Its JSON name is kept; see methodRelay.
	ConditionFailed bool `json:"moved,omitempty"`
	// Rejected reports that the store never accepts the records.
	Rejected bool     `json:"rejected,omitempty"`
	First    int64    `json:"first"`
	End      int64    `json:"end"`
	Records  [][]byte `json:"records,omitempty"`
}

// Append implements spool.Store. The offset is that of the copy whose path answered
// first.
func (s *pathStore) Append(ctx context.Context, partition spool.Partition, records [][]byte) (offset int64, err error) {
	request := storeRequest{Topic: partition.Topic, Partition: partition.Index, Records: records}
	var first firstResult[int64]
	err = s.callHedged(ctx, func() error {
		s.telemetry.CountEvent("storeAppend." + string(partition.Topic))
		offset, err := s.direct.Append(ctx, partition, records)
		return first.set(offset, err)
	}, func() error {
		reply, err := s.callViaPeer(ctx, request)
		if err == nil && reply.Rejected {
			err = spool.ErrRecordsRejected
		}
		return first.set(reply.Offset, err)
	})
	return first.get(), err
}

// firstResult holds the value of the first path that returned one. A trimmed read also
// returns a value.
type firstResult[T any] struct {
	mu    sync.Mutex
	value T
	isSet bool
}

func (r *firstResult[T]) set(value T, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (err == nil || errors.Is(err, spool.ErrTrimmed)) && !r.isSet {
		r.value, r.isSet = value, true
	}
	return err
}

func (r *firstResult[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// AppendKeyed implements spool.Store.
func (s *pathStore) AppendKeyed(ctx context.Context, topic spool.Topic, key string, value []byte) error {
	return s.callHedged(ctx, func() error {
		s.telemetry.CountEvent("storeAppend." + string(topic))
		return s.direct.AppendKeyed(ctx, topic, key, value)
	}, func() error {
		_, err := s.callViaPeer(ctx, storeRequest{Topic: topic, Key: key, Value: value})
		return err
	})
}

// AppendKeyedAt implements spool.Store. It may fail with spool.ErrConditionFailed
// although its record was written: over the other path, by the same call.
func (s *pathStore) AppendKeyedAt(ctx context.Context, topic spool.Topic, key string, value []byte, end int64) error {
	return s.callHedged(ctx, func() error {
		s.telemetry.CountEvent("storeAppend." + string(topic))
		return s.direct.AppendKeyedAt(ctx, topic, key, value, end)
	}, func() error {
		reply, err := s.callViaPeer(ctx, storeRequest{Topic: topic, Key: key, Value: value, End: &end})
		if err == nil && reply.ConditionFailed {
			return spool.ErrConditionFailed
		}
		return err
	})
}

// Read implements spool.Store. A read with a waiting time uses the direct path only. Other
// reads are not sent over both paths at the same time: a slow one may be slow because the
// reads of all gateways use up the store's rate.
func (s *pathStore) Read(ctx context.Context, request spool.ReadRequest) (page spool.LogPage, err error) {
	if request.Wait > 0 {
		s.telemetry.CountEvent("storeRead." + string(request.Partition.Topic))
		page, err = s.direct.Read(ctx, request)
		s.recordDirectResult(ctx, err)
		return page, err
	}
	var first firstResult[spool.LogPage]
	err = s.callPaths(ctx, s.failover, func() error {
		s.telemetry.CountEvent("storeRead." + string(request.Partition.Topic))
		return first.set(s.direct.Read(ctx, request))
	}, func() error {
		reply, err := s.callViaPeer(ctx, storeRequest{
			Topic: request.Partition.Topic, Partition: request.Partition.Index, From: request.From, MaxBytes: request.MaxBytes,
		})
		if err == nil && reply.Trimmed {
			err = spool.ErrTrimmed
		}
		return first.set(spool.LogPage{From: request.From, First: reply.First, End: reply.End, Records: reply.Records}, err)
	})
	return first.get(), err
}

// LatestByKey implements spool.Store. It uses the direct path only; if it fails, a
// follower asks another gateway for its records instead.
func (s *pathStore) LatestByKey(ctx context.Context, topic spool.Topic) (records []spool.KeyedRecord, end int64, err error) {
	records, end, err = s.direct.LatestByKey(ctx, topic)
	s.recordDirectResult(ctx, err)
	return records, end, err
}

// SplitKeyed implements spool.Store.
func (s *pathStore) SplitKeyed(record []byte) (key string, value []byte, ok bool) {
	return s.direct.SplitKeyed(record)
}

// callHedged makes a call over the direct path. If that fails or takes longer than
// hedgeDelay, it makes the call over the peer path as well.
func (s *pathStore) callHedged(ctx context.Context, direct, peer func() error) error {
	return s.callPaths(ctx, s.hedge, direct, peer)
}

// callPaths makes a call over both paths, one after another, as order says. While direct
// calls fail, the peer path comes first. It returns the first answer of the store (see
// isAnswer), or an error when both paths have failed or ctx has ended.
func (s *pathStore) callPaths(ctx context.Context, order *hedge, direct, peer func() error) error {
	attempts := []func() error{func() error {
		err := direct()
		s.recordDirectResult(ctx, err)
		return err
	}, peer}
	if s.isDirectFailing() {
		slices.Reverse(attempts)
	}
	err := order.run(ctx, attempts...)
	s.recordAnswer(err)
	return err
}

func (s *pathStore) isDirectFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directFailing
}

// recordDirectResult records the result of a direct call. It ignores the failure of a
// call that this gateway has cancelled.
func (s *pathStore) recordDirectResult(ctx context.Context, err error) {
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	s.health.recordResult(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directFailing = !isAnswer(err)
}

// recordAnswer records that the store can be reached, over either path, if err is an
// answer of the store.
func (s *pathStore) recordAnswer(err error) {
	if isAnswer(err) {
		s.health.recordResult(nil)
	}
}

// isAnswer reports whether the result err of a call came from the store: success, or an
// error that depends on the content of the topic or on the records.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, spool.ErrTrimmed) || errors.Is(err, spool.ErrConditionFailed) || errors.Is(err, spool.ErrRecordsRejected)
}

// callViaPeer makes a call through another gateway. A failure is reported as
// spool.ErrOutcomeUnknown, because the other gateway may have made the call.
func (s *pathStore) callViaPeer(ctx context.Context, request storeRequest) (reply storeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayedStoreTimeout.Duration())
	defer cancel()
	if err := s.callPeer(ctx, methodStore, request, &reply); err != nil {
		return reply, errors.Wrap(spool.ErrOutcomeUnknown, err.Error())
	}
	return reply, nil
}

// handlers returns the handler of methodStore. It uses the direct path only, and fails
// at once while direct calls of this gateway fail.
func (s *pathStore) handlers() wire.Mux {
	return wire.Mux{
		methodStore: wire.Handle(func(ctx context.Context, request storeRequest, _ wire.Send) (any, error) {
			if s.isDirectFailing() {
				return nil, spool.ErrLogUnavailable
			}
			ctx, cancel := context.WithTimeout(ctx, relayedStoreTimeout.Duration())
			defer cancel()
			reply, err := s.serveDirect(ctx, request)
			s.recordDirectResult(ctx, err)
			return reply, err
		}),
	}
}

// serveDirect executes the store operation that request describes, an append or a read,
// on the direct path.
func (s *pathStore) serveDirect(ctx context.Context, request storeRequest) (reply storeReply, err error) {
	partition := spool.Partition{Topic: request.Topic, Index: request.Partition}
	switch {
	case request.Key != "" && request.End != nil:
		err = s.direct.AppendKeyedAt(ctx, request.Topic, request.Key, request.Value, *request.End)
		if errors.Is(err, spool.ErrConditionFailed) {
			return storeReply{ConditionFailed: true}, nil
		}
		return reply, err
	case request.Key != "":
		return reply, s.direct.AppendKeyed(ctx, request.Topic, request.Key, request.Value)
	case len(request.Records) > 0:
		reply.Offset, err = s.direct.Append(ctx, partition, request.Records)
		if errors.Is(err, spool.ErrRecordsRejected) {
			return storeReply{Rejected: true}, nil
		}
		return reply, err
	}
	page, err := s.direct.Read(ctx, spool.ReadRequest{Partition: partition, From: request.From, MaxBytes: request.MaxBytes})
	if errors.Is(err, spool.ErrTrimmed) {
		return storeReply{Trimmed: true, First: page.First}, nil
	}
	return storeReply{First: page.First, End: page.End, Records: page.Records}, err
}
