package clock

import "golang.org/x/sys/unix"

// bootTime returns the time since the VM booted, including the time for which it was
// suspended.
func bootTime() (Millis, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return Millis(now.Nano() / int64(1e6)), nil
}
