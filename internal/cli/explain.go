package cli

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewExplain returns the command that shows what the owner of a program knows
// of it.
func NewExplain(options ...Option) *cobra.Command {
	o := newOperator(options)
	command := &cobra.Command{
		Use:     "explain PROGRAM",
		Short:   "Show the state of a program and why its calls went where they did",
		Example: "  baobabspool explain 01j9... --vms-address 10.0.0.6:9000",
		Args:    cobra.ExactArgs(1),
	}
	return o.ask(command, func(q *inquiry, args []string) error {
		reply, err := q.explain(spool.ProgramID(args[0]))
		if err != nil {
			return err
		}
		return q.printTo(q.out, reply, func(w io.Writer) { printExplained(w, reply) })
	})
}

// explain asks all entries and returns the owner's answer.
func (q *inquiry) explain(id spool.ProgramID) (answer *entry.ExplainReply, err error) {
	var mu sync.Mutex
	reached := 0
	var last error
	workers := pool.New().WithMaxGoroutines(maxAsked)
	for _, vm := range q.vms {
		if vm.Role != spool.RoleEntry {
			continue
		}
		workers.Go(func() {
			reply := &entry.ExplainReply{}
			err := q.call(vm.Address, entry.MethodExplain, entry.ExplainRequest{Program: id}, reply)
			refusal := &spool.Refusal{}
			mu.Lock()
			defer mu.Unlock()
			if err == nil || errors.As(err, &refusal) {
				reached++
			}
			if err != nil {
				last = err
				return
			}
			answer = reply
		})
	}
	workers.Wait()
	switch {
	case answer != nil:
		return answer, nil
	case reached > 0:
		return nil, errors.Wrapf(errNotFound, "program %q: %v", id, last)
	default:
		return nil, errors.Wrapf(errUnreachable, "no entry answered: %v", last)
	}
}

func printExplained(w io.Writer, reply *entry.ExplainReply) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	view := reply.Program
	line("program\t%s of account %s", view.ID, view.Account)
	line("state\t%s", stateText(view))
	line("history\t%d turns, %d tokens, latest turn at %s", view.Turns, view.Tokens, orNone(string(view.Endpoint)))
	line("budget\t%d of %d tokens and %d of %d calls used, %d tokens reserved", view.Used.Tokens, view.Budget.Tokens,
		view.Used.Calls, view.Budget.Calls, view.Reserved.Tokens)
	line("")
	line("time\tcall\tattempt\tdecision")
	for _, decision := range reply.Decisions {
		line("%s\t%s\t%d\t%s", instant(decision.At), decision.Call, decision.Attempt, decisionText(decision))
	}
	if len(reply.Decisions) == 0 {
		line("this owner has dispatched no call of the program")
	}
}

func stateText(view program.View) string {
	switch {
	case view.Ended != "":
		return "ended: " + string(view.Ended)
	case view.Running != "":
		return fmt.Sprintf("call %s runs, %d wait", view.Running, view.Waiting)
	default:
		return "between calls"
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// decisionText says in a sentence what was decided and why.
func decisionText(decision entry.Decision) string {
	choice := decision.Choice
	if choice == nil {
		text := decision.Reason
		if decision.Endpoint != "" {
			text += " at " + string(decision.Endpoint)
		}
		if decision.Message != "" {
			text += ": " + decision.Message
		}
		return text
	}
	text := fmt.Sprintf("sent to %s, one of %d", seenText(choice.Chosen), choice.Candidates)
	if other := choice.LongestPrefix; other != nil {
		text += fmt.Sprintf("; more of the prompt at %s", seenText(*other))
	}
	if other := choice.LeastLoaded; other != nil {
		text += fmt.Sprintf("; less load at %s", seenText(*other))
	}
	return text
}

func seenText(seen entry.Seen) string {
	age := "no report"
	if seen.ReportAge >= 0 {
		age = fmt.Sprintf("report %s old", seen.ReportAge)
	}
	return fmt.Sprintf("%s (%d tokens cached, %d calls for %d slots, %s)", seen.Endpoint, seen.CachedTokens, seen.Calls, seen.Window, age)
}
