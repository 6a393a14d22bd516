package gateway

import (
	"context"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// withIdleTimeout returns a context that ends with context.DeadlineExceeded as its cause
// when restart has not been called for a timeout. cancel releases its timer.
func withIdleTimeout(ctx context.Context, timeout clock.Millis) (idle context.Context, restart, cancel func()) {
	idle, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout.Duration(), func() { end(context.DeadlineExceeded) })
	restart = func() { timer.Reset(timeout.Duration()) }
	cancel = func() {
		timer.Stop()
		end(context.Canceled)
	}
	return idle, restart, cancel
}
