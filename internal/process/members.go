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
	// stableRounds is the number of rounds, periodicTaskInterval apart, for which the
	// live members must stay the same before the list on the log is updated. A short
	// restart thus does not change the list twice.
	stableRounds = 5
	// publishTimeout bounds the publishing of one change of the list.
	publishTimeout = 5 * time.Second
)

// memberPublisher publishes the setting entry.member, which lists the live entries.
// The static parts of the accounts' rates are computed from this list.
type memberPublisher struct {
	log     spool.Log
	node    spool.NodeID
	control *control.Reader
	logger  *zap.Logger
	// lastMembers are the live members of the last round.
	lastMembers []spool.NodeID
	// unchangedRounds is the number of rounds with these members.
	unchangedRounds int
}

func newMemberPublisher(log spool.Log, node spool.NodeID, reader *control.Reader, logger *zap.Logger) *memberPublisher {
	return &memberPublisher{log: log, node: node, control: reader, logger: logger}
}

// reconcile publishes the difference between the live members and the published
// list once the live members are stable.
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
	// The first list is published at once, so that a new system admits calls.
	if len(published) > 0 && p.unchangedRounds < stableRounds || slices.Equal(members, published) {
		return
	}
	if err := p.publish(ctx, members, published); err != nil {
		p.logger.Debug("member list could not be published", zap.Error(err))
	}
}

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

func memberChange(member spool.NodeID, value string) settings.Change {
	return settings.Change{
		Path: settings.Path{
			Target: settings.Target{Level: settings.LevelFleet}, Name: string(settings.EntryMember), Key: string(member),
		},
		Value: json.RawMessage(value),
	}
}
