package streams_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestStreams(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "streams")
}

// memoryLog is an in-memory log. Its only simulated fault is an outage, see setDown.
type memoryLog struct {
	mu      sync.Mutex
	streams map[spool.Stream][]spool.Batch
	changed chan struct{}
	down    bool
	appends int
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[spool.Stream][]spool.Batch{}, changed: make(chan struct{})}
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *memoryLog) Append(_ context.Context, stream spool.Stream, batch spool.Batch) (spool.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, spool.ErrLogUnavailable
	}
	l.appends++
	batch.Offset = spool.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], batch)
	close(l.changed)
	l.changed = make(chan struct{})
	return batch.Offset, nil
}

func (l *memoryLog) Read(ctx context.Context, stream spool.Stream, after spool.Offset, wait clock.Millis) (spool.Page, error) {
	timeout := time.After(wait.Duration())
	expired := false
	for {
		l.mu.Lock()
		batches, changed, down := l.streams[stream], l.changed, l.down
		l.mu.Unlock()
		if down {
			return spool.Page{}, spool.ErrLogUnavailable
		}
		if last := spool.Offset(len(batches)); last > after {
			return spool.Page{Batches: batches[after:min(last, after+100)], First: 1, Last: last}, nil
		}
		if expired || wait == 0 {
			return spool.Page{First: 1, Last: spool.Offset(len(batches))}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-ctx.Done():
			return spool.Page{}, ctx.Err()
		}
	}
}

// cluster runs several managers in one process without network connections. It
// implements streams.Caller and streams.VMLists for all of them.
type cluster struct {
	log *memoryLog

	mu          sync.Mutex
	entries     map[string]*testEntry
	unreachable map[string]bool
	// requests holds the number of requests of all entries, by method.
	requests map[string]int
}

type testEntry struct {
	vm       spool.VM
	manager  *streams.Manager
	handlers wire.Mux
	applier  *recordingApplier
}

func newCluster() *cluster {
	return &cluster{log: newMemoryLog(), entries: map[string]*testEntry{}, unreachable: map[string]bool{}, requests: map[string]int{}}
}

func (c *cluster) Latest() ([]spool.VM, clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	vms := []spool.VM{
		{ID: "model-1", Role: spool.RoleEndpoint, State: spool.VMLive, Service: "appraiser-models"},
		{ID: "model-2", Role: spool.RoleEndpoint, State: spool.VMLive, Service: "appraiser-models"},
		{ID: "model-3", Role: spool.RoleEndpoint, State: spool.VMLeaving, Service: "appraiser-models"},
	}
	for _, n := range c.entries {
		vms = append(vms, n.vm)
	}
	return vms, clock.System().Now()
}

func (c *cluster) Call(ctx context.Context, address, method string, request, result any, _ func(json.RawMessage) error) error {
	c.mu.Lock()
	n, unreachable := c.entries[address], c.unreachable[address]
	c.requests[method]++
	c.mu.Unlock()
	if n == nil {
		return spool.ErrNotSent
	}
	if unreachable {
		<-ctx.Done()
		return ctx.Err()
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := n.handlers[method](ctx, params, nil)
	if err != nil {
		return errors.Wrap(err, "remote")
	}
	body, err := json.Marshal(reply)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(body, result)
}

func (c *cluster) requestCount(method string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[method]
}

// start starts entry i in one of four failure domains and adds it to the VM list. Its
// timings are short, so that the tests run fast; configure may change them.
func (c *cluster) start(i int, configure func(*streams.Config)) *testEntry {
	name := fmt.Sprintf("entry-%d", i)
	domain := spool.FailureDomain([]string{"ndar-a", "dkr-b", "ths-c", "klk-d"}[i%4])
	n := &testEntry{applier: newRecordingApplier(), vm: spool.VM{
		ID: spool.NodeID(name), Role: spool.RoleEntry, State: spool.VMLive,
		FailureDomain: domain, Region: "sn-west", Address: name,
	}}
	config := streams.Config{
		Node: n.vm.ID, Address: name, FailureDomain: domain, Region: "sn-west", StreamCount: 4,
		ListEvery: 50, HeartbeatEvery: 50, SuspectAfter: 150, HandoverEvery: 20, SettleAfter: 100, LeaveAfter: 500, AppendsPerSecond: 400, LeaseDuration: 500,
		PollWait: 100, PeerTimeout: 100, TickEvery: 5,
	}
	if configure != nil {
		configure(&config)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	n.manager, err = streams.New(config, streams.WithLog(c.log), streams.WithVMLists(c),
		streams.WithCaller(c), streams.WithApplier(n.applier))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	n.handlers = n.manager.Handlers()
	c.entries[name] = n
	return n
}

// crash stops an entry without a graceful shutdown. Requests to the entry then get no
// reply. If unlist is set, the entry is also removed from the VM list, and requests to
// it fail at once.
func (c *cluster) crash(n *testEntry, unlist bool) {
	n.manager.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[n.vm.Address] = true
	if unlist {
		delete(c.entries, n.vm.Address)
	}
}

func (c *cluster) close() {
	c.mu.Lock()
	nodes := c.entries
	c.entries = map[string]*testEntry{}
	c.mu.Unlock()
	for _, n := range nodes {
		n.manager.Close()
	}
}

// owner returns an entry that serves the stream, or nil if there is none.
func (c *cluster) owner(stream spool.Stream) *testEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.entries {
		if _, ok := n.manager.Epoch(stream); ok {
			return n
		}
	}
	return nil
}

// servedStreams returns the number of the 4 streams that some entry serves.
func (c *cluster) servedStreams() (count int) {
	for i := range 4 {
		if c.owner(spool.ProgramStream(i)) != nil {
			count++
		}
	}
	return count
}

// waitSettled waits for at most 5 s until the owner of a stream considers all entries
// alive and ranks first for the stream among them. It returns that owner.
func (c *cluster) waitSettled(stream spool.Stream) (owner *testEntry) {
	gomega.Eventually(func() bool {
		owner = c.owner(stream)
		if owner == nil {
			return false
		}
		ids := []spool.NodeID{}
		for _, vm := range owner.manager.LiveMembers() {
			ids = append(ids, vm.ID)
		}
		winner, _ := membership.HighestRanked(string(stream), ids)
		return len(ids) == len(c.entries) && winner == owner.vm.ID
	}, "5s", "5ms").Should(gomega.BeTrue())
	return owner
}

// recordingApplier records the data of the records that were applied to each stream, in
// order, since the last Reset of the stream.
type recordingApplier struct {
	mu     sync.Mutex
	values map[spool.Stream][]string
}

func newRecordingApplier() *recordingApplier {
	return &recordingApplier{values: map[spool.Stream][]string{}}
}

func (r *recordingApplier) Reset(stream spool.Stream, _ spool.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[stream] = nil
}

func (r *recordingApplier) Apply(stream spool.Stream, batch spool.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range batch.Records {
		r.values[stream] = append(r.values[stream], string(record.Data))
	}
}

func (r *recordingApplier) StreamServing(spool.Stream, spool.Epoch) {}

func (r *recordingApplier) StreamLost(spool.Stream) {}

func (r *recordingApplier) Snapshot(stream spool.Stream) (records []spool.Record) {
	for _, value := range r.valuesOf(stream) {
		records = append(records, newRecord(value))
	}
	return records
}

func (r *recordingApplier) valuesOf(stream spool.Stream) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.values[stream]...)
}

func newRecord(value string) spool.Record {
	return spool.Record{Kind: "test.value", Data: json.RawMessage(value)}
}
