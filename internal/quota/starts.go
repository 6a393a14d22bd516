package quota

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// startQuestion asks whether a program may begin.
type startQuestion struct {
	account spool.AccountID
	start   limit.Start
	answer  chan wire.StartReply
}

func (q startQuestion) apply(m *Manager, now clock.Millis) {
	state := m.account(now, q.account)
	admitted, retryAfter := state.owner.Start(now, q.start)
	q.answer <- wire.StartReply{Admitted: admitted, RetryAfter: retryAfter}
}

// Start asks the owner of an account's pool whether a program may begin while the
// account is short of tokens. It fails with a *spool.Refusal.
func (m *Manager) Start(ctx context.Context, id spool.AccountID, start limit.Start) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout.Duration())
	defer cancel()
	request := wire.StartRequest{Account: id, Program: start.Program, Requests: start.Requests, FinishIn: start.FinishIn}
	reply, err := askOwner(ctx, m, id, wire.MethodStart, request, m.start)
	if err != nil {
		m.telemetry.Event("startUnanswered")
		return m.refuse(id, 0)
	}
	if !reply.Admitted {
		return m.refuse(id, reply.RetryAfter)
	}
	m.telemetry.Event("startAdmitted")
	return nil
}

// start answers for the pool that this entry owns.
func (m *Manager) start(ctx context.Context, request wire.StartRequest) (reply wire.StartReply, err error) {
	question := startQuestion{
		account: request.Account, answer: make(chan wire.StartReply, 1),
		start: limit.Start{Program: request.Program, Requests: request.Requests, FinishIn: request.FinishIn},
	}
	if !m.post(ctx, question) {
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
	select {
	case reply = <-question.answer:
		return reply, nil
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-m.ctx.Done():
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}
