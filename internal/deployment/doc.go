// Package deployment holds only tests: they start the system's processes and the
// stand-ins separately, kill some of them, and judge by what callers see.
package deployment
