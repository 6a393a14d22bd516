package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxPromptBytes bounds the size of a prompt with its history. Each VM can keep that much
	// in its index.
	maxPromptBytes = 8 << 20
	// historyTimeShare is the part of the time left after which the search for the history of
	// a turn ends. The rest is for the run.
	historyTimeShare = 0.75
)

// reserveRecord reserves the buffers of the records of a turn, so that a turn that cannot
// be kept does not run. It returns the reason for refusing the request; empty if there is
// none.
func (r *request) reserveRecord() spool.Code {
	if !r.route.KeepsHistory {
		return ""
	}
	if err := r.exchange.Buffers().Reserve(int64(len(r.exchange.Body()))); err != nil {
		r.refusalErr = err
		return reasonBuffersFull
	}
	return ""
}

// prependHistory puts the earlier turns of the program in front of the request body, if
// the route stores turns and the request continues one. It returns the reason for
// refusing the request; empty if there is none.
func (r *request) prependHistory(ctx context.Context) spool.Code {
	if !r.route.KeepsHistory || r.call.Previous == "" {
		return ""
	}
	timeout := clock.Millis(historyTimeShare * float64(r.deadline-r.gateway.clock.Now()))
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	turns, err := r.gateway.turns.history(ctx, r.account, r.call.Previous, r.historyMemory)
	switch {
	case errors.Is(err, errNoTurn):
		return reasonNoTurn
	case errors.Is(err, errHistoriesBusy):
		r.refusalErr = err
		return reasonHistoriesBusy
	case err != nil:
		r.refusalErr = err
		return reasonTurnUncertain
	}
	if textBytes(turns)+int64(len(r.exchange.Body())) > maxPromptBytes {
		return reasonPromptTooLarge
	}
	r.history = turns
	for _, turn := range turns {
		r.historyIDs = append(r.historyIDs, turn.ID)
	}
	r.body = chain.Prompt(turns, r.exchange.Body())
	return ""
}

// releaseHistory gives up the memory of the history once the caller has got a part of the
// answer and the endpoint the whole prompt: the request is not sent again then. A long stream
// would otherwise keep it from other requests.
func (r *request) releaseHistory(response *httpconn.Response) {
	if r.body == nil || !r.exchange.Started() || !response.RequestWritten() {
		return
	}
	r.body = nil
	r.history = r.gateway.turns.renewable(r.history, r.deadline, r.route.Retention)
	if len(r.history) == 0 {
		r.historyMemory.release()
	}
}

// storeTurn writes the turn with the data of its events to the store, and waits until
// it is durable.
func (r *request) storeTurn(ctx context.Context, output []byte) error {
	turn := &chain.Turn{
		ID: r.call.Attempt, Account: r.account, History: r.historyIDs, Input: r.exchange.Body(), Output: output,
		WrittenAt: r.gateway.clock.Now(), Retention: r.route.Retention,
	}
	return r.gateway.turns.append(ctx, turn, r.history)
}
