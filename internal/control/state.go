package control

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// Removed values are remembered for at least removalRetention offsets, which
	// is more than a day at 35,000 changes a day. Every sweepEvery offsets, older
	// removals are dropped. All readers do this at the same offsets, so that their
	// states stay equal.
	sweepEvery       spool.Offset = 4096
	removalRetention spool.Offset = 40000
	// maxOrdersPerEndpoint bounds the orders of an endpoint; there is one for each
	// subject.
	maxOrdersPerEndpoint = 64
)

// ErrGap means that batches are missing between the state and the batch to apply.
var ErrGap = errors.New("batch does not follow the offset that is in force")

// Rejection describes a record that was not applied.
type Rejection struct {
	// Offset is the offset of the batch and Index the index of the record in it.
	Offset spool.Offset `json:"offset"`
	Index  int          `json:"index"`
	// Writer is the node that appended the batch.
	Writer spool.NodeID `json:"writer"`
	// Err is the cause. It wraps a *settings.ConflictError if the compare-and-set
	// of this record failed, or if the record was rejected because that of another
	// record in the batch failed.
	Err error `json:"-"`
}

// State is the result of applying the control stream up to an offset. Two states
// with the same offset are equal, whether they were built from batches or restored
// from a snapshot. It is not safe for concurrent use.
type State struct {
	offset   spool.Offset
	tree     *settings.Tree
	ring     *keyring.Ring
	accounts *settings.Table[Account]
	services *settings.Table[Service]
	orders   *settings.Table[[]spool.EngineOrder]
	// snapshot describes the latest snapshot on the stream. It is not contained in
	// snapshots.
	snapshot SnapshotInfo
}

// SnapshotMark describes a snapshot on the stream. The zero value means that there is
// none.
type SnapshotInfo struct {
	// Covers is the offset of the state in the snapshot.
	Covers spool.Offset
	// At is the time, on its writer's clock, at which it was appended.
	At clock.Millis
}

// NewState returns an empty state, with offset 0.
func NewState() *State {
	return &State{
		tree:     settings.NewTree(),
		ring:     keyring.New(),
		accounts: settings.NewTable[Account](),
		services: settings.NewTable[Service](),
		orders:   settings.NewTable[[]spool.EngineOrder](),
	}
}

// Offset returns the offset of the last applied batch.
func (s *State) Offset() spool.Offset { return s.offset }

// Settings returns the tree of settings.
func (s *State) Settings() *settings.Tree { return s.tree }

// Keys returns the API keys.
func (s *State) Keys() *keyring.Ring { return s.ring }

// Apply applies the next batch and returns the records that were not applied. A batch
// at or below the state's offset is ignored. Invalid records are skipped. If the
// compare-and-set of any record fails, no record of the batch is applied, so that a
// settings file is published as a whole or not at all. Apply fails with ErrGap if
// batches are missing; the state is unchanged then.
func (s *State) Apply(batch spool.Batch) (rejected []Rejection, err error) {
	if batch.Offset <= s.offset {
		return nil, nil
	}
	if batch.Offset != s.offset+1 {
		return nil, errors.Wrapf(ErrGap, "offset %d after %d", batch.Offset, s.offset)
	}
	contents := make([]any, len(batch.Records))
	paths := map[string]bool{}
	var conflict error
	for i, record := range batch.Records {
		content, err := DecodeRecord(record)
		if err == nil {
			err = s.check(content, paths)
		}
		if err == nil {
			contents[i] = content
			continue
		}
		rejected = append(rejected, Rejection{Offset: batch.Offset, Index: i, Writer: batch.Writer, Err: err})
		if conflictErr := (&settings.ConflictError{}); errors.As(err, &conflictErr) {
			conflict = err
		}
	}
	s.offset = batch.Offset
	for i, content := range contents {
		switch {
		case content == nil:
		case conflict != nil:
			rejected = append(rejected, Rejection{Offset: batch.Offset, Index: i, Writer: batch.Writer, Err: conflict})
		default:
			s.apply(content, batch)
		}
	}
	s.sweep()
	return rejected, nil
}

// check returns an error if content cannot be applied to the state. paths holds the
// paths that the batch has changed so far, to which check adds; a batch must not
// change a path twice.
func (s *State) check(content any, paths map[string]bool) error {
	var err error
	switch content := content.(type) {
	case settings.Change:
		err = s.tree.CheckBase(content)
	case keyring.StoredKey:
		err = s.ring.CheckBase(content)
	case Account:
		err = s.accounts.Check(string(content.ID), content.Base)
	case Service:
		err = s.services.Check(string(content.Name), content.Base)
	case Order:
		err = s.checkOrder(content)
	default:
		return nil
	}
	path, base := PathOf(content)
	if err != nil {
		return errors.Wrap(err, path)
	}
	if base < 0 || base > s.offset {
		return errors.Errorf("%s: base %d is not an offset before the record", path, base)
	}
	if paths[path] {
		return errors.Errorf("%s: path is changed twice in one batch", path)
	}
	paths[path] = true
	return nil
}

// Identify returns the path that the content of a record changes, and its base, the
// highest offset that its author had read. The path of a SnapshotPart is empty.
func PathOf(content any) (path string, base spool.Offset) {
	switch content := content.(type) {
	case settings.Change:
		return content.Path.String(), content.Base
	case keyring.StoredKey:
		return "key/" + content.ID, content.Base
	case Account:
		return "accounts/" + string(content.ID), content.Base
	case Service:
		return "services/" + string(content.Name), content.Base
	case Order:
		return "order/" + string(content.Endpoint), content.Base
	default:
		return "", 0
	}
}

func (s *State) checkOrder(order Order) error {
	if err := s.orders.Check(string(order.Endpoint), order.Base); err != nil {
		return err
	}
	entry, _ := s.orders.Get(string(order.Endpoint))
	if order.Clear {
		return nil
	}
	if len(entry.Value) >= maxOrdersPerEndpoint && findOrder(entry.Value, order.Order.Subject()) < 0 {
		return errors.Errorf("endpoint has orders on %d subjects, which is the limit", maxOrdersPerEndpoint)
	}
	return nil
}

// apply applies content that check has accepted.
func (s *State) apply(content any, batch spool.Batch) {
	switch content := content.(type) {
	case settings.Change:
		_ = s.tree.Apply(content, batch.Offset)
	case keyring.StoredKey:
		s.ring.Apply(content, batch.Offset)
	case Account:
		content.Base = 0
		s.accounts.Put(string(content.ID), content, batch.Offset)
	case Service:
		content.Base = 0
		if content.Removed {
			s.services.Remove(string(content.Name), batch.Offset)
			return
		}
		s.services.Put(string(content.Name), content, batch.Offset)
	case Order:
		s.applyOrder(content, batch.Offset)
	case SnapshotPart:
		if content.Part == content.Parts-1 && content.Covers > s.snapshot.Covers {
			s.snapshot = SnapshotInfo{Covers: content.Covers, At: batch.At}
		}
	}
}

// applyOrder replaces the endpoint's order on the same subject, or removes all its
// orders.
func (s *State) applyOrder(order Order, offset spool.Offset) {
	if order.Clear {
		s.orders.Remove(string(order.Endpoint), offset)
		return
	}
	entry, _ := s.orders.Get(string(order.Endpoint))
	orders := append([]spool.EngineOrder(nil), entry.Value...)
	if i := findOrder(orders, order.Order.Subject()); i >= 0 {
		orders = append(orders[:i], orders[i+1:]...)
	}
	order.Order.Fence = uint64(offset)
	s.orders.Put(string(order.Endpoint), append(orders, order.Order), offset)
}

// findOrder returns the index of the order on a subject, or -1.
func findOrder(orders []spool.EngineOrder, subject string) int {
	for i, order := range orders {
		if order.Subject() == subject {
			return i
		}
	}
	return -1
}

// sweep drops the records of old removals at every offset that is a multiple of
// sweepEvery.
func (s *State) sweep() {
	if s.offset%sweepEvery != 0 || s.offset <= removalRetention {
		return
	}
	lastSwept := s.offset - removalRetention
	s.tree.Sweep(lastSwept)
	s.ring.Sweep(lastSwept)
	s.services.Sweep(lastSwept)
	s.orders.Sweep(lastSwept)
}

// Account returns an account and whether it exists. The account may be closed.
func (s *State) Account(id spool.AccountID) (Account, bool) {
	entry, ok := s.accounts.Get(string(id))
	return entry.Value, ok
}

// Accounts returns all accounts, including closed ones, ordered by ID.
func (s *State) Accounts() []Account {
	accounts := []Account{}
	for _, name := range s.accounts.Names() {
		entry, _ := s.accounts.Get(name)
		accounts = append(accounts, entry.Value)
	}
	return accounts
}

// Services returns the services by name, without removed ones.
func (s *State) Services() map[spool.ServiceName]Service {
	services := map[spool.ServiceName]Service{}
	for _, name := range s.services.Names() {
		entry, _ := s.services.Get(name)
		services[entry.Value.Name] = entry.Value
	}
	return services
}

// Orders returns the orders in force for an endpoint, in ascending order of their
// fencing numbers. It holds the latest order for each model and adapter, and for the
// role.
func (s *State) Orders(endpoint spool.EndpointID) []spool.EngineOrder {
	entry, _ := s.orders.Get(string(endpoint))
	return entry.Value
}

// loadGroupOffsets is the number of offsets within which load orders count as given
// together.
const loadGroupOffsets = 256

// LoadsAhead returns the number of endpoints that should load before the given
// endpoint, so that endpoints that were ordered together do not load at once. These
// are the endpoints whose latest load order was given less than loadGroupOffsets
// before that of the endpoint. Of orders with the same offset, the one for the lower
// endpoint ID comes first. The result is 0 if the endpoint has no load order.
func (s *State) EndpointsLoadingBefore(endpoint spool.EndpointID) (ahead int) {
	ownFence, ok := latestLoadFence(s.Orders(endpoint))
	if !ok {
		return 0
	}
	for _, other := range s.orders.Names() {
		fence, ok := latestLoadFence(s.Orders(spool.EndpointID(other)))
		if ok && fence+loadGroupOffsets > ownFence && (fence < ownFence || fence == ownFence && other < string(endpoint)) {
			ahead++
		}
	}
	return ahead
}

// latestLoadFence returns the fencing number of the latest load order.
func latestLoadFence(orders []spool.EngineOrder) (fence uint64, ok bool) {
	for _, order := range orders {
		if order.Kind == spool.OrderLoad {
			fence, ok = order.Fence, true
		}
	}
	return fence, ok
}

// OrderedEndpoints returns the names of the endpoints that have orders, in order.
func (s *State) OrderedEndpoints() []string { return s.orders.Names() }

// Draining reports whether the failure domain or the endpoint is being drained, so
// that it gets no new work.
func (s *State) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	return s.tree.ValuesFor(settings.Scope{FailureDomain: domain}).Boolean(settings.DrainFailureDomain) ||
		s.tree.KeyedBoolean(settings.DrainEndpoint, string(endpoint))
}

// Drains returns the paths of the drain settings that are true, in order.
func (s *State) Drains() []string {
	drains := []string{}
	for _, name := range s.tree.Paths("") {
		path, err := settings.ParsePath(name)
		if err != nil || (path.Name != string(settings.DrainFailureDomain) && path.Name != string(settings.DrainEndpoint)) {
			continue
		}
		if raw, _, _ := s.tree.Get(path); string(raw) == "true" {
			drains = append(drains, name)
		}
	}
	sort.Strings(drains)
	return drains
}
