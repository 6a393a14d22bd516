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
	// The state remembers that a value was removed for at least removalRetention
	// offsets, so that a change with an older base is recognized as a conflict. This
	// is more than a day at 35,000 changes a day. At each offset that is a multiple of
	// sweepEvery, older removals are forgotten. All readers do this at the same
	// offsets, so that their states stay equal.
	sweepEvery       spool.Offset = 4096
	removalRetention spool.Offset = 40000
	// maxOrdersPerEndpoint is the highest number of subjects (models, adapters and
	// the role) on which an endpoint can have an order.
	maxOrdersPerEndpoint = 64
)

// ErrGap means that the batch to apply does not have the offset after that of the
// state, because batches between them are missing.
var ErrGap = errors.New("batch does not follow the offset that is in force")

// Rejection describes a record that was not applied.
type Rejection struct {
	// Offset is the offset of the batch and Index the index of the record in it.
	Offset spool.Offset `json:"offset"`
	Index  int          `json:"index"`
	// Writer is the node that appended the batch.
	Writer spool.NodeID `json:"writer"`
	// Err is the cause. It wraps a *settings.ConflictError if the compare-and-set of
	// this record failed, or if this record is valid but the compare-and-set of
	// another record in the batch failed.
	Err error `json:"-"`
}

// State is the result of applying the control stream up to an offset. Two states
// with the same offset are equal, whether they were built from batches or restored
// from a snapshot, except for the field snapshot. A State is not safe for concurrent
// use.
type State struct {
	offset   spool.Offset
	tree     *settings.Tree
	ring     *keyring.Ring
	accounts *settings.Table[Account]
	services *settings.Table[Service]
	orders   *settings.Table[[]spool.EngineOrder]
	// snapshot describes the snapshot with the highest offset whose last part this
	// node has read from the stream. MarshalJSON leaves it out.
	snapshot SnapshotInfo
}

// SnapshotInfo describes a snapshot on the stream. The zero value means that there is
// none.
type SnapshotInfo struct {
	// Covers is the offset of the state in the snapshot.
	Covers spool.Offset
	// At is the time at which the last part of the snapshot was appended, on the
	// clock of the node that appended it.
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

// Settings returns the tree of settings, which the caller must not change.
func (s *State) Settings() *settings.Tree { return s.tree }

// Keys returns the API keys, including withdrawn and expired ones. The caller must not
// change the ring.
func (s *State) Keys() *keyring.Ring { return s.ring }

// Apply applies the next batch and returns the records that were not applied. A batch
// at or below the state's offset is ignored. Invalid records are skipped. If the
// compare-and-set of any record fails, no record of the batch is applied, so that a
// settings file is published as a whole or not at all. The offset of the state becomes
// that of the batch even if no record was applied. Apply fails with ErrGap if batches
// are missing; the state is unchanged then.
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

// check returns an error if content cannot be applied to the state: its
// compare-and-set fails, its base is negative or above the state's offset, or an
// accepted record of the same batch changes the same path. paths holds the paths of the
// accepted records of the batch; check adds the path of content if it accepts content.
// Snapshot parts are always accepted.
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

// PathOf returns the path that the content of a record changes, and its base, the
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

// checkOrder returns a *settings.ConflictError if the orders for the endpoint were
// changed after the base of the order, and another error if the order would exceed
// maxOrdersPerEndpoint.
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

// apply applies content that check has accepted. Of a snapshot it records only the
// last part, in the field snapshot.
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

// applyOrder replaces the endpoint's order on the same subject, or removes all orders
// for the endpoint if Clear is set. offset becomes the fencing number.
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

// sweep forgets removals that are at least removalRetention offsets old. It does so
// only if the state's offset is a multiple of sweepEvery.
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

// Orders returns the latest order on each subject for an endpoint, in ascending order
// of their fencing numbers. A subject is a model, an adapter or the role. The caller
// must not change the slice.
func (s *State) Orders(endpoint spool.EndpointID) []spool.EngineOrder {
	entry, _ := s.orders.Get(string(endpoint))
	return entry.Value
}

// loadGroupOffsets is the distance in offsets below which two load orders are treated
// as one group, whose endpoints load one after another.
const loadGroupOffsets = 256

// EndpointsLoadingBefore returns the number of endpoints that should load before the
// given endpoint, so that endpoints with load orders of the same group do not load at
// the same time. It counts each endpoint whose latest load order has a lower offset
// than the latest load order of the given endpoint, by less than loadGroupOffsets. Of
// orders with the same offset, the one for the lower endpoint ID comes first. The
// result is 0 if the endpoint has no load order.
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

// latestLoadFence returns the fencing number of the last load order in orders, which
// must be in ascending order of fencing numbers. ok is false if there is none.
func latestLoadFence(orders []spool.EngineOrder) (fence uint64, ok bool) {
	for _, order := range orders {
		if order.Kind == spool.OrderLoad {
			fence, ok = order.Fence, true
		}
	}
	return fence, ok
}

// OrderedEndpoints returns the IDs of the endpoints that have orders, sorted.
func (s *State) OrderedEndpoints() []string { return s.orders.Names() }

// Draining reports whether the setting drain.failureDomain of the failure domain or the
// setting drain.endpoint of the endpoint is true. The endpoint then gets no new work.
func (s *State) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	return s.tree.ValuesFor(settings.Scope{FailureDomain: domain}).Boolean(settings.DrainFailureDomain) ||
		s.tree.KeyedBoolean(settings.DrainEndpoint, string(endpoint))
}

// Drains returns the paths of the settings drain.failureDomain and drain.endpoint that
// are true, sorted. It is empty, not nil, if there is none.
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
