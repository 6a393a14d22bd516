package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LogFaults are the fault settings of the log.
type LogFaults struct {
	// Down makes every append and read fail without effect.
	Down bool `json:"down"`
	// SlowMs is the delay of every append.
	SlowMs clock.Millis `json:"slowMs"`
	// ResponseLossRate is the share of appends, 0 to 1, that take effect without a
	// response.
	ResponseLossRate float64 `json:"loseAnswers"`
	// RetainBatches is the number of newest batches that a stream keeps when a batch is
	// appended to it; 0 keeps all.
	RetainBatches int `json:"retainBatches"`
}

// LogStats holds the counters of the log. Appends counts appended batches, Bytes their
// total size in JSON. Reads counts the lookups of reads: a read that waits for new data
// looks more than once.
type LogStats struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
	Reads   int64 `json:"reads"`
}

// Log simulates the platform's log in memory. It implements spool.Log, so that
// tests can use it without a network.
type Log struct {
	clock clock.Clock

	mu      sync.Mutex
	faults  LogFaults
	stats   LogStats
	random  *rand.Rand
	streams map[spool.Stream]*logStream
}

var _ spool.Log = (*Log)(nil)

// logStream holds the retained batches of one stream. Offsets begin at 1.
type logStream struct {
	// first is the offset of batches[0].
	first   spool.Offset
	batches []spool.Batch
	// newData is closed and replaced whenever a batch is appended.
	newData chan struct{}
}

// NewLog returns an empty log without faults. seed determines which responses are lost
// at a given ResponseLossRate.
func NewLog(seed uint64) *Log {
	return &Log{
		clock:   clock.System(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		streams: map[spool.Stream]*logStream{},
	}
}

// Faults returns the current fault settings.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the fault settings.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Stats returns the counters.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Batches returns every retained batch of a stream.
func (l *Log) Batches(stream spool.Stream) []spool.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]spool.Batch(nil), l.stream(stream).batches...)
}

// stream returns a stream, which it creates if necessary. l.mu must be locked.
func (l *Log) stream(name spool.Stream) *logStream {
	stream := l.streams[name]
	if stream == nil {
		stream = &logStream{first: 1, newData: make(chan struct{})}
		l.streams[name] = stream
	}
	return stream
}

// Append appends a batch to a stream and returns its offset. spool.ErrLogUnavailable
// means that nothing was appended. After spool.ErrOutcomeUnknown, the batch may or may
// not have been appended.
func (l *Log) Append(ctx context.Context, name spool.Stream, batch spool.Batch) (spool.Offset, error) {
	faults := l.Faults()
	if faults.Down {
		return 0, spool.ErrLogUnavailable
	}
	select {
	case <-time.After(faults.SlowMs.Duration()):
	case <-ctx.Done():
		return 0, spool.ErrOutcomeUnknown
	}
	encoded, err := json.Marshal(batch)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	batch.Offset = stream.first + spool.Offset(len(stream.batches))
	stream.batches = append(stream.batches, batch)
	l.stats.Appends++
	l.stats.Bytes += int64(len(encoded))
	if keep := l.faults.RetainBatches; keep > 0 && len(stream.batches) > keep {
		drop := len(stream.batches) - keep
		stream.batches = append([]spool.Batch(nil), stream.batches[drop:]...)
		stream.first += spool.Offset(drop)
	}
	close(stream.newData)
	stream.newData = make(chan struct{})
	if l.random.Float64() < l.faults.ResponseLossRate {
		return 0, spool.ErrOutcomeUnknown
	}
	return batch.Offset, nil
}

// Read returns up to maxPageBatches batches after the given offset. If there are none,
// it waits up to wait for the next batch; the page may then be empty. It fails with
// spool.ErrTrimmed, and a page without batches, when the stream no longer keeps the
// first batch after the offset, and with spool.ErrLogUnavailable when the log is down or
// ctx ends.
func (l *Log) Read(ctx context.Context, name spool.Stream, after spool.Offset, wait clock.Millis) (spool.Page, error) {
	deadline := time.After(wait.Duration())
	for {
		page, newData, err := l.readPage(name, after)
		if err != nil || len(page.Batches) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-newData:
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			return spool.Page{}, spool.ErrLogUnavailable
		}
	}
}

// maxPageBatches bounds the number of batches in the result of one read.
const maxPageBatches = 512

// readPage returns the batches after an offset without waiting, and the channel that is
// closed when the next batch is appended.
func (l *Log) readPage(name spool.Stream, after spool.Offset) (spool.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return spool.Page{}, nil, spool.ErrLogUnavailable
	}
	l.stats.Reads++
	stream := l.stream(name)
	page := spool.Page{First: stream.first, Last: stream.first + spool.Offset(len(stream.batches)) - 1}
	if after+1 < stream.first {
		return page, stream.newData, spool.ErrTrimmed
	}
	if after < page.Last {
		batches := stream.batches[after+1-stream.first:]
		page.Batches = append(page.Batches, batches[:min(len(batches), maxPageBatches)]...)
	}
	return page, stream.newData, nil
}

// ServeLog serves the log over HTTP. The control port serves the fault settings
// at / and the counters at /stats; it is absent when control is empty.
func ServeLog(log *Log, address, control string) (*Server, error) {
	faults := controlHandler(log.Faults, log.SetFaults)
	return Serve(address, control, log.handle, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/stats" {
			reply(ctx, log.Stats())
			return
		}
		faults(ctx)
	})
}

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.Path()), "/v1/streams/")
	if !ok || name == "" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		l.handleAppend(ctx, spool.Stream(name))
		return
	}
	after := ctx.QueryArgs().GetUintOrZero("after")
	wait := ctx.QueryArgs().GetUintOrZero("waitMs")
	page, err := l.Read(ctx, spool.Stream(name), spool.Offset(after), clock.Millis(wait))
	if err != nil && page.First == 0 {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	reply(ctx, page)
}

// appendAnswer is the response to an append.
type appendAnswer struct {
	Offset spool.Offset `json:"offset"`
}

// handleAppend handles an append. On spool.ErrOutcomeUnknown, it closes the connection
// without a response.
func (l *Log) handleAppend(ctx *fasthttp.RequestCtx, name spool.Stream) {
	var batch spool.Batch
	if err := json.Unmarshal(ctx.PostBody(), &batch); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	offset, err := l.Append(context.Background(), name, batch)
	switch err {
	case nil:
		reply(ctx, appendAnswer{Offset: offset})
	case spool.ErrOutcomeUnknown:
		// Without a response, the client cannot know the outcome either.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	default:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}
