package wire

import (
	"context"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// LongPoll returns the reply to a request as soon as there is new data, or when wait
// has elapsed. poll returns the current reply; ready reports whether the reply
// contains new data, and changed is closed on the next change of the data. LongPoll
// returns an error of poll at once, and ctx.Err() when ctx ends. process is the context
// of the answering process; when it ends, LongPoll returns a refusal with
// CodeShuttingDown.
func LongPoll[Reply any](ctx, process context.Context, wait clock.Millis, poll func() (reply Reply, ready bool, changed <-chan struct{}, err error)) (any, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for timedOut := false; ; {
		reply, ready, changed, err := poll()
		if err != nil {
			return nil, err
		}
		if timedOut || ready {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-process.Done():
			return nil, spool.Refuse(spool.CodeShuttingDown, "node is shutting down")
		}
	}
}
