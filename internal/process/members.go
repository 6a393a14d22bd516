package process

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// settledRounds is how many rounds the members must stay the same before the
	// list on the log follows, so that a restart does not change it twice.
	settledRounds = 5
	// publishTimeout bounds one change of the list.
	publishTimeout = 5 * time.Second
)

// memberKeeper keeps the setting entry.member, from which the static parts of
// the accounts' rates are computed, in line with the entries that live.
type memberKeeper struct {
	log     spool.Log
	node    spool.NodeID
	control *control.Reader
	logger  *zap.Logger
	// seen are the live members of the last round, settled the number of rounds
	// since they changed.
	seen    []spool.NodeID
	settled int
}

func newMemberKeeper(log spool.Log, node spool.NodeID, reader *control.Reader, logger *zap.Logger) *memberKeeper {
	return &memberKeeper{log: log, node: node, control: reader, logger: logger}
}

// update publishes the difference between the live members and the list.
func (k *memberKeeper) update(ctx context.Context, live []spool.VM) {
	var members []spool.NodeID
	for _, vm := range live {
		members = append(members, vm.ID)
	}
	slices.Sort(members)
	if !slices.Equal(members, k.seen) {
		k.seen, k.settled = members, 0
	}
	k.settled++
	listed := k.control.Members()
	// The first list is published at once, so that a new system admits calls.
	if len(listed) > 0 && k.settled < settledRounds || slices.Equal(members, listed) {
		return
	}
	if err := k.publish(ctx, members, listed); err != nil {
		k.logger.Debug("member list was not published", zap.Error(err))
	}
}

func (k *memberKeeper) publish(ctx context.Context, members, listed []spool.NodeID) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	state, err := k.control.Copy()
	if err != nil {
		return err
	}
	publisher := control.NewPublisher(k.log, k.node, control.WithState(state))
	if err := publisher.Refresh(ctx); err != nil {
		return err
	}
	var changes []any
	for _, member := range members {
		if !slices.Contains(listed, member) {
			changes = append(changes, memberChange(member, "true"))
		}
	}
	for _, member := range listed {
		if !slices.Contains(members, member) {
			changes = append(changes, memberChange(member, "null"))
		}
	}
	_, err = publisher.Publish(ctx, changes...)
	return err
}

func memberChange(member spool.NodeID, value string) settings.Change {
	return settings.Change{
		Path: settings.Path{
			Target: settings.Target{Level: settings.LevelFleet}, Name: string(settings.EntryMember), Key: string(member),
		},
		Value: json.RawMessage(value),
	}
}
