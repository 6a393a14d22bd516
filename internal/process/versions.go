package process

import (
	"strings"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// limitSettingPrefix is the common prefix of the names of the rate limit settings.
const limitSettingPrefix = "limit."

// observeLimits returns an observer of the control stream that passes every change
// of rate limits or members to deliver. The first call and a call without a batch
// deliver the full state.
func observeLimits(scope settings.Scope, deliver func(quota.Version)) control.Observer {
	first := true
	return func(batch *spool.Batch, state *control.State) {
		if batch == nil || first {
			first = false
			deliver(fullVersion(scope, state))
			return
		}
		if version, changed := changedVersion(scope, *batch, state); changed {
			deliver(version)
		}
	}
}

// fullVersion returns the members and the limits of all accounts. It is used for the
// first version and after skipped batches.
func fullVersion(scope settings.Scope, state *control.State) quota.Version {
	return quota.Version{
		Skipped: true, Members: membersOf(state),
		Limits: limitsByAccount(scope, state), DefaultLimits: limitsOf(scope, state, ""),
	}
}

// changedVersion returns the limits and members that a batch changes. changed is
// false if the batch changes none.
func changedVersion(scope settings.Scope, batch spool.Batch, state *control.State) (version quota.Version, changed bool) {
	version.Limits = map[spool.AccountID]limit.Config{}
	for _, record := range batch.Records {
		content, err := control.DecodeRecord(record)
		if err != nil {
			continue
		}
		if account, ok := content.(control.Account); ok {
			version.Limits[account.ID], changed = limitsOf(scope, state, account.ID), true
			continue
		}
		change, ok := content.(settings.Change)
		if !ok {
			continue
		}
		switch {
		case change.Path.Name == string(settings.EntryMember):
			version.Members, changed = membersOf(state), true
		case !strings.HasPrefix(change.Path.Name, limitSettingPrefix):
		case change.Path.Level == settings.LevelAccount:
			id := spool.AccountID(change.Path.ID)
			version.Limits[id], changed = limitsOf(scope, state, id), true
		default:
			version.Limits, changed = limitsByAccount(scope, state), true
		}
	}
	version.DefaultLimits = limitsOf(scope, state, "")
	return version, changed
}

func membersOf(state *control.State) []spool.NodeID {
	members := []spool.NodeID{}
	for _, key := range state.Settings().KeysSetToTrue(settings.EntryMember) {
		members = append(members, spool.NodeID(key))
	}
	return members
}

func limitsByAccount(scope settings.Scope, state *control.State) map[spool.AccountID]limit.Config {
	limits := map[spool.AccountID]limit.Config{}
	for _, account := range state.Accounts() {
		limits[account.ID] = limitsOf(scope, state, account.ID)
	}
	return limits
}

// limitsOf returns the rate limits of an account, or the limits of accounts without
// settings of their own if account is empty.
func limitsOf(scope settings.Scope, state *control.State, account spool.AccountID) limit.Config {
	scope.Account = account
	values := state.Settings().ValuesFor(scope)
	return limit.Config{
		Rate:        values.Number(settings.LimitRatePerSecond),
		Burst:       values.Number(settings.LimitBurst),
		StaticShare: values.Number(settings.LimitStaticShare),
	}
}
