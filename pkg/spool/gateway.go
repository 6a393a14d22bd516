package spool

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Topic names one of the logs that all gateways read and write.
type Topic string

// The topics. TopicOperator, TopicEndpoints and TopicMembers have keyed records and one
// partition. They are compacted: the log may remove every record of a key but the
// newest.
const (
	TopicOperator  Topic = "operator"
	TopicEndpoints Topic = "endpoints"
	TopicMembers   Topic = "members"
	TopicTurns     Topic = "turns"
	TopicBudgets   Topic = "budgets"
)

// Partition identifies a partition of a topic. Records are ordered within a
// partition only.
type Partition struct {
	Topic Topic
	Index int
}

// String formats p as topic/index.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Index) }

// ReadRequest names the records that a Read returns.
type ReadRequest struct {
	Partition Partition
	// From is the offset of the first record.
	From int64
	// Wait is how long the read waits for a record if there is none; 0 for not at all.
	Wait clock.Millis
	// MaxBytes bounds the size of the answer, except that one record may be larger; 0
	// leaves the bound to the store.
	MaxBytes int
}

// LogPage is the result of one Read of a partition.
type LogPage struct {
	// From is the offset of the first element of Records.
	From int64
	// First is the lowest offset of the partition that retention has not removed.
	First int64
	// End is the offset after the last record of the partition.
	End int64
	// Records are in the order of their offsets, without gaps; empty when the wait ended
	// without a new record.
	Records [][]byte
}

// KeyedRecord is the newest record of a key. Offset is its offset in the topic.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the linearizable log service that gateways share. An error wraps
// ErrLogUnavailable when the operation had no effect. It wraps ErrOutcomeUnknown
// when an append may have taken effect or may still take effect.
type Store interface {
	// Append atomically adds records to the end of a partition and returns the
	// offset of the first one. It fails with ErrRecordsRejected if the log never accepts them.
	Append(ctx context.Context, partition Partition, records [][]byte) (offset int64, err error)
	// AppendKeyed appends a record that replaces the earlier records of its key. An empty
	// value deletes the key.
	AppendKeyed(ctx context.Context, topic Topic, key string, value []byte) error
	// AppendKeyedAt does the same as AppendKeyed, but only if end is the offset after the
	// last record of the topic. Otherwise it fails with ErrConditionFailed.
	AppendKeyedAt(ctx context.Context, topic Topic, key string, value []byte, end int64) error
	// Read returns the records from an offset on, or an initial part of them. It fails
	// with ErrTrimmed when retention has removed the record at that offset; First of the
	// returned page is set then, too.
	Read(ctx context.Context, request ReadRequest) (LogPage, error)
	// LatestByKey returns the newest record of each key. end is the offset from which
	// Read returns every later change.
	LatestByKey(ctx context.Context, topic Topic) (records []KeyedRecord, end int64, err error)
	// SplitKeyed splits a record of a keyed topic into key and value. An empty value
	// deletes the key. ok is false when the record is malformed.
	SplitKeyed(record []byte) (key string, value []byte, ok bool)
}

// EndpointRecord is the registration that an endpoint publishes on the endpoints
// topic.
type EndpointRecord struct {
	ID            EndpointID
	Service       ServiceName
	Address       string
	FailureDomain FailureDomain
	// Slots is the maximum number of requests that the endpoint runs concurrently.
	Slots int
	// Draining reports that the endpoint must not get new requests.
	Draining bool
	// ColdFor is the duration for which the endpoint remains in cold start, measured
	// from the time at which it wrote the record.
	ColdFor clock.Millis
	// Sequence increases with each record that one incarnation of the endpoint writes.
	Sequence int64
	// StartedAt is the time of the endpoint's start on its own clock; 0 when unknown.
	StartedAt clock.Millis
	// Version is the version of the endpoint's software; empty when unknown.
	Version string
}

// RolloutState is the state of a rollout as operators see it.
type RolloutState string

// The states of a rollout.
const (
	RolloutActive     RolloutState = "active"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolledBack"
)

// RolloutStatus is the state of the rollout of a service to a version.
type RolloutStatus struct {
	Service ServiceName
	To      string
	State   RolloutState
}

// GatewayCall holds the metadata of a request, decoded from its headers.
type GatewayCall struct {
	// Attempt is the identifier that the caller gave this request. A request without one
	// is refused.
	Attempt string
	Method  string
	// Target is the request target as it was sent. Path is its decoded path.
	Target string
	Host   string
	Path   string
	// Key is the caller's API key; empty when the caller sent none.
	Key string
	// TimeLeft is the time for which the caller still waits; 0 when not given.
	TimeLeft clock.Millis
	// Program and Session are set for requests of an agent program.
	Program ProgramID
	Session string
	// FinishIn is the time within which the whole program should finish; 0 when not
	// given.
	FinishIn clock.Millis
	// TokenBudget bounds the tokens that all turns of the program may generate; 0
	// means no budget.
	TokenBudget int64
	// PromptTokens is the caller's count of the prompt's tokens, and MaxOutputTokens the
	// caller's bound of the generated tokens; 0 when not given.
	PromptTokens    int64
	MaxOutputTokens int64
	// Previous is the turn that this one continues; empty for a first turn.
	Previous string
	// ResumeAfter identifies the last event that the caller received before its event
	// stream broke; empty when the caller does not resume a stream.
	ResumeAfter string
	// AffinityKey is the same for requests about the same object; empty if the caller named
	// none.
	AffinityKey string
}

// EndpointSend holds the values that a gateway adds to a request to an endpoint.
type EndpointSend struct {
	// Endpoint identifies the incarnation of the endpoint that may run the request.
	// Every other incarnation refuses the request.
	Endpoint EndpointID
	Account  AccountID
	// TimeLeft is the time for which the gateway still waits for the answer.
	TimeLeft clock.Millis
	// Urgency is 0 for the most urgent requests and higher for less urgent ones. If it is
	// negative, the request has no urgency header.
	Urgency     int
	ResumeAfter string
	BodyBytes   int
}

// EndpointAnswer holds the metadata of an endpoint's answer, decoded from its
// headers.
type EndpointAnswer struct {
	// Attempt is GatewayCall.Attempt of the request that the endpoint answered.
	Attempt string
	// Sealed reports whether the answer carries the header with the endpoint's seal, which
	// marks it as an answer of the endpoint. A successful answer without a seal is treated
	// as a failure and is not forwarded to the caller.
	Sealed bool
	// NotRun reports that the request has not run and will not run.
	NotRun bool
	// Misdirected reports that the answer is from an incarnation of the endpoint that
	// differs from EndpointSend.Endpoint.
	Misdirected bool
	// ColdFor is the time for which the endpoint remains in cold start; 0 when not given.
	ColdFor clock.Millis
	// Leaving reports that the endpoint will end soon and must not get new requests.
	Leaving bool
	// Instance identifies the incarnation of the endpoint that answered; empty if the
	// answer does not name it.
	Instance EndpointID
}

// ErrBadRecord means that a record on the log cannot be decoded or has invalid
// fields.
var ErrBadRecord = errors.New("record is invalid")

// GatewaySettings are the settings that a gateway receives at its start.
type GatewaySettings struct {
	Node          NodeID
	IP            string
	FailureDomain FailureDomain
	Region        Region
	// Listen is the address for requests. ReadyListen serves the load balancer's
	// health checks and the metrics. ControlListen receives messages of other gateways.
	Listen        string
	ReadyListen   string
	ControlListen string
	// Seeds are control addresses of other gateways. They may be stale.
	Seeds []string
	// FirstStart reports that no process of the deployment has run before.
	FirstStart   bool
	StoreAddress string
	// Partitions is the number of partitions of each topic that is not compacted.
	Partitions     int
	MaxRecordBytes int
	MaxAppendBytes int
	// LogRetention is how long the store retains a record of a topic that is not
	// compacted; 0 if that is not known.
	LogRetention clock.Millis
	// EndpointHeartbeat is the interval at which endpoints publish their record.
	EndpointHeartbeat clock.Millis
	// DrainWithin is the time after which an endpoint that has announced its leaving must
	// no longer get requests. ConfigWithin is the time within which every gateway must
	// apply a new configuration. StopWithin is the time from SIGTERM to SIGKILL.
	DrainWithin  clock.Millis
	ConfigWithin clock.Millis
	StopWithin   clock.Millis
	// LimitTolerance bounds by how much an account may exceed its rate limit.
	LimitTolerance LimitTolerance
	// FirstPort and LastPort are the lowest and the highest port for messages between
	// gateways.
	FirstPort, LastPort int
	// MemoryMB is the memory of the process in MB.
	MemoryMB int64
	// Balancing and Rollout turn parts of the gateway on.
	Balancing BalancingSettings
	Rollout   RolloutSettings
	// Size is what the VM offers to the process. A gateway publishes it, so that roles go
	// to the VMs that can bear them.
	Size VMSize
}

// BalancingSettings says how requests are distributed over endpoints that differ.
type BalancingSettings struct {
	// Enabled turns the shared load view and the choice by expected finish on.
	Enabled bool
	// CrossingMillisPerKB is the price of traffic between failure domains: a request leaves
	// its domain only if it is expected to finish that much earlier for each KB that crosses.
	CrossingMillisPerKB float64
	// MaxReceiveLoad is the part of the slots of a failure domain up to which requests of
	// other domains are sent to it.
	MaxReceiveLoad float64
	// Policy is the name of the policy that picks endpoints; empty for the default.
	Policy string
	// SlackUrgency derives the urgency of a request at engines from the slack of its program
	// and from whether it has begun, and not from the priority alone.
	SlackUrgency bool
}

// RolloutSettings says how much traffic a version under trial may get.
type RolloutSettings struct {
	// Enabled turns roll-outs on.
	Enabled bool
	// ExposeShare and ExposeSlack bound the requests to a version under trial: this share of
	// all requests to the service since the order, and this number more.
	ExposeShare float64
	ExposeSlack int
	// RollbackWithin is the time after which a version that has shown to be bad gets no
	// requests.
	RollbackWithin clock.Millis
}

// VMSize is the processor and the link that a VM offers to a process. It is zero when
// unknown.
type VMSize struct {
	// Cores is the processor time per second, in cores of one speed.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the bandwidth in megabits per second.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// LimitTolerance bounds by how much an account may exceed its rate limit. The
// requests in a window of length Window may exceed rate × Window + burst by the
// fraction Over and by Slack requests.
type LimitTolerance struct {
	Window clock.Millis
	Over   float64
	Slack  float64
}

// Validate returns one error for each invalid setting; none when all are valid. It
// checks only the addresses, Node, Partitions and StopWithin.
func (s GatewaySettings) Validate() (problems []error) {
	addresses := map[string]string{"listen": s.Listen, "ready listen": s.ReadyListen, "store": s.StoreAddress}
	for _, name := range []string{"listen", "ready listen", "store"} {
		if addresses[name] == "" {
			problems = append(problems, errors.Errorf("%s address is empty", name))
		}
	}
	if s.Node == "" {
		problems = append(problems, errors.New("node name is empty"))
	}
	if s.Partitions < 1 {
		problems = append(problems, errors.Errorf("number of partitions is %d, it must be at least 1", s.Partitions))
	}
	if s.StopWithin <= 0 {
		problems = append(problems, errors.Errorf("time to stop is %s, it must be positive", s.StopWithin))
	}
	return problems
}

// Codec translates between a platform's headers and records and the types of this
// package.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request. It fails when the request
	// must be refused whatever the configuration is.
	DecodeRequest(request *http.Request) (GatewayCall, error)
	// EncodeRequest returns the request line and the headers, in HTTP/1.1 form, of the
	// request to an endpoint. request is the caller's request.
	EncodeRequest(request *http.Request, send EndpointSend) []byte
	// DecodeResponse decodes the status and the headers of an endpoint's answer.
	DecodeResponse(status int, header http.Header) EndpointAnswer
	// DecodeEndpoint decodes a record of TopicEndpoints. It fails when the record does not
	// describe a usable endpoint.
	DecodeEndpoint(key string, value []byte) (EndpointRecord, error)
	// ResponseHeader returns those headers of an endpoint's answer that the gateway
	// forwards to the caller.
	ResponseHeader(header http.Header) http.Header
	// EncodeRolloutStatus returns the record of TopicMembers for the state of a rollout.
	EncodeRolloutStatus(status RolloutStatus) (key string, value []byte, err error)
}
