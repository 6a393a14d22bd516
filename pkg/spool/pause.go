package spool

import "github.com/baobabspool/baobabspool/pkg/clock"

// PausedView is what a pause policy may know of a program whose tool runs.
type PausedView struct {
	// Program is the program and Account pays for it.
	Program ProgramID
	Account AccountID
	// Tokens is the length of the prefix that the engine holds.
	Tokens int
	// Since is when its latest call ended.
	Since clock.Millis
}

// MemoryView is what a pause policy may know of an engine's prefix cache. The
// report lags.
type MemoryView struct {
	// Tokens and Limit are its use and size; Limit is 0 while unknown.
	Tokens, Limit int
	// Queued counts the calls that wait for the engine.
	Queued int
}

// PauseAction tells what happens to a program's prefix while its tool runs.
type PauseAction int

// The actions. A prefix that no decision names is kept.
const (
	PauseExport PauseAction = iota + 1
	PauseDrop
)

// PauseDecision is an action for one program.
type PauseDecision struct {
	Program ProgramID
	Action  PauseAction
}

// PausePolicy decides which prefixes stay in an engine's memory while the tools
// of their programs run.
type PausePolicy interface {
	// Resumed notes that a program's tool ran for the given time.
	Resumed(program ProgramID, account AccountID, pause clock.Millis)
	// Gone forgets a program.
	Gone(program ProgramID)
	// Choose returns what to do now. paused is sorted by program and holds those
	// whose prefix is in the engine's memory.
	Choose(now clock.Millis, memory MemoryView, paused []PausedView) []PauseDecision
}

// Export is a prefix that an engine keeps outside its cache.
type Export struct {
	// ID was chosen by whoever asked for the export.
	ID string `json:"id"`
	// Program is the session.
	Program ProgramID `json:"program"`
	// Tokens is the length of the prefix.
	Tokens int `json:"tokens"`
}
