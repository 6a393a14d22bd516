// Package cputime tells what this process has used: processor time, and bytes
// written.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the user and system time of the process so far; 0 when the
// platform does not tell.
func Used() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
