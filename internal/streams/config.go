package streams

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// eventQueueSize is the number of events that can wait for the controller
	// goroutine. The sender of a further event blocks.
	eventQueueSize = 4096
	// maxPeerRequests bounds the requests to other entries that are in progress at
	// the same time; further requests wait.
	maxPeerRequests = 256

	// defaultAppendsPerSecond leaves a tenth of a budget of 100 appends per second for
	// the claims of other entries and for the control stream.
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
	defaultSuspectAfter   = 1500 * clock.Millis(1)
	defaultHandoverEvery  = 500 * clock.Millis(1)
	defaultSettleAfter    = 2 * clock.Second
	defaultLeaveAfter     = 2 * clock.Second
	defaultLeaseDuration  = 3 * clock.Second

	// publishEvery is the minimum interval between two updates of publishedState by
	// tick. The results of Stats, LiveMembers, OwnerOf and ConfirmedUntil can be older
	// than this by at most the time until the next tick.
	publishEvery = 50 * clock.Millis(1)
)

// withDefaults returns c with each number and duration that is 0 replaced by its
// default. StreamCount has no default.
func (c Config) withDefaults() Config {
	for value, fallback := range map[*clock.Millis]clock.Millis{
		&c.Retention: defaultRetention, &c.PollWait: defaultPollWait,
		&c.LogTimeout: defaultLogTimeout, &c.PeerTimeout: defaultPeerTimeout,
		&c.TickEvery: defaultTickEvery, &c.ListEvery: defaultListEvery,
		&c.HeartbeatEvery: defaultHeartbeatEvery, &c.SuspectAfter: defaultSuspectAfter,
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

// appendInterval returns the interval between two appends of one stream, so that all
// streams together stay within AppendsPerSecond. A stream may do one append earlier than
// its interval allows. If AppendsPerSecond is at least twice StreamCount, the extra
// appends of all streams can fall into one second, so StreamCount is subtracted from the
// rate that is divided among the streams.
func (c Config) appendInterval() clock.Millis {
	streamSeconds := clock.Millis(c.StreamCount) * clock.Second
	rate := clock.Millis(c.AppendsPerSecond)
	if c.AppendsPerSecond >= 2*c.StreamCount {
		rate -= clock.Millis(c.StreamCount)
	}
	return (streamSeconds + rate - 1) / rate
}
