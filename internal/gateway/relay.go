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
	// methodAlive asks a gateway for its lifetime.
	methodAlive = "gateway.alive"
	// methodNudge makes a gateway read the members' topic at once.
	methodPollMembers = "gateway.nudge"
	// relayTimeout bounds one call to another gateway.
	peerCallTimeout = 400 * clock.Millis(1)
)

// errNotRead means that a gateway has not read a topic yet.
var errTopicNotRead = errors.New("topic has not been read")

type aliveRequest struct {
	// Address is where the asking gateway answers.
	Address string `json:"address"`
	// Yield is the epoch of a claim in whose favour the gateway is to stop granting;
	// 0 for none.
	Yield spool.Epoch `json:"yield,omitempty"`
	// Promise is the epoch of an owner that the store does not confirm and that asks
	// the gateway neither to claim the pools nor to grant for a time; 0 for none.
	Promise spool.Epoch `json:"promise,omitempty"`
}

type aliveReply struct {
	Lifetime string `json:"lifetime"`
	Promised bool   `json:"promised,omitempty"`
	// Leaving says that the gateway stops.
	Leaving bool `json:"leaving,omitempty"`
	// Unused says that the gateway holds the reserve of budgets and has granted nothing
	// of it.
	Unused bool `json:"unused,omitempty"`
	// Levels are what the pools of a gateway that stopped granting held.
	Levels json.RawMessage `json:"levels,omitempty"`
	// Reserve is what a gateway that stopped granting has granted of programs' budgets,
	// in a generation of the reserve; nil when it held none.
	Generation int                       `json:"generation,omitempty"`
	Reserve    map[spool.ProgramID]int64 `json:"reserve"`
}

type relayRequest struct {
	Topic spool.Topic `json:"topic"`
	// From is the first offset that the asking gateway has not seen; negative when
	// it has seen none.
	From int64 `json:"from"`
}

type relayReply struct {
	Records []relayRecord `json:"records"`
	// Next is the offset after the last record that the answering gateway has seen.
	Next int64 `json:"next"`
	// Age is the time since the answering gateway's last read of the store.
	Age clock.Millis `json:"ageMs"`
	// Whole says that the records are all there are, and not only changes.
	Whole bool `json:"whole"`
}

type relayRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// relayHandlers answers other gateways from the followers.
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

// nudgeAll makes all gateways read the members' topic, this one first. It does not
// wait for the others, which read it soon in any case.
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

// peerAddresses returns where other gateways may answer.
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

// relay asks another gateway for what it has read of a topic.
func (s *sharedState) readFromPeer(ctx context.Context, topic spool.Topic, from int64) (reply relayReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	err = s.gateway.callPeer(ctx, methodRelay, relayRequest{Topic: topic, From: from}, &reply)
	return reply, err
}
