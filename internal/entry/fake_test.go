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

// cluster stands for the log and the membership of several entries.
type cluster struct {
	mu      sync.Mutex
	batches map[spool.Stream][]spool.Batch
	owners  map[spool.Stream]*member
	epochs  map[spool.Stream]spool.Epoch
	agents  map[spool.ServiceName][]spool.VM
	// refuse, when set, decides about a submission.
	refuse func(records []spool.Record, needsLog bool) error
}

func newCluster() *cluster {
	return &cluster{
		batches: map[spool.Stream][]spool.Batch{}, owners: map[spool.Stream]*member{},
		epochs: map[spool.Stream]spool.Epoch{}, agents: map[spool.ServiceName][]spool.VM{},
	}
}

// member is the Streams of one entry.
type member struct {
	*cluster
	entry *entry.Entry
	node  spool.NodeID
	left  atomic.Bool
}

// give makes to the owner of every stream in streams.
func (c *cluster) give(to *member, streams ...spool.Stream) {
	for _, stream := range streams {
		c.mu.Lock()
		from := c.owners[stream]
		c.epochs[stream]++
		epoch := c.epochs[stream]
		c.owners[stream] = nil
		c.mu.Unlock()
		if from != nil {
			from.entry.Applier().Lost(stream)
		}
		applier := to.entry.Applier()
		applier.Reset(stream, epoch)
		c.mu.Lock()
		for _, batch := range c.batches[stream] {
			applier.Apply(stream, batch)
		}
		c.owners[stream] = to
		c.mu.Unlock()
		applier.Serving(stream, epoch)
	}
}

func (c *cluster) kinds(stream spool.Stream) (kinds []spool.RecordKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, batch := range c.batches[stream] {
		for _, record := range batch.Records {
			kinds = append(kinds, record.Kind)
		}
	}
	return kinds
}

func (m *member) Submit(_ context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[stream] != m {
		return spool.Refuse(spool.CodeNotOwner, "not the owner")
	}
	if m.refuse != nil {
		if err := m.refuse(records, needsLog); err != nil {
			return err
		}
	}
	batch := spool.Batch{Epoch: m.epochs[stream], Writer: m.node, Records: records}
	m.batches[stream] = append(m.batches[stream], batch)
	m.entry.Applier().Apply(stream, batch)
	return nil
}

func (m *member) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epochs[stream], m.owners[stream] == m
}

func (m *member) OwnerOf(stream spool.Stream) (spool.NodeID, string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner := m.owners[stream]; owner != nil {
		return owner.node, owner.entry.WireAddress(), true
	}
	return "", "", false
}

func (m *member) Members() []spool.VM { return nil }

func (m *member) Endpoints(service spool.ServiceName) []spool.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]spool.VM{}, m.agents[service]...)
}

func (m *member) Leave(context.Context) error {
	m.left.Store(true)
	return nil
}

func (m *member) Handlers() wire.Mux { return wire.Mux{} }

// operators is the Control and the Limits of all entries.
type operators struct {
	mu        sync.Mutex
	settings  entry.Settings
	withdrawn map[string]chan struct{}
	draining  map[spool.FailureDomain]bool
	taken     map[spool.AccountID]int
	rate      int
}

func newOperators() *operators {
	return &operators{
		settings: entry.Settings{
			Weight: 1, MaxTokens: 64, IdleFor: 60_000, CallTimeout: 10_000, LeaseFor: 1000,
			Router: "roundRobin", Retry: "budgeted", Budget: program.Budget{Tokens: 1 << 20, Calls: 1000, Depth: 2, Agents: 10},
		},
		withdrawn: map[string]chan struct{}{}, draining: map[spool.FailureDomain]bool{}, taken: map[spool.AccountID]int{}, rate: 1 << 20,
	}
}

// Authenticate accepts keys of the form bsk_<account>_secret.
func (o *operators) Authenticate(key string) (spool.AccountID, string, error) {
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != "bsk" || parts[2] != "secret" {
		return "", "", spool.Refuse(spool.CodeUnauthorized, "key is not known")
	}
	return spool.AccountID(parts[1]), parts[1], nil
}

func (o *operators) Withdrawn(keyID string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.withdrawn[keyID] == nil {
		o.withdrawn[keyID] = make(chan struct{})
	}
	return o.withdrawn[keyID]
}

func (o *operators) Settings(spool.AccountID, spool.ProgramID) entry.Settings {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.settings
}

func (o *operators) Isolated() bool { return false }

func (o *operators) Draining(domain spool.FailureDomain, _ spool.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining[domain]
}

func (o *operators) Services() []entry.Service {
	return []entry.Service{
		{Name: "harvest-app", Kind: entry.ServicePlain},
		{Name: "mist-models", Kind: entry.ServiceModel, Models: []spool.ModelName{"mist"}},
	}
}

func (o *operators) Offset() spool.Offset { return 7 }

func (o *operators) Take(_ context.Context, account spool.AccountID, _ limit.Class) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taken[account] >= o.rate {
		return spool.Refuse(spool.CodeRateLimited, "rate of the account is used up").WithRetryAfter(250)
	}
	o.taken[account]++
	return nil
}

// agent answers like an endpoint's agent.
type agent struct {
	server *wire.Server
	id     spool.EndpointID

	mu sync.Mutex
	// run, when set, answers endpoint.run.
	run func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error)
	// fate answers endpoint.fate.
	fate     wire.FateReply
	requests []wire.RunRequest
	fates    []wire.FateRequest
	renewals []wire.RenewRequest
	// raw holds every message as it came.
	raw []string
}

func newAgent(id spool.EndpointID) *agent {
	a := &agent{id: id, run: nil}
	mux := wire.Mux{
		wire.MethodRun: func(ctx context.Context, params json.RawMessage, send wire.Send) (any, error) {
			var request wire.RunRequest
			_ = json.Unmarshal(params, &request)
			a.mu.Lock()
			a.requests, a.raw = append(a.requests, request), append(a.raw, string(params))
			run := a.run
			a.mu.Unlock()
			if run == nil {
				run = a.answer
			}
			return run(ctx, request, send)
		},
		wire.MethodFate: wire.Handle(func(_ context.Context, request wire.FateRequest, _ wire.Send) (any, error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.fates = append(a.fates, request)
			return a.fate, nil
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

func (a *agent) status() wire.EndpointStatus {
	return wire.EndpointStatus{Endpoint: a.id, Window: 8, MillisPerCall: 5, Mark: spool.AgentMark{Boot: "boot-" + string(a.id)}}
}

// answer echoes the last message in pieces.
func (a *agent) answer(_ context.Context, request wire.RunRequest, send wire.Send) (any, error) {
	reply := wire.RunReply{Correlation: request.Correlation, Load: a.status()}
	if request.Kind == wire.RunService {
		reply.Service = &spool.ServiceResult{Correlation: request.Correlation, Status: 200, Body: request.Service.Body}
		return reply, nil
	}
	text := "re: " + request.Messages[len(request.Messages)-1].Content
	for i, piece := range strings.SplitAfter(text, " ") {
		if err := send(spool.Chunk{Correlation: request.Correlation, Index: i, Text: piece}); err != nil {
			return nil, err
		}
	}
	reply.Engine = &spool.EngineResult{Correlation: request.Correlation, Text: text, PromptTokens: 10, GeneratedTokens: 3}
	return reply, nil
}

func (a *agent) answerWith(run func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run = run
}

// decide sets the answer to endpoint.fate.
func (a *agent) decide(fate wire.FateReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fate = fate
}

func (a *agent) ran() []wire.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.RunRequest{}, a.requests...)
}

// join adds an agent to a service.
func (c *cluster) join(service spool.ServiceName, agents ...*agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range agents {
		c.agents[service] = append(c.agents[service], spool.VM{
			ID: spool.NodeID(a.id), Role: spool.RoleEndpoint, State: spool.VMLive, FailureDomain: "walvis-b",
			Service: service, Address: a.server.Address(),
		})
	}
}
