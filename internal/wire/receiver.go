package wire

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

// maxQueuedBytes bounds the chunks of one call that have come and are not taken.
const maxQueuedBytes = 8 << 20

// ErrSlow means that a call was given up because its chunks were not taken.
var ErrSlow = errors.New("chunks of the call were not taken")

// receiver passes the chunks of one call on until the call returns. The reader
// of the connection only queues them: if it waited for onChunk, one caller that
// stops reading would stop every call of the connection and its heartbeat.
type chunkReceiver struct {
	onChunk func(json.RawMessage) error
	// cancel ends the call with the error of onChunk.
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	queue       []json.RawMessage
	queuedBytes int
	// passing is closed by the goroutine that calls onChunk when the queue is
	// empty; nil while there is none.
	delivering chan struct{}
	// ended is set when the call returns or onChunk fails; later chunks are
	// dropped.
	stopped bool
	err     error
}

func (r *chunkReceiver) enqueue(chunk json.RawMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.onChunk == nil {
		return
	}
	if r.queuedBytes += len(chunk); r.queuedBytes > maxQueuedBytes {
		r.fail(ErrSlow)
		return
	}
	r.queue = append(r.queue, chunk)
	if r.delivering == nil {
		r.delivering = make(chan struct{})
		go func() { r.deliver() }()
	}
}

// pass calls onChunk with the queued chunks in order.
func (r *chunkReceiver) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && !r.stopped {
		chunk := r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
		err := r.onChunk(chunk)
		r.mu.Lock()
		r.queuedBytes -= len(chunk)
		if err != nil && !r.stopped {
			r.fail(err)
		}
	}
	close(r.delivering)
	r.delivering = nil
}

func (r *chunkReceiver) fail(err error) {
	r.stopped, r.err = true, err
	r.cancel(err)
}

// end waits until the chunks have been taken, and returns the error of onChunk.
// Those of a call that failed are dropped but for one that is being taken:
// without the wait, it could reach the caller after the first of the repeat.
func (r *chunkReceiver) wait(failed bool) error {
	r.mu.Lock()
	r.stopped = r.stopped || failed
	passing := r.delivering
	r.mu.Unlock()
	if passing != nil {
		<-passing
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.err
}
