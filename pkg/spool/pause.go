package spool

import "github.com/baobabspool/baobabspool/pkg/clock"

// PausedView describes, to a pause policy, a program that is paused while its tool
// runs.
type PausedProgram struct {
	// Account is the client account that is charged for Program.
	Program ProgramID
	Account AccountID
	// Tokens is the length of the prefix in the engine's cache.
	Tokens int
	// Since is the time at which its latest call ended.
	Since clock.Millis
}

// MemoryView describes an engine's prefix cache to a pause policy. The report that
// it is taken from may be out of date.
type MemoryView struct {
	// Tokens and Limit are the used and total size of the cache in tokens; Limit is 0
	// while unknown.
	Tokens, Limit int
	// Queued is the number of calls that wait for the engine.
	Queued int
}

// PauseAction is the treatment of a program's prefix while its tool runs.
type PauseAction int

// The actions. A prefix without a decision stays in the cache.
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
	// Resumed records that a program's tool has ended after running for the time pause.
	Resumed(program ProgramID, account AccountID, pause clock.Millis)
	// Gone removes the state that the policy keeps for a program.
	Forget(program ProgramID)
	// Choose returns the actions to take now. paused is sorted by program and holds
	// only programs whose prefix is in the engine's memory.
	Choose(now clock.Millis, memory MemoryView, paused []PausedProgram) []PauseDecision
}

// Export is a prefix that an engine keeps outside its cache.
type Export struct {
	// ID is chosen by the process that requested the export.
	ID string `json:"id"`
	// Program identifies the session on the engine.
	Program ProgramID `json:"program"`
	// Tokens is the length of the prefix in tokens.
	Tokens int `json:"tokens"`
}
