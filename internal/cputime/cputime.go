// Package cputime reports the processor time of processes and the bytes that the
// current process has written.
package cputime

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// SelfTime returns the processor time, user and system time together, that this process
// has used. It returns 0 if the operating system does not report it.
func SelfTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// clockTick is the unit of the processor times in /proc/PID/stat, which is 10 ms on Linux.
const clockTick = 10 * time.Millisecond

// ProcessTime returns the processor time, user and system time together, that the
// process pid has used, in steps of 10 ms. It returns 0 if the operating system does not
// report it, for example because the process does not exist.
func ProcessTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The process name in parentheses may contain spaces. User time and system time
	// are the 12th and 13th fields after it.
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
