package gateway

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// methodReserve takes tokens of a program's budget from the holder of the reserve,
	// or returns unused ones.
	methodReserve = "gateway.reserve"
	// reserveTimeout bounds one such call.
	reserveTimeout = 300 * clock.Millis(1)
)

// Errors of the budget reserve.
var (
	// errNotReserveOwner means that this gateway does not hold the reserve.
	errNotReserveOwner = errors.New("reserve is held by another gateway")
	// errReserveInactive means that the store confirms the owner, or that not all
	// gateways in contact have voted for it.
	errReserveInactive = errors.New("reserve is not in use")
)

type reserveRequest struct {
	Program spool.ProgramID `json:"program"`
	Need    int64           `json:"need,omitempty"`
	Budget  int64           `json:"budget,omitempty"`
	// Unused is the number of granted tokens that are returned.
	Unused int64 `json:"unused,omitempty"`
}

type reserveReply struct {
	Granted bool `json:"granted"`
}

// reserveClient takes tokens of program budgets from the reserve, which is held by the
// owner of the limit pools.
type reserveClient struct {
	ctx   context.Context
	owner *poolOwner
	call  func(ctx context.Context, address, method string, request, reply any) error
	log   *zap.Logger
}

// handlers returns the handler for requests from other gateways.
func (c *reserveClient) handlers() wire.Mux {
	return wire.Mux{
		methodReserve: wire.Handle(func(_ context.Context, request reserveRequest, _ wire.Send) (any, error) {
			return c.handle(request)
		}),
	}
}

func (c *reserveClient) handle(request reserveRequest) (reply reserveReply, err error) {
	if request.Unused > 0 {
		return reply, c.owner.returnReserve(request.Program, request.Unused)
	}
	reply.Granted, err = c.owner.takeReserve(request.Program, request.Need, request.Budget)
	return reply, err
}

// take reports whether the reserve granted need tokens of a program's budget. It fails
// if no gateway can grant from the reserve.
func (c *reserveClient) take(ctx context.Context, id spool.ProgramID, need, budget int64) (granted bool, err error) {
	reply, err := c.send(ctx, reserveRequest{Program: id, Need: need, Budget: budget})
	return reply.Granted, err
}

// returnUnused returns tokens that a turn has not used. If that fails, they stay
// counted as spent.
func (c *reserveClient) returnUnused(id spool.ProgramID, unused int64) {
	if unused <= 0 || c.owner.returnReserve(id, unused) == nil {
		return
	}
	go func() {
		if _, err := c.send(c.ctx, reserveRequest{Program: id, Unused: unused}); err != nil {
			c.log.Info("tokens of the reserve were not given back", zap.String("program", string(id)),
				zap.Int64("tokens", unused), zap.Error(err))
		}
	}()
}

func (c *reserveClient) send(ctx context.Context, request reserveRequest) (reply reserveReply, err error) {
	defer func() { err = errors.Wrap(err, "request to the reserve") }()
	node, address, known := c.owner.OwnerOf(spool.ProgramStream(0))
	switch {
	case !known:
		return reply, errNotReserveOwner
	case node == c.owner.self.Node:
		return c.handle(request)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout.Duration())
	defer cancel()
	err = c.call(ctx, address, methodReserve, request, &reply)
	return reply, err
}

// releaseReserveLocked stops the use of the reserve and keeps it for the next owner.
// The caller holds mu.
func (o *poolOwner) releaseReserveLocked() {
	if o.reserve != nil {
		o.releasedReserve, o.reserve = o.reserve, nil
	}
}

// takeReserve grants tokens of a program's budget from the reserve. It fails with
// errNotReserveOwner unless this gateway holds the reserve and the newest claim record
// says so. It fails with errReserveInactive unless every possible successor knows that
// the reserve is in use.
func (o *poolOwner) takeReserve(id spool.ProgramID, need, budget int64) (granted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.bootClock.Now()
	switch {
	case !o.canGrantLocked() || len(o.claim.EarlierOwners) > 0 || o.claim.Generation != o.reserve.Generation():
		return false, errNotReserveOwner
	case o.votedAt <= o.confirmedAt || now >= o.authorityStartLocked()+ownerAuthority:
		return false, errReserveInactive
	}
	return o.reserve.Take(now, id, need, budget), nil
}

// returnReserve returns tokens to the reserve that were granted and not used.
func (o *poolOwner) returnReserve(id spool.ProgramID, tokens int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.canGrantLocked() {
		return errNotReserveOwner
	}
	o.reserve.Return(o.bootClock.Now(), id, tokens)
	return nil
}

// expireReserve removes programs without a recent grant from the reserve.
func (o *poolOwner) expireReserve() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserve != nil {
		o.reserve.Expire(o.bootClock.Now())
	}
}
