package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// methodRelay asks a gateway for the records of a keyed topic.
	methodRelay = "gateway.relay"
	// methodAlive asks a gateway for its incarnation.
	methodAlive = "gateway.alive"
	// methodPollMembers makes a gateway read the member topic at once.
	methodPollMembers = "gateway.nudge"
	// peerCallTimeout bounds one call to another gateway.
	peerCallTimeout = 400 * clock.Millis(1)
)

// errTopicNotRead means that a gateway has not read a topic yet.
var errTopicNotRead = errors.New("gateway has not read the topic yet")

type aliveRequest struct {
	// Address is the address of the gateway that sends the query.
	Address string `json:"address"`
	// Yield is the epoch of a claim in favor of which the receiver should stop
	// granting; 0 for none.
	YieldEpoch spool.Epoch `json:"yield,omitempty"`
	// Promise is the epoch of an owner that the store does not confirm. It requests a
	// vote: the receiver should neither claim the pools nor grant for a time. 0 for no
	// request.
	VoteEpoch spool.Epoch `json:"promise,omitempty"`
}

type aliveReply struct {
	Incarnation string `json:"lifetime"`
	Voted       bool   `json:"promised,omitempty"`
	// Leaving reports whether the gateway is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Unused reports whether the gateway holds the budget reserve and has granted
	// nothing from it.
	ReserveUnused bool `json:"unused,omitempty"`
	// Levels holds the pool levels of a gateway that has stopped granting.
	PoolLevels json.RawMessage `json:"levels,omitempty"`
	// Reserve holds the tokens that a gateway that has stopped granting took from the
	// reserve, by program; nil if it held no reserve. Generation is the generation of
	// that reserve.
	Generation   int                       `json:"generation,omitempty"`
	ReserveSpent map[spool.ProgramID]int64 `json:"reserve"`
}

type relayRequest struct {
	Topic spool.Topic `json:"topic"`
	// From is the first offset that the requesting gateway has not read; negative if
	// it has read none.
	From int64 `json:"from"`
}

type relayReply struct {
	Records []relayRecord `json:"records"`
	// Next is the offset after the last record that the answering gateway has read.
	Next int64 `json:"next"`
	// Age is the time since the answering gateway's last read of the store.
	Age clock.Millis `json:"ageMs"`
	// Whole reports whether Records holds the newest record of every key, and not only
	// the changes since From.
	Complete bool `json:"whole"`
}

type relayRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// relayHandlers returns the handlers that answer other gateways from the followers.
func (s *sharedState) relayHandlers() wire.Mux {
	return wire.Mux{
		methodAlive: wire.Handle(func(_ context.Context, request aliveRequest, _ wire.Send) (any, error) {
			reply := s.gateway.limits.owner.handleQuery(request, s.gateway.limits.manager.HandOver)
			reply.Leaving = s.leaving.Load()
			return reply, nil
		}),
		methodPollMembers: wire.Handle(func(context.Context, struct{}, wire.Send) (any, error) {
			s.pollMembers()
			return struct{}{}, nil
		}),
		methodRelay: wire.Handle(func(_ context.Context, request relayRequest, _ wire.Send) (any, error) {
			for _, f := range s.followers {
				if f.topic != request.Topic {
					continue
				}
				if reply, ok := f.recordsFrom(request.From); ok {
					return reply, nil
				}
			}
			return nil, errTopicNotRead
		}),
	}
}

func (s *sharedState) pollMembers() {
	for _, f := range s.followers {
		if f.topic == spool.TopicMembers {
			f.pollNow()
		}
	}
}

// pollMembersEverywhere makes all gateways read the member topic at once, this one
// first. It does not wait for the others, which poll the topic anyway.
func (s *sharedState) pollMembersEverywhere() {
	s.pollMembers()
	for _, address := range s.members.peerAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout.Duration())
			defer cancel()
			_ = s.gateway.peerClients.Call(ctx, address, methodPollMembers, struct{}{}, &struct{}{}, nil)
		}()
	}
}

// peerAddresses returns the addresses of other gateways, or the seeds while no other
// gateway is known.
func (s *sharedState) peerAddresses() (addresses []string) {
	if addresses = s.members.peerAddresses(); len(addresses) > 0 {
		return addresses
	}
	for _, seed := range *s.gateway.seeds.Load() {
		if seed != s.gateway.settings.ControlListen {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// readFromPeer asks another gateway for the records that it has read of a topic.
func (s *sharedState) readFromPeer(ctx context.Context, topic spool.Topic, from int64) (reply relayReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	err = s.gateway.callPeer(ctx, methodRelay, relayRequest{Topic: topic, From: from}, &reply)
	return reply, err
}
