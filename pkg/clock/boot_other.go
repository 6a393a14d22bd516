//go:build !linux

package clock

import "github.com/pkg/errors"

// bootTime always fails, because only Linux has an implementation.
func bootTime() (Millis, error) { return 0, errors.New("boot-time clock is not supported") }
