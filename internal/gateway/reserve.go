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
	// methodReserve requests tokens of a program's budget from the gateway that holds
	// the reserve, or returns unused ones to it.
	methodReserve = "gateway.reserve"
	// reserveTimeout bounds one call of methodReserve.
	reserveTimeout = 300 * clock.Millis(1)
)

// Errors of the budget reserve.
var (
	// errNotReserveOwner means that this gateway does not hold the reserve or may not
	// grant from it yet, or that no gateway is known to hold it.
	errNotReserveOwner = errors.New("reserve is held by another gateway")
	// errReserveInactive means that the reserve grants nothing at present: the store
	// confirms the owner's claim, or not all gateways in contact have voted for the
	// owner since the last confirmation, or its authority has ended.
	errReserveInactive = errors.New("reserve is not in use")
)

type reserveRequest struct {
	Program spool.ProgramID `json:"program"`
	// Need is the least number of tokens that is granted, and Want the largest; Want is 0
	// in requests of earlier versions, which get Need. Budget is the whole token budget of
	// the program.
	Need   int64 `json:"need,omitempty"`
	Want   int64 `json:"want,omitempty"`
	Budget int64 `json:"budget,omitempty"`
	// Unused is the number of granted tokens that are returned. If it is positive, the
	// request returns tokens and Need is ignored.
	Unused int64 `json:"unused,omitempty"`
}

type reserveReply struct {
	Granted bool `json:"granted"`
	// Tokens is the number of granted tokens. It is 0 in answers of earlier versions,
	// which grant Need.
	Tokens int64 `json:"tokens,omitempty"`
}

// reserveClient obtains tokens of program budgets from the reserve, which the owner of
// the limit pools holds. It also serves the requests of other gateways if this one is
// the owner.
type reserveClient struct {
	ctx           context.Context
	poolOwnership *poolOwnership
	// call calls a method of the gateway at an address.
	call func(ctx context.Context, address, method string, request, reply any) error
	log  *zap.Logger
}

// handlers returns the handler of methodReserve.
func (c *reserveClient) handlers() wire.Mux {
	return wire.Mux{
		methodReserve: wire.Handle(func(_ context.Context, request reserveRequest, _ wire.Send) (any, error) {
			return c.handle(request)
		}),
	}
}

func (c *reserveClient) handle(request reserveRequest) (reply reserveReply, err error) {
	if request.Unused > 0 {
		return reply, c.poolOwnership.returnReserve(request.Program, request.Unused)
	}
	reply.Tokens, err = c.poolOwnership.takeReserve(request)
	reply.Granted = reply.Tokens > 0
	return reply, err
}

// take requests tokens of a program's budget from the reserve and returns how many it
// granted; 0 with a nil error means that the reserve of the program does not cover
// request.Need. It fails if the holder of the reserve cannot be reached or does not grant
// at present.
func (c *reserveClient) take(ctx context.Context, request reserveRequest) (granted int64, err error) {
	reply, err := c.send(ctx, request)
	if err != nil || !reply.Granted {
		return 0, err
	}
	if reply.Tokens == 0 {
		return request.Need, nil
	}
	return reply.Tokens, nil
}

// returnUnused returns tokens that a turn was granted and did not generate. It does not
// wait for a call to another gateway. If that call fails, the tokens stay charged as
// spent.
func (c *reserveClient) returnUnused(id spool.ProgramID, unused int64) {
	if unused <= 0 || c.poolOwnership.returnReserve(id, unused) == nil {
		return
	}
	go func() {
		if _, err := c.send(c.ctx, reserveRequest{Program: id, Unused: unused}); err != nil {
			c.log.Info("tokens of the reserve were not given back", zap.String("program", string(id)),
				zap.Int64("tokens", unused), zap.Error(err))
		}
	}()
}

// send handles the request here if this gateway owns the pools, and sends it to the
// owner otherwise.
func (c *reserveClient) send(ctx context.Context, request reserveRequest) (reply reserveReply, err error) {
	defer func() { err = errors.Wrap(err, "request to the reserve") }()
	node, address, known := c.poolOwnership.OwnerOf(spool.ProgramStream(0))
	switch {
	case !known:
		return reply, errNotReserveOwner
	case node == c.poolOwnership.self.Node:
		return c.handle(request)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout.Duration())
	defer cancel()
	err = c.call(ctx, address, methodReserve, request, &reply)
	return reply, err
}

// releaseReserveLocked stops the use of the reserve and keeps it in releasedReserve,
// from where a query of the next owner takes it. The caller holds mu.
func (o *poolOwnership) releaseReserveLocked() {
	if o.reserve != nil {
		o.releasedReserve, o.reserve = o.reserve, nil
	}
}

// takeReserve grants tokens of a program's budget from the reserve and returns how many;
// 0 if the reserve does not cover request.Need. It fails with errNotReserveOwner unless
// this gateway may grant and the newest claim names no earlier owners and the generation
// of its reserve. It fails with errReserveInactive unless all gateways in contact have
// voted since the last confirmation by the store: they then know that the reserve is in
// use.
func (o *poolOwnership) takeReserve(request reserveRequest) (granted int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.bootClock.Now()
	switch {
	case !o.prepareToGrantLocked() || len(o.newestClaim.EarlierOwners) > 0 || o.newestClaim.Generation != o.reserve.Generation():
		return 0, errNotReserveOwner
	case o.votedAt <= o.confirmedAt || now >= o.authorityStartLocked()+ownerAuthority:
		return 0, errReserveInactive
	}
	return o.reserve.Take(now, request.Program, request.Need, request.Want, request.Budget), nil
}

// returnReserve returns tokens to the reserve that were granted and not used. It fails
// with errNotReserveOwner if this gateway may not grant.
func (o *poolOwnership) returnReserve(id spool.ProgramID, tokens int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.prepareToGrantLocked() {
		return errNotReserveOwner
	}
	o.reserve.Return(o.bootClock.Now(), id, tokens)
	return nil
}

// expireReserve removes the programs from the reserve that have neither been granted
// nor returned tokens recently.
func (o *poolOwnership) expireReserve() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserve != nil {
		o.reserve.Expire(o.bootClock.Now())
	}
}
