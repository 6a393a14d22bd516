package bench

import (
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// program runs a script: a chain of calls, each of which waits for the one
// before, its tool pause and its sub-agents.
type program struct {
	*system
	id            spool.ProgramID
	script        *script
	parent        *program
	startedAt     clock.Millis
	answeredTurns int
	historyTokens int
	attained      int
	// believed is what the entries think that each endpoint holds.
	expectedCached map[spool.EndpointID]int
	onEnd          func()
}

func (p *program) root() *program {
	for p.parent != nil {
		p = p.parent
	}
	return p
}

func (s *system) startProgram(id spool.ProgramID, parent *program, script *script, finished func()) {
	p := &program{
		system: s, id: id, script: script, parent: parent, startedAt: s.now,
		historyTokens: script.promptTokens, expectedCached: map[spool.EndpointID]int{}, onEnd: finished,
	}
	s.programs[id] = p
	p.issueCall(0)
}

// call issues the call of turn i.
func (p *program) issueCall(i int) {
	t := &p.script.turns[i]
	computedTokens := 0
	if i > 0 {
		computedTokens = p.historyTokens
	}
	p.historyTokens += t.addedTokens
	c := &call{program: p, turn: t, computedTokens: computedTokens, issuedAt: p.now, view: spool.CallView{
		Program: p.id, Root: p.id.Root(), Account: spool.AccountID(p.script.account), Weight: p.weights[p.script.account],
		Alarm: p.script.alarm, PromptTokens: p.historyTokens, MaxTokens: 512,
		ArrivedAt: p.now, Deadline: p.now + callTimeout,
	}}
	p.admit(c)
}

// next goes on after the answer to c.
func (p *program) continueAfter(c *call) {
	p.counters.recordAnswer(c)
	p.historyTokens += c.turn.generatedTokens
	p.answeredTurns++
	remaining := len(c.turn.children)
	childDone := func() {
		remaining--
		if remaining > 0 {
			return
		}
		p.after(c.turn.pause, func() {
			if p.answeredTurns == len(p.script.turns) {
				p.end(true)
				return
			}
			p.issueCall(p.answeredTurns)
		})
	}
	if remaining == 0 {
		childDone()
		return
	}
	for i, child := range c.turn.children {
		id := p.id + spool.ProgramID("."+strconv.Itoa(p.answeredTurns)+strconv.Itoa(i))
		p.startProgram(id, p, child, childDone)
	}
}

func (p *program) end(completed bool) {
	delete(p.programs, p.id)
	for _, a := range p.agentList {
		a.forgetProgram(p.id)
	}
	if p.parent == nil {
		p.counters.recordEnd(p, completed)
	}
	if p.onEnd != nil {
		p.onEnd()
	}
}

// refused repeats a call whose program has begun; a program that has not begun
// is dropped by its caller. A call that has waited too long ends the program.
func (p *program) handleRefusal(c *call, retryAfter clock.Millis) {
	switch {
	case c.isProgramStart() && !p.script.alarm:
		delete(p.programs, p.id)
		p.counters.recordDropped(p)
	case p.now-c.issuedAt >= callTimeout:
		p.end(false)
	default:
		wait := max(minCallerRetryWait, retryAfter)
		wait += clock.Millis(p.random.Float64() * float64(wait))
		p.after(wait, func() { p.admit(c) })
	}
}
