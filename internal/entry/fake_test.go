package entry_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/limit"
	_ "github.com/baobabspool/baobabspool/pkg/policy"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fakeCluster is an in-memory log with stream ownership and lists of endpoints,
// shared by the entries of a test.
type fakeCluster struct {
	mu        sync.Mutex
	batches   map[spool.Stream][]spool.Batch
	owners    map[spool.Stream]*fakeStreams
	epochs    map[spool.Stream]spool.Epoch
	endpoints map[spool.ServiceName][]spool.VM
	// submitError, if set, is called for each submission. If it returns an error,
	// the submission fails with this error.
	submitError func(records []spool.Record, needsLog bool) error
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		batches: map[spool.Stream][]spool.Batch{}, owners: map[spool.Stream]*fakeStreams{},
		epochs: map[spool.Stream]spool.Epoch{}, endpoints: map[spool.ServiceName][]spool.VM{},
	}
}

// fakeStreams implements entry.Streams for one entry of a fakeCluster.
type fakeStreams struct {
	*fakeCluster
	entry   *entry.Entry
	node    spool.NodeID
	hasLeft atomic.Bool
}

// assignStreams makes the entry to.entry the owner of the given streams. The
// previous owner loses the streams, and the new owner recovers them from the log.
func (c *fakeCluster) assignStreams(to *fakeStreams, streams ...spool.Stream) {
	for _, stream := range streams {
		c.mu.Lock()
		from := c.owners[stream]
		c.epochs[stream]++
		epoch := c.epochs[stream]
		c.owners[stream] = nil
		c.mu.Unlock()
		if from != nil {
			from.entry.Applier().StreamLost(stream)
		}
		applier := to.entry.Applier()
		applier.Reset(stream, epoch)
		c.mu.Lock()
		for _, batch := range c.batches[stream] {
			applier.Apply(stream, batch)
		}
		c.owners[stream] = to
		c.mu.Unlock()
		applier.StreamServing(stream, epoch)
	}
}

// recordKinds returns the kinds of all records of a stream, in order.
func (c *fakeCluster) recordKinds(stream spool.Stream) (kinds []spool.RecordKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, batch := range c.batches[stream] {
		for _, record := range batch.Records {
			kinds = append(kinds, record.Kind)
		}
	}
	return kinds
}

func (s *fakeStreams) Submit(_ context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[stream] != s {
		return spool.Refuse(spool.CodeNotOwner, "not the owner")
	}
	if s.submitError != nil {
		if err := s.submitError(records, needsLog); err != nil {
			return err
		}
	}
	batch := spool.Batch{Epoch: s.epochs[stream], Writer: s.node, Records: records}
	s.batches[stream] = append(s.batches[stream], batch)
	s.entry.Applier().Apply(stream, batch)
	return nil
}

func (s *fakeStreams) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epochs[stream], s.owners[stream] == s
}

func (s *fakeStreams) OwnerOf(stream spool.Stream) (spool.NodeID, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner := s.owners[stream]; owner != nil {
		return owner.node, owner.entry.WireAddress(), true
	}
	return "", "", false
}

func (s *fakeStreams) LiveMembers() []spool.VM { return nil }

func (s *fakeStreams) Endpoints(service spool.ServiceName) []spool.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]spool.VM{}, s.endpoints[service]...)
}

func (s *fakeStreams) ReleaseAll(context.Context) error {
	s.hasLeft.Store(true)
	return nil
}

func (s *fakeStreams) Handlers() wire.Mux { return wire.Mux{} }

// fakeControl implements entry.Control and entry.Limits for all entries of a
// test.
type fakeControl struct {
	mu          sync.Mutex
	settings    entry.Settings
	withdrawn   map[string]chan struct{}
	draining    map[spool.FailureDomain]bool
	admitted    map[spool.AccountID]int
	maxAdmitted int
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		settings: entry.Settings{
			Weight: 1, MaxTokens: 64, IdleTimeout: 60_000, CallTimeout: 10_000, LeaseDuration: 1000,
			Router: "roundRobin", Retry: "budgeted", Budget: program.Budget{Tokens: 1 << 20, Calls: 1000, Depth: 2, Agents: 10},
		},
		withdrawn: map[string]chan struct{}{}, draining: map[spool.FailureDomain]bool{}, admitted: map[spool.AccountID]int{}, maxAdmitted: 1 << 20,
	}
}

// Authenticate accepts keys of the form bsk_<account>_secret.
func (c *fakeControl) Authenticate(key string) (spool.AccountID, string, error) {
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != "bsk" || parts[2] != "secret" {
		return "", "", spool.Refuse(spool.CodeUnauthorized, "key is not known")
	}
	return spool.AccountID(parts[1]), parts[1], nil
}

func (c *fakeControl) Withdrawn(keyID string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn[keyID] == nil {
		c.withdrawn[keyID] = make(chan struct{})
	}
	return c.withdrawn[keyID]
}

func (c *fakeControl) Settings(spool.AccountID, spool.ProgramID) entry.Settings {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings
}

func (c *fakeControl) Isolated() bool { return false }

func (c *fakeControl) Draining(domain spool.FailureDomain, _ spool.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining[domain]
}

func (c *fakeControl) Services() []entry.Service {
	return []entry.Service{
		{Name: "harvest-app", Kind: entry.ServicePlain},
		{Name: "mist-models", Kind: entry.ServiceModel, Models: []spool.ModelName{"mist"}},
	}
}

func (c *fakeControl) Offset() spool.Offset { return 7 }

func (c *fakeControl) Admit(_ context.Context, account spool.AccountID, _ limit.Class) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.admitted[account] >= c.maxAdmitted {
		return spool.Refuse(spool.CodeRateLimited, "rate of the account is used up").WithRetryAfter(250)
	}
	c.admitted[account]++
	return nil
}

// fakeAgent is a wire server that answers like the agent of an endpoint and records
// the requests that it receives.
type fakeAgent struct {
	server *wire.Server
	id     spool.EndpointID

	mu sync.Mutex
	// handler, if set, answers endpoint.run instead of echo.
	handler func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error)
	// outcome is the answer to outcome queries (endpoint.fate).
	outcome         wire.OutcomeQueryReply
	runRequests     []wire.RunRequest
	outcomeRequests []wire.OutcomeQuery
	renewals        []wire.RenewRequest
	// rawRequests holds the undecoded parameters of every endpoint.run.
	rawRequests []string
}

func newFakeAgent(id spool.EndpointID) *fakeAgent {
	a := &fakeAgent{id: id, handler: nil}
	mux := wire.Mux{
		wire.MethodRun: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
			var request wire.RunRequest
			_ = json.Unmarshal(params, &request)
			a.mu.Lock()
			a.runRequests, a.rawRequests = append(a.runRequests, request), append(a.rawRequests, string(params))
			handler := a.handler
			a.mu.Unlock()
			if handler == nil {
				handler = a.echo
			}
			return handler(ctx, request, send)
		},
		wire.MethodOutcomeQuery: wire.Handle(func(_ context.Context, request wire.OutcomeQuery, _ wire.Send) (any, error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.outcomeRequests = append(a.outcomeRequests, request)
			return a.outcome, nil
		}),
		wire.MethodRenew: wire.Handle(func(_ context.Context, request wire.RenewRequest, _ wire.Send) (any, error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.renewals = append(a.renewals, request)
			return struct{}{}, nil
		}),
		wire.MethodEndpointStatus: wire.Handle(func(context.Context, struct{}, wire.Send) (any, error) { return a.status(), nil }),
	}
	var err error
	a.server, err = wire.Listen("127.0.0.1:0", mux, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(a.server.Close)
	return a
}

func (a *fakeAgent) status() wire.EndpointStatus {
	return wire.EndpointStatus{Endpoint: a.id, Window: 8, MillisPerCall: 5, Mark: spool.AgentMark{Boot: "boot-" + string(a.id)}}
}

// echo answers a service call with its body. It answers a model call with its
// last message, in one chunk per word.
func (a *fakeAgent) echo(_ context.Context, request wire.RunRequest, send wire.Send) (any, error) {
	reply := wire.RunReply{Correlation: request.Correlation, Load: a.status()}
	if request.Kind == wire.RunService {
		reply.Service = &spool.ServiceResult{Correlation: request.Correlation, Status: 200, Body: request.Service.Body}
		return reply, nil
	}
	text := "re: " + request.Messages[len(request.Messages)-1].Content
	for i, chunk := range strings.SplitAfter(text, " ") {
		if err := send(spool.Chunk{Correlation: request.Correlation, Index: i, Text: chunk}); err != nil {
			return nil, err
		}
	}
	reply.Engine = &spool.EngineResult{Correlation: request.Correlation, Text: text, PromptTokens: 10, GeneratedTokens: 3}
	return reply, nil
}

// setHandler sets the handler of endpoint.run; nil restores echo.
func (a *fakeAgent) setHandler(handler func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handler = handler
}

// setOutcome sets the answer to outcome queries (endpoint.fate).
func (a *fakeAgent) setOutcome(outcome wire.OutcomeQueryReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcome = outcome
}

// receivedRuns returns the endpoint.run requests received so far, in order.
func (a *fakeAgent) receivedRuns() []wire.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.RunRequest{}, a.runRequests...)
}

// addAgents lists the endpoints of the given agents under a service.
func (c *fakeCluster) addAgents(service spool.ServiceName, agents ...*fakeAgent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range agents {
		c.endpoints[service] = append(c.endpoints[service], spool.VM{
			ID: spool.NodeID(a.id), Role: spool.RoleEndpoint, State: spool.VMLive, FailureDomain: "walvis-b",
			Service: service, Address: a.server.Address(),
		})
	}
}
