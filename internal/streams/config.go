package streams

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// eventQueue bounds the messages that wait for the control goroutine.
	eventQueueSize = 4096
	// peerTasks bounds the requests to other entries that are under way.
	maxPeerRequests = 256

	// defaultAppendsPerSecond leaves a tenth of 100 appends a second for claims
	// of other entries and for the control stream.
	defaultAppendsPerSecond = 90
	defaultBatchBytes       = 512 << 10
	defaultBacklogBytes     = 8 << 20
	defaultReplicaBytes      = 16 << 20
	defaultReplicaCount          = 2
	defaultFanout           = 4

	defaultRetention      = clock.Hour
	defaultPollWait       = 500 * clock.Millis(1)
	defaultLogTimeout     = 2 * clock.Second
	defaultPeerTimeout    = 500 * clock.Millis(1)
	defaultTickEvery      = 10 * clock.Millis(1)
	defaultListEvery      = 500 * clock.Millis(1)
	defaultHeartbeatEvery = 500 * clock.Millis(1)
	defaultDeadAfter      = 1500 * clock.Millis(1)
	defaultHandoverEvery  = 500 * clock.Millis(1)
	defaultSettleAfter    = 2 * clock.Second
	defaultLeaveAfter     = 2 * clock.Second
	defaultLeaseDuration     = 3 * clock.Second

	// publishEvery bounds the age of what Stats, Members and OwnerOf return.
	publishEvery = 50 * clock.Millis(1)
)

func (c Config) withDefaults() Config {
	for value, fallback := range map[*clock.Millis]clock.Millis{
		&c.Retention: defaultRetention, &c.PollWait: defaultPollWait,
		&c.LogTimeout: defaultLogTimeout, &c.PeerTimeout: defaultPeerTimeout,
		&c.TickEvery: defaultTickEvery, &c.ListEvery: defaultListEvery,
		&c.HeartbeatEvery: defaultHeartbeatEvery, &c.DeadAfter: defaultDeadAfter,
		&c.HandoverEvery: defaultHandoverEvery, &c.SettleAfter: defaultSettleAfter,
		&c.LeaveAfter: defaultLeaveAfter, &c.PromiseFor: defaultLeaseDuration,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	for value, fallback := range map[*int]int{
		&c.AppendsPerSecond: defaultAppendsPerSecond, &c.BatchBytes: defaultBatchBytes,
		&c.BacklogBytes: defaultBacklogBytes, &c.HolderBytes: defaultReplicaBytes,
		&c.Holders: defaultReplicaCount, &c.Fanout: defaultFanout,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	return c
}

// appendInterval spreads the appends of the whole system over its streams. Each
// stream may run one append ahead; with few streams that counts within a second,
// so it is taken off their rate.
func (c Config) appendInterval() clock.Millis {
	streamSeconds := clock.Millis(c.StreamCount) * clock.Second
	rate := clock.Millis(c.AppendsPerSecond)
	if c.AppendsPerSecond >= 2*c.StreamCount {
		rate -= clock.Millis(c.StreamCount)
	}
	return (streamSeconds + rate - 1) / rate
}
