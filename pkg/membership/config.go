package membership

import (
	"cmp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Config holds the parameters of a view. New replaces zero values with
// defaults.
type Config struct {
	// Self is the VM list's row of this entry.
	Self spool.VM
	// StreamCount is the number of program streams.
	StreamCount int
	// Fanout is the number of members to which this entry always sends heartbeats.
	// Members that it must watch because of their rank for a stream are added to
	// them.
	Fanout int
	// HeartbeatEvery is the interval of heartbeats to one member. SuspectAfter is
	// how long a member must leave heartbeats unanswered before its verdict is
	// Suspect.
	HeartbeatEvery clock.Millis
	SuspectAfter   clock.Millis
	// SettleAfter is how long an entry must rank first for a stream before it
	// asks the owner for a handover. It does not wait if the owner is leaving.
	SettleAfter clock.Millis
	// HandoverEvery is the minimum time between two handover requests of this
	// entry, for any streams, and between two handovers that it grants. An entry
	// that is leaving grants them without this delay.
	HandoverEvery clock.Millis
	// HoldOff is how long an entry does not follow a stream after another entry
	// has claimed it from this one. The delay doubles with each loss, up to
	// maxHoldOff. Without it, two entries that cannot reach each other would claim
	// a stream from each other forever.
	HoldOff clock.Millis
	// ReplicaCount is the number of replicas that are chosen for a stream.
	ReplicaCount int
	// MaxTakeovers bounds the streams of this entry that are in StageReading or
	// StageClaiming at the same time.
	MaxTakeovers int
}

const (
	defaultFanout         = 4
	defaultHeartbeatEvery = 500 * clock.Millis(1)
	defaultSuspectAfter   = 3 * defaultHeartbeatEvery
	defaultSettleAfter    = 2 * clock.Second
	defaultHandoverEvery  = 500 * clock.Millis(1)
	defaultHoldOff        = 2 * clock.Second
	maxHoldOff            = clock.Minute
	defaultReplicaCount   = 2
	defaultMaxTakeovers   = 4
)

func (c Config) withDefaults() Config {
	c.Fanout = cmp.Or(c.Fanout, defaultFanout)
	c.HeartbeatEvery = cmp.Or(c.HeartbeatEvery, defaultHeartbeatEvery)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.SettleAfter = cmp.Or(c.SettleAfter, defaultSettleAfter)
	c.HandoverEvery = cmp.Or(c.HandoverEvery, defaultHandoverEvery)
	c.HoldOff = cmp.Or(c.HoldOff, defaultHoldOff)
	c.ReplicaCount = cmp.Or(c.ReplicaCount, defaultReplicaCount)
	c.MaxTakeovers = cmp.Or(c.MaxTakeovers, defaultMaxTakeovers)
	return c
}
