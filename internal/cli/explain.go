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

// NewExplain returns the command that shows the state of a program and the routing
// decisions for its calls. The entry that owns the program's stream has recorded both.
func NewExplain(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	command := &cobra.Command{
		Use:   "explain PROGRAM|REQUEST",
		Short: "Show the state of a program and why its calls went where they did, or why a request failed",
		Long: `Show the state of a program and why its calls went where they did, as the entry
that owns it knows. With --logs, tell the story of a program or of a request from the
logs of gateways, with the cause of each failure; no process needs to run.`,
		Example: "  baobabspool explain 01j9... --vms-address 10.0.0.6:9000\n  baobabspool explain 7fabc2cab9786166 --logs g1.log,g2.log",
		Args:    cobra.ExactArgs(1),
	}
	o.nodeCommand(command, func(q *nodeQuery, args []string) error {
		reply, err := q.explain(spool.ProgramID(args[0]))
		if err != nil {
			return err
		}
		return q.printTo(q.out, reply, func(w io.Writer) { printExplanation(w, reply) })
	})
	addLogFlags(command)
	return command
}

// explain asks all entries, because it does not know which one owns the program, and
// returns the owner's reply. It fails with errNotFound if entries answered but none owns
// the program, and with errUnreachable if no entry answered.
func (q *nodeQuery) explain(id spool.ProgramID) (ownerReply *entry.ExplainReply, err error) {
	var mu sync.Mutex
	answered := 0
	var lastErr error
	workers := pool.New().WithMaxGoroutines(maxConcurrentRequests)
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
				answered++
			}
			if err != nil {
				lastErr = err
				return
			}
			ownerReply = reply
		})
	}
	workers.Wait()
	switch {
	case ownerReply != nil:
		return ownerReply, nil
	case answered > 0:
		return nil, errors.Wrapf(errNotFound, "program %q: %v", id, lastErr)
	default:
		return nil, errors.Wrapf(errUnreachable, "no entry answered: %v", lastErr)
	}
}

func printExplanation(w io.Writer, reply *entry.ExplainReply) {
	printLine := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	view := reply.Program
	printLine("program\t%s of account %s", view.ID, view.Account)
	printLine("state\t%s", stateText(view))
	printLine("history\t%d turns, %d tokens, latest turn at %s", view.Turns, view.Tokens, orNone(string(view.Endpoint)))
	printLine("budget\t%d of %d tokens and %d of %d calls used, %d tokens reserved", view.Used.Tokens, view.Budget.Tokens,
		view.Used.Calls, view.Budget.Calls, view.Reserved.Tokens)
	printLine("")
	printLine("time\tcall\tattempt\tdecision")
	for _, decision := range reply.Decisions {
		printLine("%s\t%s\t%d\t%s", formatTime(decision.At), decision.Call, decision.Attempt, decisionText(decision))
	}
	if len(reply.Decisions) == 0 {
		printLine("this owner has dispatched no call of the program")
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

// decisionText describes a decision in one line. For the choice of an endpoint it names
// the endpoint and the candidates with a longer cached prefix or a lower load. For a
// refusal or a failed attempt it gives the reason.
func decisionText(decision entry.Decision) string {
	choice := decision.Choice
	if choice == nil {
		description := decision.Reason
		if decision.Endpoint != "" {
			description += " at " + string(decision.Endpoint)
		}
		if decision.Message != "" {
			description += ": " + decision.Message
		}
		return description
	}
	description := fmt.Sprintf("sent to %s, one of %d", snapshotText(choice.Chosen), choice.Candidates)
	if snapshot := choice.LongestPrefix; snapshot != nil {
		description += fmt.Sprintf("; more of the prompt at %s", snapshotText(*snapshot))
	}
	if snapshot := choice.LeastLoaded; snapshot != nil {
		description += fmt.Sprintf("; less load at %s", snapshotText(*snapshot))
	}
	return description
}

func snapshotText(snapshot entry.EndpointSnapshot) string {
	age := "no report"
	if snapshot.ReportAge >= 0 {
		age = fmt.Sprintf("report %s old", snapshot.ReportAge)
	}
	return fmt.Sprintf("%s (%d tokens cached, %d calls for %d slots, %s)", snapshot.Endpoint, snapshot.CachedTokens, snapshot.Calls, snapshot.Window, age)
}
