// Package deployment contains only end-to-end tests. The tests start entries, agents and
// stand-ins of the platform as separate processes, inject faults, and check the responses
// that callers receive.
package deployment
