package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a client. A call that fails with spool.ErrNotSent provably did not
// reach the other process; with the others its fate is unknown.
var (
	// ErrLost means that the connection broke while the call was under way.
	ErrLost = errors.New("connection was lost")
	// ErrSilent means that the connection answered no heartbeat and was closed.
	ErrSilent = errors.New("connection went silent")
	// ErrCrossed means that the reply carried another call's correlation.
	ErrCrossed = errors.New("reply belongs to another call")
)

const (
	defaultDialTimeout = 1 * clock.Second
	defaultPingEvery   = 500 * clock.Millis(1)
	defaultSilentAfter = 2 * clock.Second
	defaultUnusedAfter = 30 * clock.Second
)

// Clients holds one connection per address and replaces those that break.
type Clients struct {
	tlsConfig   func() *tls.Config
	dialTimeout clock.Millis
	pingEvery   clock.Millis
	silentAfter clock.Millis
	unusedAfter clock.Millis
	prefix      string
	next        atomic.Uint64
	crossed     atomic.Uint64

	mu sync.Mutex
	// links maps an address to its connection; a closed one is never kept.
	links map[string]*link
	// dialing lets concurrent callers share one dial.
	dialing map[string]*dial
	closed  bool
}

// ClientOption changes a default of Clients.
type ClientOption func(*Clients)

// WithTLS makes new connections use the TLS configuration that config returns at
// the time; nil stands for plain TCP.
func WithTLS(config func() *tls.Config) ClientOption {
	return func(c *Clients) { c.tlsConfig = config }
}

// WithSilentAfter sets how long a connection may leave a heartbeat unanswered
// before it is closed and replaced, and how often heartbeats are sent.
func WithSilentAfter(silentAfter, pingEvery clock.Millis) ClientOption {
	return func(c *Clients) { c.silentAfter, c.pingEvery = silentAfter, pingEvery }
}

// WithUnusedAfter sets how long a connection is kept without calls.
func WithUnusedAfter(unusedAfter clock.Millis) ClientOption {
	return func(c *Clients) { c.unusedAfter = unusedAfter }
}

// NewClients returns an empty set of connections. node makes correlation ids
// unique among processes.
func NewClients(node spool.NodeID, options ...ClientOption) *Clients {
	clients := &Clients{
		tlsConfig:   func() *tls.Config { return nil },
		dialTimeout: defaultDialTimeout,
		pingEvery:   defaultPingEvery,
		silentAfter: defaultSilentAfter,
		unusedAfter: defaultUnusedAfter,
		prefix:      string(node) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		links:       map[string]*link{},
		dialing:     map[string]*dial{},
	}
	for _, option := range options {
		option(clients)
	}
	return clients
}

// Crossed counts replies and chunks that belonged to no call under way.
func (c *Clients) Crossed() uint64 { return c.crossed.Load() }

// Call sends one request to address and decodes the reply into result, which
// may be nil. onChunk, which may be nil, receives the chunks in order before
// Call returns and is never called afterwards. Cancelling ctx cancels the request at the other process. The
// error is a *spool.Refusal when the other process refused.
func (c *Clients) Call(ctx context.Context, address, method string, request, result any, onChunk func(json.RawMessage) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call %s at %s", method, address) }()
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	link, err := c.acquire(ctx, address)
	if err != nil {
		// The cause is kept: a refused connection proves that the process has ended.
		return multierr.Append(spool.ErrNotSent, err)
	}
	defer c.release(link)
	correlation := c.prefix + strconv.FormatUint(c.next.Add(1), 36)
	return link.call(ctx, method, envelope{Correlation: correlation, Body: body}, result, onChunk)
}

// Close closes every connection.
func (c *Clients) Close() {
	c.mu.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.closed = true
	c.mu.Unlock()
	for _, link := range links {
		link.close(ErrLost)
	}
}

// dial is one attempt to connect that several callers may wait for.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// acquire returns the connection to address and keeps it from being closed as
// idle until release.
func (c *Clients) acquire(ctx context.Context, address string) (*link, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		link, err := c.link(ctx, address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		kept := c.links[address] == link
		if kept {
			link.users++
		}
		c.mu.Unlock()
		if kept {
			return link, nil
		}
	}
}

func (c *Clients) release(link *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.users--
	link.usedAt = time.Now()
}

// dropUnused takes a connection out that no call has used for unusedAfter, so that
// heartbeats are not paid for every process that was ever called.
func (c *Clients) dropUnused(address string, idle *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle.users > 0 || time.Since(idle.usedAt) < c.unusedAfter.Duration() || c.links[address] != idle {
		return false
	}
	delete(c.links, address)
	return true
}

func (c *Clients) link(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("clients are closed")
	}
	if link := c.links[address]; link != nil {
		c.mu.Unlock()
		return link, nil
	}
	attempt := c.dialing[address]
	if attempt == nil {
		attempt = &dial{done: make(chan struct{})}
		c.dialing[address] = attempt
		go func() { c.dial(address, attempt) }()
	}
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.link, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Clients) dial(address string, attempt *dial) {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	var conn net.Conn
	var err error
	if config := c.tlsConfig(); config != nil {
		conn, err = tls.DialWithDialer(dialer, "tcp", address, config)
	} else {
		conn, err = dialer.Dial("tcp", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(attempt.done)
	delete(c.dialing, address)
	switch {
	case err != nil:
		attempt.err = err
	case c.closed:
		_ = conn.Close()
		attempt.err = errors.New("clients are closed")
	default:
		attempt.link = newLink(c, address, conn)
		c.links[address] = attempt.link
	}
}

func (c *Clients) drop(address string, broken *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == broken {
		delete(c.links, address)
	}
}

// link is the client's side of one connection.
type link struct {
	clients *Clients
	rpc     *jsonrpc2.Conn
	// heard is the time of the last sign of life, in nanoseconds.
	heard atomic.Int64
	// cause is why the link was closed; set before closed is closed.
	cause  error
	once   sync.Once
	closed chan struct{}
	// users counts the calls under way and usedAt is when the last one ended;
	// both are guarded by clients.mu.
	users  int
	usedAt time.Time

	mu sync.Mutex
	// chunks maps the correlation of each call under way to its receiver.
	chunks map[string]*receiver
}

func newLink(clients *Clients, address string, conn net.Conn) *link {
	l := &link{
		clients: clients, closed: make(chan struct{}), chunks: map[string]*receiver{}, usedAt: time.Now(),
	}
	l.heard.Store(time.Now().UnixNano())
	stream := newFrameStream(conn, l.receive)
	l.rpc = jsonrpc2.NewConn(context.Background(), stream, l, stream.options()...)
	go func() {
		ticker := time.NewTicker(clients.pingEvery.Duration())
		defer ticker.Stop()
		defer clients.drop(address, l)
		for {
			select {
			case <-l.rpc.DisconnectNotify():
				l.close(ErrLost)
				return
			case <-l.closed:
				return
			case <-ticker.C:
				if clients.dropUnused(address, l) {
					l.close(ErrLost)
					return
				}
				l.ping()
				if l.silent() {
					clients.drop(address, l)
					l.close(ErrSilent)
					return
				}
			}
		}
	}()
	return l
}

func (l *link) silent() bool {
	return time.Since(time.Unix(0, l.heard.Load())) > l.clients.silentAfter.Duration()
}

// ping sends a heartbeat without waiting for its answer.
func (l *link) ping() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.clients.silentAfter.Duration())
		defer cancel()
		var reply json.RawMessage
		if l.rpc.Call(ctx, methodPing, envelope{}.raw(), &reply) == nil {
			l.heard.Store(time.Now().UnixNano())
		}
	}()
}

func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cause = cause
		close(l.closed)
		go func() { _ = l.rpc.Close() }()
	})
}

// Handle takes chunks whose encoding the stream does not know. It runs on the
// connection's reader, as receive does, so chunks and the reply after them stay
// in order.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodChunk || request.Params == nil {
		return
	}
	if chunk, ok := envelopeOf(*request.Params); ok {
		l.receive(chunk)
	}
}

// receive passes a chunk to its call.
func (l *link) receive(chunk envelope) {
	l.heard.Store(time.Now().UnixNano())
	l.mu.Lock()
	to := l.chunks[chunk.Correlation]
	l.mu.Unlock()
	if to == nil {
		l.clients.crossed.Add(1)
		return
	}
	to.receive(chunk.Body)
}

func (l *link) call(ctx context.Context, method string, frame envelope, result any, onChunk func(json.RawMessage) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	chunks := &receiver{onChunk: onChunk, cancel: cancel}
	l.mu.Lock()
	l.chunks[frame.Correlation] = chunks
	l.mu.Unlock()
	body, err := l.exchange(ctx, method, frame)
	l.mu.Lock()
	delete(l.chunks, frame.Correlation)
	l.mu.Unlock()
	if slow := chunks.end(err != nil); err == nil {
		err = slow
	}
	if err != nil || result == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, result), "decode reply")
}

// exchange sends a request and waits for its reply, which follows every chunk.
func (l *link) exchange(ctx context.Context, method string, frame envelope) (body json.RawMessage, err error) {
	pending, err := l.rpc.DispatchCall(ctx, method, frame.raw())
	if err != nil {
		// The frame may have been written in part, so nothing is proved.
		return nil, l.failure(err)
	}
	var raw json.RawMessage
	// A closed connection ends every pending call.
	err = pending.Wait(ctx, &raw)
	if err != nil && ctx.Err() != nil {
		_ = l.rpc.Notify(context.Background(), methodCancel, envelope{Correlation: frame.Correlation}.raw())
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, l.failure(err)
	}
	reply, ok := envelopeOf(raw)
	if !ok || reply.Correlation != frame.Correlation {
		l.clients.crossed.Add(1)
		return nil, ErrCrossed
	}
	return reply.Body, nil
}

// failure turns the error of a call into a refusal or one of this package's
// errors.
func (l *link) failure(err error) error {
	reply := &jsonrpc2.Error{}
	if errors.As(err, &reply) {
		refusal := &spool.Refusal{}
		if reply.Data != nil && json.Unmarshal(*reply.Data, refusal) == nil && refusal.Code != "" {
			return refusal
		}
		return spool.Refuse(spool.CodeInternal, "%s", reply.Message).WithNotRun(spool.NotRunUnknown)
	}
	select {
	case <-l.closed:
		return l.cause
	default:
		return errors.Wrap(ErrLost, err.Error())
	}
}
