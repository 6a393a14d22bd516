//go:build !linux

package clock

import "github.com/pkg/errors"

// bootTime is not offered here.
func bootTime() (Millis, error) { return 0, errors.New("clock is not supported") }
