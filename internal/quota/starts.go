package quota

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// startCall asks the loop whether a program may start; this entry owns the pool of
// the account.
type startCall struct {
	account spool.AccountID
	start   limit.StartRequest
	reply   chan wire.StartReply
}

func (c startCall) apply(m *Manager, now clock.Millis) {
	state := m.currentAccount(now, c.account)
	admitted, retryAfter := state.owner.AdmitStart(now, c.start)
	c.reply <- wire.StartReply{Admitted: admitted, RetryAfter: retryAfter}
}

// AdmitStart asks the owner of an account's pool whether a program may start, and
// returns nil if it may. Call it only while the account is short of tokens. If the
// owner does not answer within leaseTimeout, the program is refused. Errors are of
// type *spool.Refusal.
func (m *Manager) AdmitStart(ctx context.Context, id spool.AccountID, start limit.StartRequest) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout.Duration())
	defer cancel()
	request := wire.StartRequest{Account: id, Program: start.Program, Requests: start.Requests, FinishIn: start.FinishIn}
	reply, err := callOwner(ctx, m, id, wire.MethodStart, request, m.serveStart)
	if err != nil {
		m.telemetry.CountEvent("startUnanswered")
		return m.rateLimitRefusal(id, 0)
	}
	if !reply.Admitted {
		return m.rateLimitRefusal(id, reply.RetryAfter)
	}
	m.telemetry.CountEvent("startAdmitted")
	return nil
}

// serveStart answers whether a program may start for an account whose pool this
// entry owns.
func (m *Manager) serveStart(ctx context.Context, request wire.StartRequest) (reply wire.StartReply, err error) {
	call := startCall{
		account: request.Account, reply: make(chan wire.StartReply, 1),
		start: limit.StartRequest{Program: request.Program, Requests: request.Requests, FinishIn: request.FinishIn},
	}
	if !m.enqueue(ctx, call) {
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
	select {
	case reply = <-call.reply:
		return reply, nil
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-m.ctx.Done():
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}
