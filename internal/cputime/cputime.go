// Package cputime tells what processes have used: processor time, and bytes
// written.
package cputime

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
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

// tick is the unit of the times in /proc, which Linux fixes at 10 ms.
const clockTick = 10 * time.Millisecond

// Of returns the user and system time of another process so far; 0 when the
// platform does not tell.
func Of(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name in parentheses may hold spaces. The user and the system time are
	// the 12th and 13th field behind it.
	const user, system = 11, 12
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, field := range fields[user : system+1] {
		value, err := strconv.Atoi(string(field))
		if err != nil {
			return 0
		}
		ticks += value
	}
	return time.Duration(ticks) * clockTick
}
