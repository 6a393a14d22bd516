package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PoolOwner gives tests the ownership of the pools without a gateway.
type PoolOwner struct{ *poolOwner }

// NewPoolOwner returns the ownership as a gateway with the given lifetime sees it.
// No other gateway answers it.
func NewPoolOwner(node spool.NodeID, lifetime string, source clock.Clock) PoolOwner {
	silent := func(context.Context, string, aliveRequest) (aliveReply, error) { return aliveReply{}, errNoPeer }
	owner := newPoolOwner(spool.GatewaySettings{Node: node}, lifetime, nil, source, silent, zap.NewNop())
	owner.accounts = func() []spool.AccountID { return nil }
	return PoolOwner{poolOwner: owner}
}

// Observe takes a record in.
func (o PoolOwner) Observe(record string, offset int64) { o.observe([]byte(record), offset) }

// MarkGone says that the process of a lifetime has ended.
func (o PoolOwner) MarkGone(lifetime string) { o.markGone(lifetime) }

// Grants reports whether this gateway may grant.
func (o PoolOwner) Grants() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grants()
}

// Vacant reports whether a claim is to be written.
func (o PoolOwner) Vacant(live ...spool.NodeID) bool { return o.vacant(live) }

// Waits reports whether the next claim says that the owner before may still grant.
func (o PoolOwner) Waits() bool { return o.next().Waits }
