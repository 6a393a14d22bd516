package wire

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

// maxQueuedBytes is the maximum size of the chunks of one call that have been
// received but not yet processed by onChunk.
const maxQueuedBytes = 8 << 20

// ErrSlow means that a call was cancelled because its caller processed the chunks
// too slowly.
var ErrSlowConsumer = errors.New("caller processes the chunks of the call too slowly")

// chunkReceiver queues the chunks of one call and delivers them to onChunk until
// the call returns. The connection's reader only queues chunks. If it waited for
// onChunk, one slow caller would block all calls of the connection and its
// heartbeat.
type chunkReceiver struct {
	onChunk func(json.RawMessage) error
	// cancel cancels the call with the error of onChunk or ErrSlow as the cause.
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	queue       []json.RawMessage
	queuedBytes int
	// delivering is closed by the delivering goroutine when it ends, because the
	// queue is empty or the receiver has stopped. It is nil while no such goroutine
	// runs.
	delivering chan struct{}
	// stopped is set when the call returns, onChunk fails or the queue overflows.
	// Later chunks are dropped.
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
		r.fail(ErrSlowConsumer)
		return
	}
	r.queue = append(r.queue, chunk)
	if r.delivering == nil {
		r.delivering = make(chan struct{})
		go func() { r.deliver() }()
	}
}

// deliver calls onChunk with the queued chunks in order.
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

// wait waits until onChunk has processed the queued chunks and returns the error
// that stopped the receiver, if any. If the call has failed, wait drops the queued
// chunks, but still waits for an onChunk call in progress. Without this wait, the
// chunk could reach the caller after the first chunk of a retry.
func (r *chunkReceiver) wait(failed bool) error {
	r.mu.Lock()
	r.stopped = r.stopped || failed
	done := r.delivering
	r.mu.Unlock()
	if done != nil {
		<-done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.err
}
