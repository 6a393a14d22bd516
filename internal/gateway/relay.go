package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The method names and the JSON names are part of the protocol between gateways. Some
// differ from the Go names, such as "gateway.nudge", "promise", "lifetime" and "whole":
// they are kept so that running gateways of other versions understand them.
const (
	// methodRelay asks a gateway for the records of a keyed topic.
	methodRelay = "gateway.relay"
	// methodAlive asks a gateway for its incarnation. The request may also ask the
	// gateway to vote or to stop granting.
	methodAlive = "gateway.alive"
	// methodPollMembers makes a gateway read the member topic at once.
	methodPollMembers = "gateway.nudge"
	// peerCallTimeout bounds one call to another gateway.
	peerCallTimeout = 400 * clock.Millis(1)
)

// errTopicNotRead is the answer to a relay request for a topic that this gateway does
// not follow or has not read yet.
var errTopicNotRead = errors.New("gateway has not read the topic yet")

// aliveRequest is the request of methodAlive. It is also a sign of contact: the
// receiver, if it is the owner of the pools, asks the sender for votes while the
// contact is recent.
type aliveRequest struct {
	// Address is the control address of the gateway that sends the query; empty if it
	// has none.
	Address string `json:"address"`
	// YieldEpoch is the epoch of a newer claim: the receiver should stop granting under
	// any earlier claim and hand over its pool levels and its reserve. 0 for no such
	// request.
	YieldEpoch spool.Epoch `json:"yield,omitempty"`
	// VoteEpoch is the epoch of the sender's claim if the sender owns the pools and the
	// store does not confirm its claim. It asks the receiver for a vote: to neither
	// claim the pools nor grant tokens for ownerAuthority. 0 for no request.
	VoteEpoch spool.Epoch `json:"promise,omitempty"`
}

// aliveReply is the answer to an aliveRequest.
type aliveReply struct {
	// Incarnation identifies the process that answers.
	Incarnation string `json:"lifetime"`
	// Voted reports whether the gateway voted as requested by VoteEpoch.
	Voted bool `json:"promised,omitempty"`
	// Leaving reports whether the gateway is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// ReserveUnused reports whether the gateway holds the budget reserve and has
	// granted nothing from it in the current generation.
	ReserveUnused bool `json:"unused,omitempty"`
	// PoolLevels holds the tokens in each pool, by account, if the gateway has stopped
	// granting because of this request; nil otherwise.
	PoolLevels json.RawMessage `json:"levels,omitempty"`
	// Generation is the generation of the reserve that the gateway hands over because
	// of YieldEpoch. ReserveSpent holds the tokens granted from that reserve, by
	// program; nil if no reserve is handed over.
	Generation   int                       `json:"generation,omitempty"`
	ReserveSpent map[spool.ProgramID]int64 `json:"reserve"`
}

// relayRequest is the request of methodRelay.
type relayRequest struct {
	Topic spool.Topic `json:"topic"`
	// From is the first offset that the requesting gateway has not read; -1 if it has
	// read none.
	From int64 `json:"from"`
}

// relayReply is the answer to a relayRequest.
type relayReply struct {
	// Records holds the newest record of each key that changed at or after From,
	// deletions included. If Complete is set, it holds the newest record of every key
	// that is not deleted.
	Records []relayRecord `json:"records"`
	// Next is the offset after the last record that the answering gateway has read. The
	// next request starts there.
	Next int64 `json:"next"`
	// Age is the age of the read of the store that the records reflect, measured from
	// when that read was sent. The answering gateway sent the read itself or learned of
	// it through other gateways.
	Age clock.Millis `json:"ageMs"`
	// Complete reports whether Records replaces all records that the requesting gateway
	// has. It is set if the answering gateway may not have seen every deletion since
	// From.
	Complete bool `json:"whole"`
}

// relayRecord is a record of a keyed topic. An empty Value means that the key was
// deleted.
type relayRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// relayHandlers returns the handlers of the methods in this file. methodRelay is
// answered from the records that the followers have read, without a call to the store.
func (s *sharedState) relayHandlers() wire.Mux {
	return wire.Mux{
		methodAlive: wire.Handle(func(_ context.Context, request aliveRequest, _ wire.Send) (any, error) {
			reply := s.gateway.limits.poolOwnership.handleQuery(request, s.gateway.limits.manager.HandOver)
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

// pollMembers makes this gateway read the member topic at once. It does not wait for
// the read.
func (s *sharedState) pollMembers() {
	for _, f := range s.followers {
		if f.topic == spool.TopicMembers {
			f.pollNow()
		}
	}
}

// pollMembersEverywhere makes all known gateways read the member topic at once. It does
// not wait for the reads. A failed call is not repeated, because every gateway reads
// the topic periodically.
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

// peerAddresses returns the addresses of the other gateways. While no other gateway is
// known, it returns the seeds without the own address.
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

// readFromPeer asks one other gateway for the records of a topic from the offset from
// on, as far as that gateway has read the topic. It fails after peerCallTimeout.
func (s *sharedState) readFromPeer(ctx context.Context, topic spool.Topic, from int64) (reply relayReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	err = s.gateway.callPeer(ctx, methodRelay, relayRequest{Topic: topic, From: from}, &reply)
	return reply, err
}
