// Package buffers bounds the memory that the buffers of all requests of a process take
// together, so that a few large requests or answers cannot end the process.
package buffers

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// FreeBytes is the size up to which the buffers of one request take nothing from the
	// pool, so that small requests go on while large ones fill it.
	FreeBytes = 64 << 10
	// initialBytes is the size of the first buffer of ReadAll if the size of the content is
	// not known. growth is the factor by which the next one is larger.
	initialBytes = 4 << 10
	growth       = 2
)

// Errors of reservations and reads.
var (
	// ErrExhausted means that the pool has not enough bytes left.
	ErrExhausted = errors.New("buffers of all requests are in use")
	// ErrTooLarge means that the content exceeds the maximum size.
	ErrTooLarge = errors.New("content is too large")
)

// Pool is the number of bytes that the buffers of all requests may take. It is safe for
// concurrent use.
type Pool struct {
	capacity int64
	// used never exceeds capacity.
	used atomic.Int64
}

// New returns a pool with a capacity in bytes.
func New(capacity int64) *Pool { return &Pool{capacity: capacity} }

// Used returns the number of bytes in use.
func (p *Pool) Used() int64 { return p.used.Load() }

// NewAccount returns the account of one request, without any bytes.
func (p *Pool) NewAccount() *Account { return &Account{pool: p} }

// take takes bytes from the pool and reports whether it had enough.
func (p *Pool) take(bytes int64) bool {
	for {
		used := p.used.Load()
		if bytes > p.capacity-used {
			return false
		}
		if p.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Account counts the buffers of one request. It is not safe for concurrent use.
type Account struct {
	pool *Pool
	// reserved is the size of the buffers. taken is the part that the pool has granted:
	// what exceeds FreeBytes.
	reserved, taken int64
}

// Reserve adds a buffer to the account. It fails with ErrExhausted and changes nothing if
// the pool has not enough bytes left.
func (a *Account) Reserve(bytes int64) error {
	missing := max(0, a.reserved+bytes-FreeBytes) - a.taken
	if missing > 0 && !a.pool.take(missing) {
		return ErrExhausted
	}
	a.reserved += bytes
	a.taken += max(0, missing)
	return nil
}

// Release returns all bytes to the pool. The account may be used again.
func (a *Account) Release() {
	a.pool.used.Add(-a.taken)
	a.reserved, a.taken = 0, 0
}

// ReadAll reads to the end, like io.ReadAll, and reserves the buffers that it allocates.
// expected is the size of the content; -1 if it is not known. ReadAll fails with
// ErrTooLarge if the content exceeds maxBytes, and with ErrExhausted if the pool does not
// grant a buffer. It then returns what it has read.
func (a *Account) ReadAll(source io.Reader, expected, maxBytes int64) (content []byte, err error) {
	for {
		if int64(len(content)) > maxBytes {
			return content, ErrTooLarge
		}
		if len(content) == cap(content) {
			if content, err = a.grow(content, expected, maxBytes); err != nil {
				return content, err
			}
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case err == io.EOF:
			return content, nil
		case err != nil:
			return content, err
		}
	}
}

// grow returns a copy of content with more capacity: at once that of the expected size, so
// that reads which cannot end do not take buffers from others. The old buffer stays
// reserved, since it may still be in memory. One more byte than the expected or the largest
// size lets the reader find the end.
func (a *Account) grow(content []byte, expected, maxBytes int64) (grown []byte, err error) {
	size := max(initialBytes, growth*int64(cap(content)))
	if expected >= int64(cap(content)) {
		size = expected + 1
	}
	size = max(min(size, maxBytes+1), int64(len(content))+1)
	if err := a.Reserve(size); err != nil {
		return content, err
	}
	return append(make([]byte, 0, size), content...), nil
}
