package streams

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// eventQueueSize bounds the events that wait for the controller goroutine.
	eventQueueSize = 4096
	// maxPeerRequests bounds the concurrent requests to other entries.
	maxPeerRequests = 256

	// defaultAppendsPerSecond leaves a tenth of the 100 appends per second for the
	// claims of other entries and for the control stream.
	defaultAppendsPerSecond = 90
	defaultBatchBytes       = 512 << 10
	defaultBacklogBytes     = 8 << 20
	defaultReplicaBytes     = 16 << 20
	defaultReplicaCount     = 2
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
	defaultLeaseDuration  = 3 * clock.Second

	// publishEvery is the interval between two updates of publishedState, and so
	// bounds the age of the results of Stats, Members and OwnerOf.
	publishEvery = 50 * clock.Millis(1)
)

// withDefaults returns c with defaults for the numbers that are zero. StreamCount has
// no default.
func (c Config) withDefaults() Config {
	for value, fallback := range map[*clock.Millis]clock.Millis{
		&c.Retention: defaultRetention, &c.PollWait: defaultPollWait,
		&c.LogTimeout: defaultLogTimeout, &c.PeerTimeout: defaultPeerTimeout,
		&c.TickEvery: defaultTickEvery, &c.ListEvery: defaultListEvery,
		&c.HeartbeatEvery: defaultHeartbeatEvery, &c.SuspectAfter: defaultDeadAfter,
		&c.HandoverEvery: defaultHandoverEvery, &c.SettleAfter: defaultSettleAfter,
		&c.LeaveAfter: defaultLeaveAfter, &c.LeaseDuration: defaultLeaseDuration,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	for value, fallback := range map[*int]int{
		&c.AppendsPerSecond: defaultAppendsPerSecond, &c.BatchBytes: defaultBatchBytes,
		&c.BacklogBytes: defaultBacklogBytes, &c.ReplicaBytes: defaultReplicaBytes,
		&c.ReplicaCount: defaultReplicaCount, &c.Fanout: defaultFanout,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	return c
}

// appendInterval returns the interval between two appends of one stream, which divides
// AppendsPerSecond evenly among the streams. A stream may do one append ahead of its
// rate. With two or more appends per second and stream, these extra appends can fall
// into one second, so they are subtracted from the rate.
func (c Config) appendInterval() clock.Millis {
	streamSeconds := clock.Millis(c.StreamCount) * clock.Second
	rate := clock.Millis(c.AppendsPerSecond)
	if c.AppendsPerSecond >= 2*c.StreamCount {
		rate -= clock.Millis(c.StreamCount)
	}
	return (streamSeconds + rate - 1) / rate
}
