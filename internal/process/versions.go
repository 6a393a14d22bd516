package process

import (
	"strings"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// limitPrefix starts the names of the settings that limits depend on.
const limitPrefix = "limit."

// versionsOf returns an observer of the control stream that passes every change
// of limits and members on.
func versionsOf(place settings.Scope, pass func(quota.Version)) control.Observer {
	first := true
	return func(batch *spool.Batch, state *control.State) {
		if batch == nil || first {
			first = false
			pass(wholeVersion(place, state))
			return
		}
		if version, changed := versionOf(place, *batch, state); changed {
			pass(version)
		}
	}
}

// wholeVersion is the first version, or that after batches that were not seen.
func wholeVersion(place settings.Scope, state *control.State) quota.Version {
	return quota.Version{
		Skipped: true, Members: membersOf(state),
		Limits: limitsOfAll(place, state), Others: limitsAt(place, state, ""),
	}
}

// versionOf returns what a batch changes, and false when that is nothing.
func versionOf(place settings.Scope, batch spool.Batch, state *control.State) (version quota.Version, changed bool) {
	version.Limits = map[spool.AccountID]limit.Config{}
	for _, record := range batch.Records {
		content, err := control.DecodeRecord(record)
		if err != nil {
			continue
		}
		if account, ok := content.(control.Account); ok {
			version.Limits[account.ID], changed = limitsAt(place, state, account.ID), true
			continue
		}
		change, ok := content.(settings.Change)
		if !ok {
			continue
		}
		switch {
		case change.Path.Name == string(settings.EntryMember):
			version.Members, changed = membersOf(state), true
		case !strings.HasPrefix(change.Path.Name, limitPrefix):
		case change.Path.Level == settings.LevelAccount:
			id := spool.AccountID(change.Path.ID)
			version.Limits[id], changed = limitsAt(place, state, id), true
		default:
			version.Limits, changed = limitsOfAll(place, state), true
		}
	}
	version.Others = limitsAt(place, state, "")
	return version, changed
}

func membersOf(state *control.State) []spool.NodeID {
	members := []spool.NodeID{}
	for _, key := range state.Settings().Flagged(settings.EntryMember) {
		members = append(members, spool.NodeID(key))
	}
	return members
}

func limitsOfAll(place settings.Scope, state *control.State) map[spool.AccountID]limit.Config {
	limits := map[spool.AccountID]limit.Config{}
	for _, account := range state.Accounts() {
		limits[account.ID] = limitsAt(place, state, account.ID)
	}
	return limits
}

func limitsAt(place settings.Scope, state *control.State, account spool.AccountID) limit.Config {
	place.Account = account
	values := state.Settings().At(place)
	return limit.Config{
		Rate:        values.Number(settings.LimitRatePerSecond),
		Burst:       values.Number(settings.LimitBurst),
		StaticShare: values.Number(settings.LimitStaticShare),
	}
}
