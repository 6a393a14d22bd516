package wire

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

// maxQueuedBytes is the maximum total size of the chunks of one call that have been
// received but not yet processed by onChunk. A call that exceeds it fails with
// ErrSlowConsumer.
const maxQueuedBytes = 8 << 20

// ErrSlowConsumer means that a call was cancelled because more than 8 MiB of its chunks
// waited to be processed by the caller's onChunk.
var ErrSlowConsumer = errors.New("caller processes the chunks of the call too slowly")

// chunkReceiver queues the chunks of one call and passes them to onChunk until the
// call returns. The goroutine that reads the connection only adds chunks to the queue;
// another goroutine calls onChunk. If the reading goroutine waited for onChunk, one slow
// caller would block all calls and the heartbeat of the connection.
type chunkReceiver struct {
	onChunk func(json.RawMessage) error
	// cancel cancels the call. Its argument is the error of onChunk, or
	// ErrSlowConsumer.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	queue []json.RawMessage
	// queuedBytes is the size in bytes of the chunks in queue and of the chunk that
	// onChunk is processing.
	queuedBytes int
	// delivering is closed when the goroutine that runs deliver ends, because the queue
	// is empty or stopped is set. It is nil while no such goroutine runs.
	delivering chan struct{}
	// stopped is set when the call returns, onChunk fails or queuedBytes exceeds
	// maxQueuedBytes. Chunks that are queued or arrive later are then dropped.
	stopped bool
	// err is the error of onChunk, or ErrSlowConsumer; nil if neither occurred.
	err error
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

// deliver calls onChunk with the queued chunks in order, until the queue is empty or
// stopped is set.
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

// wait waits until onChunk has processed the queued chunks, stops the receiver and
// returns err. failed reports that the call has failed. In that case wait drops the
// queued chunks, but still waits until a running onChunk has returned. Without this
// wait, that chunk could reach the caller after the first chunk of a retry of the call.
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
