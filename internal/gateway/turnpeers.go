package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// peerQueryTimeout bounds the query to gateways that may have served the turn.
	peerQueryTimeout = 150 * clock.Millis(1)
	// methodTurns asks a gateway for a turn and all earlier turns that it continues.
	methodTurns = "gateway.turns"
	// maxQueriedPeers bounds the number of gateways that are queried for one turn.
	maxQueriedPeers = 12
)

type turnsRequest struct {
	Turn string `json:"turn"`
}

type turnsReply struct {
	// Records holds the encoded turn and all earlier turns that it continues. It is
	// empty if the answering gateway does not have all of them in its index, or they
	// exceed maxTurnsReplyBytes.
	Records [][]byte `json:"records,omitempty"`
}

// fetchFromPeers asks other gateways for the history of a turn and adds the turns in
// their answer to the search.
func (s *turnStore) fetchFromPeers(ctx context.Context, search *turnSearch, id string) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout.Duration())
	defer cancel()
	for _, turn := range s.addRecords(s.queryPeers(ctx, id)) {
		search.add(turn)
	}
}

// queryTurns asks up to maxQueriedPeers randomly chosen gateways for the history of a
// turn and returns the first non-empty answer; nil if there is none.
func (g *Gateway) queryTurns(ctx context.Context, turn string) [][]byte {
	addresses := g.shared.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxQueriedPeers)]
	results := make(chan [][]byte, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply turnsReply
			// The error is ignored: a gateway that does not answer contributes no
			// records.
			_ = g.lookupClients.Call(ctx, address, methodTurns, turnsRequest{Turn: turn}, &reply, nil)
			results <- reply.Records
		}()
	}
	for range addresses {
		if records := <-results; len(records) > 0 {
			return records
		}
	}
	return nil
}
