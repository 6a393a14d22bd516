package streams

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// eventQueue bounds the messages that wait for the control goroutine.
	eventQueue = 4096
	// peerTasks bounds the requests to other entries that are under way.
	peerTasks = 256

	// defaultAppendsPerSecond leaves a tenth of 100 appends a second for claims
	// of other entries and for the control stream.
	defaultAppendsPerSecond = 90
	defaultBatchBytes       = 512 << 10
	defaultBacklogBytes     = 8 << 20
	defaultHolderBytes      = 16 << 20
	defaultHolders          = 2
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
	defaultPromiseFor     = 3 * clock.Second

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
		&c.LeaveAfter: defaultLeaveAfter, &c.PromiseFor: defaultPromiseFor,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	for value, fallback := range map[*int]int{
		&c.AppendsPerSecond: defaultAppendsPerSecond, &c.BatchBytes: defaultBatchBytes,
		&c.BacklogBytes: defaultBacklogBytes, &c.HolderBytes: defaultHolderBytes,
		&c.Holders: defaultHolders, &c.Fanout: defaultFanout,
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
	total := clock.Millis(c.StreamCount) * clock.Second
	rate := clock.Millis(c.AppendsPerSecond)
	if c.AppendsPerSecond >= 2*c.StreamCount {
		rate -= clock.Millis(c.StreamCount)
	}
	return (total + rate - 1) / rate
}
