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
	id       spool.ProgramID
	script   *script
	parent   *program
	began    clock.Millis
	answered int
	history  int
	attained int
	// believed is what the entries think that each endpoint holds.
	believed map[spool.EndpointID]int
	finished func()
}

func (p *program) root() *program {
	for p.parent != nil {
		p = p.parent
	}
	return p
}

func (s *system) start(id spool.ProgramID, parent *program, script *script, finished func()) {
	p := &program{
		system: s, id: id, script: script, parent: parent, began: s.now,
		history: script.prompt, believed: map[spool.EndpointID]int{}, finished: finished,
	}
	s.programs[id] = p
	p.call(0)
}

// call issues the call of turn i.
func (p *program) call(i int) {
	t := &p.script.turns[i]
	known := 0
	if i > 0 {
		known = p.history
	}
	p.history += t.added
	c := &call{program: p, turn: t, known: known, issuedAt: p.now, view: spool.CallView{
		Program: p.id, Root: p.id.Root(), Account: spool.AccountID(p.script.account), Weight: p.weights[p.script.account],
		Alarm: p.script.alarm, PromptTokens: p.history, MaxTokens: 512,
		ArrivedAt: p.now, Deadline: p.now + callPatience,
	}}
	p.admit(c)
}

// next goes on after the answer to c.
func (p *program) next(c *call) {
	p.count.answered(c)
	p.history += c.turn.generated
	p.answered++
	missing := len(c.turn.children)
	resume := func() {
		missing--
		if missing > 0 {
			return
		}
		p.after(c.turn.pause, func() {
			if p.answered == len(p.script.turns) {
				p.end(true)
				return
			}
			p.call(p.answered)
		})
	}
	if missing == 0 {
		resume()
		return
	}
	for i, child := range c.turn.children {
		id := p.id + spool.ProgramID("."+strconv.Itoa(p.answered)+strconv.Itoa(i))
		p.start(id, p, child, resume)
	}
}

func (p *program) end(done bool) {
	delete(p.programs, p.id)
	for _, a := range p.order {
		a.gone(p.id)
	}
	if p.parent == nil {
		p.count.ended(p, done)
	}
	if p.finished != nil {
		p.finished()
	}
}

// refused repeats a call whose program has begun; a program that has not begun
// is dropped by its caller. A call that has waited too long ends the program.
func (p *program) refused(c *call, retryAfter clock.Millis) {
	switch {
	case c.start() && !p.script.alarm:
		delete(p.programs, p.id)
		p.count.dropped(p)
	case p.now-c.issuedAt >= callPatience:
		p.end(false)
	default:
		wait := max(callerRetryMin, retryAfter)
		wait += clock.Millis(p.random.Float64() * float64(wait))
		p.after(wait, func() { p.admit(c) })
	}
}
