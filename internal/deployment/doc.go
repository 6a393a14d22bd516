// Package deployment contains end-to-end tests only. They start the system's
// processes and the stand-ins as separate processes, inject faults, and check the
// responses that callers receive.
package deployment
