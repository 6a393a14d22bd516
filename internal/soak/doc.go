// Package soak contains only a randomised fault soak of gateways. It runs real gateway
// processes before stand-ins of the store and of endpoints, injects faults from outside,
// by signals and by relays on the loopback interface, and checks what callers and
// endpoints see. docs/soak.md tells how to run it and what it found.
package soak
