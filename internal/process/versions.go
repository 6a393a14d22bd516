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

// observeLimits returns an observer of the control stream that passes every change of
// rate limits or members to deliver. At its first call, and when batch is nil because
// several batches were skipped, the observer delivers the members and all limits.
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

// fullVersion returns a version with the members and the limits of all accounts. It has
// Skipped set, because the receiver may have missed earlier versions.
func fullVersion(scope settings.Scope, state *control.State) quota.Version {
	return quota.Version{
		Skipped: true, Members: membersOf(state),
		Limits: limitsByAccount(scope, state), DefaultLimits: limitsOf(scope, state, ""),
	}
}

// changedVersion returns a version with the members, if batch changes them, and with the
// limits that batch may change. state is the state after the batch. changed is false if
// the batch changes neither.
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

// membersOf returns the entries for which entry.member is true, sorted; empty but not nil
// if there are none, since nil means unchanged members in a quota.Version.
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

// limitsOf returns the rate limits of an account at scope. If account is empty, it
// returns the limits of an account for which no limits are set.
func limitsOf(scope settings.Scope, state *control.State, account spool.AccountID) limit.Config {
	scope.Account = account
	values := state.Settings().ValuesFor(scope)
	return limit.Config{
		Rate:        values.Number(settings.LimitRatePerSecond),
		Burst:       values.Number(settings.LimitBurst),
		StaticShare: values.Number(settings.LimitStaticShare),
	}
}
