package spool

import "github.com/baobabspool/baobabspool/pkg/clock"

// PausedProgram describes, to a pause policy, a program that is paused while its tool
// runs.
type PausedProgram struct {
	// Account is the client account that is charged for Program.
	Program ProgramID
	Account AccountID
	// Tokens is the length of the prefix in the engine's cache, in tokens.
	Tokens int
	// Since is the time at which the latest call of Program ended.
	Since clock.Millis
}

// MemoryView describes an engine's prefix cache to a pause policy. Its values are from
// the engine's latest load report, which may be out of date.
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
	// PauseExport moves the prefix out of the cache; see Engine.Export.
	PauseExport PauseAction = iota + 1
	// PauseDrop frees the prefix, so that the next call has to compute it again.
	PauseDrop
)

// PauseDecision is an action for one program.
type PauseDecision struct {
	Program ProgramID
	Action  PauseAction
}

// PausePolicy decides which prefixes stay in an engine's cache while programs are
// paused.
type PausePolicy interface {
	// Resumed records that a program's tool has ended after running for the time pause.
	Resumed(program ProgramID, account AccountID, pause clock.Millis)
	// Forget removes the state that the policy keeps for a program.
	Forget(program ProgramID)
	// Choose returns the actions to take now. paused is sorted by program and contains
	// only programs whose prefix is in the engine's cache.
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
