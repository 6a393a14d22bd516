package bench

import (
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// program executes a script, which is a sequence of turns with one call each. The
// next call is sent after the previous call is answered, the sub-agents of its turn
// have ended and the tool pause of its turn is over.
type program struct {
	*system
	id            spool.ProgramID
	script        *script
	parent        *program
	startedAt     clock.Millis
	answeredTurns int
	// historyTokens is the length of the prompt and of all answers so far.
	historyTokens int
	// attained is the number of tokens that the answered calls of the program and
	// its sub-agents added and generated. It is set only on the root program.
	attained int
	// expectedCached is the number of tokens of the program that the entries assume
	// to be cached at each endpoint.
	expectedCached map[spool.EndpointID]int
	// onEnd is called when the program ends; nil for a root program.
	onEnd func()
}

// root returns the program itself or, for a sub-agent, the root of its ancestors.
func (p *program) root() *program {
	for p.parent != nil {
		p = p.parent
	}
	return p
}

// startProgram starts a root program, or a sub-agent if parent is not nil, and sends its
// first call.
func (s *system) startProgram(id spool.ProgramID, parent *program, script *script, onEnd func()) {
	p := &program{
		system: s, id: id, script: script, parent: parent, startedAt: s.now,
		historyTokens: script.promptTokens, expectedCached: map[spool.EndpointID]int{}, onEnd: onEnd,
	}
	s.programs[id] = p
	p.issueCall(0)
}

// issueCall sends the call of turn i.
func (p *program) issueCall(i int) {
	turn := &p.script.turns[i]
	computedTokens := 0
	if i > 0 {
		computedTokens = p.historyTokens
	}
	p.historyTokens += turn.addedTokens
	c := &call{program: p, turn: turn, computedTokens: computedTokens, issuedAt: p.now, view: spool.CallView{
		Program: p.id, Root: p.id.Root(), Account: spool.AccountID(p.script.account), Weight: p.weights[p.script.account],
		Alarm: p.script.alarm, PromptTokens: p.historyTokens, MaxTokens: 512,
		ArrivedAt: p.now, Deadline: p.now + callTimeout,
	}}
	p.admit(c)
}

// continueAfter continues the program after the answer to c: it runs the sub-agents
// of the turn, waits for its tool pause, and sends the next call or ends the program.
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

// end removes the program and frees its state at all agents. completed is false
// when the program gave up on a call.
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

// handleRefusal is the caller's reaction to a refused call. If the call is the first
// one of a root program that is not an alarm, the program is dropped. Any other call
// is repeated until callTimeout after it was issued; then the program ends as
// unfinished.
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
