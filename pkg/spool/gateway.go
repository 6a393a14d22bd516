package spool

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Topic is one of the logs that gateways share.
type Topic string

// The topics. Those of operators, endpoints and members keep the newest record
// of each key and have one partition.
const (
	TopicOperator  Topic = "operator"
	TopicEndpoints Topic = "endpoints"
	TopicMembers   Topic = "members"
	TopicTurns     Topic = "turns"
	TopicBudgets   Topic = "budgets"
)

// Partition is a part of a topic with an order of its own.
type Partition struct {
	Topic Topic
	Index int
}

// String returns the topic and the index.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Index) }

// LogPage is the answer to a read of a partition.
type LogPage struct {
	// From is the offset of the first record.
	From int64
	// First is the first offset that is still kept.
	First int64
	// End is the offset after the last record of the partition.
	End int64
	// Records are in order, without gaps.
	Records [][]byte
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the linearizable log service that gateways share. Its errors wrap
// ErrLogUnavailable when nothing was done and ErrOutcomeUnknown when an append may
// have taken effect or may still do so.
type Store interface {
	// Append adds records to the end of a partition, all or none, and returns the
	// offset of the first.
	Append(ctx context.Context, partition Partition, records [][]byte) (offset int64, err error)
	// AppendKeyed replaces the record of a key.
	AppendKeyed(ctx context.Context, topic Topic, key string, value []byte) error
	// AppendKeyedAt is AppendKeyed on the condition that the topic ends at an offset.
	// It fails with ErrMoved when the topic does not.
	AppendKeyedAt(ctx context.Context, topic Topic, key string, value []byte, end int64) error
	// Read returns records from an offset on and waits for up to wait when there
	// are none. It fails with ErrTrimmed, and then names the first offset kept.
	Read(ctx context.Context, partition Partition, from int64, wait clock.Millis) (LogPage, error)
	// Newest returns the newest record of each key, and an offset from which a read
	// finds every later change.
	Newest(ctx context.Context, topic Topic) (records []KeyedRecord, end int64, err error)
	// SplitKeyed splits a record of a keyed topic; an empty value drops the key.
	SplitKeyed(record []byte) (key string, value []byte, ok bool)
}

// EndpointRecord is what an endpoint says of itself.
type EndpointRecord struct {
	ID            EndpointID
	Service       ServiceName
	Address       string
	FailureDomain FailureDomain
	// Slots is the number of requests that run at once.
	Slots    int
	Draining bool
	// ColdFor is how long the endpoint stays cold after it wrote the record.
	ColdFor clock.Millis
	// Sequence increases with each record of one start.
	Sequence int64
	// StartedAt is the endpoint's clock at its start; 0 when unknown.
	StartedAt clock.Millis
}

// GatewayCall is what a caller says in the headers of a request.
type GatewayCall struct {
	// Attempt identifies the request.
	Attempt string
	Method  string
	// Target is the request target as it was sent, Path its decoded path.
	Target string
	Host   string
	Path   string
	// Key is the caller's key; empty for none.
	Key string
	// TimeLeft is how long the caller waits; 0 when not said.
	TimeLeft clock.Millis
	// Program and Session are set for requests of an agent program.
	Program ProgramID
	Session string
	// FinishIn is the time until the program should be finished.
	FinishIn clock.Millis
	// TokenBudget is what all turns of the program may generate; 0 for no budget.
	TokenBudget     int64
	PromptTokens    int64
	MaxOutputTokens int64
	// Previous is the turn that this one continues; empty for a first turn.
	Previous string
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
}

// EndpointSend is what a gateway adds to a request to an endpoint.
type EndpointSend struct {
	// Endpoint is the start that may run the request; another refuses it.
	Endpoint EndpointID
	Account  AccountID
	TimeLeft clock.Millis
	// Urgency is 0 for the most urgent; negative to leave it out.
	Urgency     int
	ResumeAfter string
	BodyBytes   int
}

// EndpointAnswer is what the headers of an endpoint's answer say.
type EndpointAnswer struct {
	// Attempt is the request that is answered.
	Attempt string
	// Sealed says that the endpoint vouches for the body.
	Sealed bool
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// Misdirected says that the endpoint is another start than the expected one.
	Misdirected bool
	// ColdFor is how long the endpoint is cold; 0 when not said.
	ColdFor clock.Millis
	// Leaving says that the endpoint closes the connection.
	Leaving bool
}

// ErrBadRecord means that a record of another writer cannot be used.
var ErrBadRecord = errors.New("record cannot be used")

// GatewaySettings is what a gateway is told at its start.
type GatewaySettings struct {
	Node          NodeID
	IP            string
	FailureDomain FailureDomain
	Region        Region
	// Listen takes requests, ReadyListen the balancer's questions and the metrics,
	// ControlListen messages of other gateways.
	Listen        string
	ReadyListen   string
	ControlListen string
	// Seeds are control addresses of gateways that may be stale.
	Seeds []string
	// FirstStart says that no process of the deployment has run before.
	FirstStart   bool
	StoreAddress string
	// Partitions is the number of partitions of a topic.
	Partitions     int
	MaxRecordBytes int
	MaxAppendBytes int
	// EndpointHeartbeat is the interval at which endpoints write their record.
	EndpointHeartbeat clock.Millis
	// DrainWithin is the time in which a leaving endpoint gets no more requests,
	// ConfigWithin that in which a configuration is in force everywhere, and
	// StopWithin the time from SIGTERM to SIGKILL.
	DrainWithin  clock.Millis
	ConfigWithin clock.Millis
	StopWithin   clock.Millis
	// LimitTolerance is how the requests of an account are counted.
	LimitTolerance LimitTolerance
	// FirstPort and LastPort bound the ports for messages between gateways.
	FirstPort, LastPort int
	// MemoryMB is the memory of the process.
	MemoryMB int64
}

// LimitTolerance is how requests over the limit of an account are counted: those of
// a window may exceed rate times window plus burst by the part Over and by Slack
// requests.
type LimitTolerance struct {
	Window clock.Millis
	Over   float64
	Slack  float64
}

// Validate returns every setting that cannot be used.
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

// Codec translates between a platform's headers and records and these types.
type Codec interface {
	// DecodeRequest fails when the request cannot be served whatever is configured.
	DecodeRequest(request *http.Request) (GatewayCall, error)
	// EncodeRequest returns the head of the request to an endpoint.
	EncodeRequest(request *http.Request, send EndpointSend) []byte
	DecodeAnswer(status int, header http.Header) EndpointAnswer
	// DecodeEndpoint fails when the record names no endpoint to use.
	DecodeEndpoint(key string, value []byte) (EndpointRecord, error)
	// AnswerHeader returns what of an endpoint's headers goes to the caller.
	AnswerHeader(header http.Header) http.Header
}
