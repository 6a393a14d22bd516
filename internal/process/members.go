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
	// stableRounds is the number of consecutive calls of reconcile, periodicTaskInterval
	// apart, in which the live members must be the same before they are published. An
	// entry that is restarted within this time thus does not leave and join the list.
	stableRounds = 5
	// publishTimeout bounds one attempt to publish the members. The next call of
	// reconcile tries again.
	publishTimeout = 5 * time.Second
)

// memberPublisher keeps the setting entry.member equal to the list of live entries. It
// is true for each entry in the list and unset for all others. The static part of each
// account's rate is split evenly over the entries in the list.
type memberPublisher struct {
	log     spool.Log
	node    spool.NodeID
	control *control.Reader
	logger  *zap.Logger
	// lastMembers are the live members at the latest call of reconcile, sorted.
	lastMembers []spool.NodeID
	// unchangedRounds is the number of consecutive calls of reconcile with lastMembers,
	// including the latest.
	unchangedRounds int
}

func newMemberPublisher(log spool.Log, node spool.NodeID, reader *control.Reader, logger *zap.Logger) *memberPublisher {
	return &memberPublisher{log: log, node: node, control: reader, logger: logger}
}

// reconcile publishes the difference between the live members and the published list if
// the live members have been the same for stableRounds calls, or if the published list
// is empty. A failure is only logged.
func (p *memberPublisher) reconcile(ctx context.Context, liveVMs []spool.VM) {
	var members []spool.NodeID
	for _, vm := range liveVMs {
		members = append(members, vm.ID)
	}
	slices.Sort(members)
	if !slices.Equal(members, p.lastMembers) {
		p.lastMembers, p.unchangedRounds = members, 0
	}
	p.unchangedRounds++
	published := p.control.Members()
	// The first list is published at once, because a new system admits no calls without
	// members.
	if len(published) > 0 && p.unchangedRounds < stableRounds || slices.Equal(members, published) {
		return
	}
	if err := p.publish(ctx, members, published); err != nil {
		p.logger.Debug("member list could not be published", zap.Error(err))
	}
}

// publish publishes the changes of entry.member that turn published into members, as one
// batch.
func (p *memberPublisher) publish(ctx context.Context, members, published []spool.NodeID) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	state, err := p.control.CopyState()
	if err != nil {
		return err
	}
	publisher := control.NewPublisher(p.log, p.node, control.WithState(state))
	if err := publisher.Refresh(ctx); err != nil {
		return err
	}
	var changes []any
	for _, member := range members {
		if !slices.Contains(published, member) {
			changes = append(changes, memberChange(member, "true"))
		}
	}
	for _, member := range published {
		if !slices.Contains(members, member) {
			changes = append(changes, memberChange(member, "null"))
		}
	}
	_, err = publisher.Publish(ctx, changes...)
	return err
}

// memberChange returns the change that sets entry.member of one entry to value, in JSON;
// "null" unsets it.
func memberChange(member spool.NodeID, value string) settings.Change {
	return settings.Change{
		Path: settings.Path{
			Target: settings.Target{Level: settings.LevelFleet}, Name: string(settings.EntryMember), Key: string(member),
		},
		Value: json.RawMessage(value),
	}
}
