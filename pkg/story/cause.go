package story

import (
	"context"
	"fmt"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/spend"
)

// vacancy is the longest time in seconds after a change of owner in which the pools of the
// limits explain a refusal: the next owner waits for the previous one, and starts empty.
const vacancy = 1.5

// failureOf returns the failure that a line tells, and its cause as far as the line and the
// changes of belief before it show. A failed try that is followed by another one is not a
// failure.
func failureOf(line Line, beliefs []Line) (failure Failure, failed bool) {
	failure = Failure{Request: line.Text("request"), Node: line.Node, At: line.At}
	switch {
	case line.Message == "request refused":
		failure.Reason = line.Text("reason")
		failure.Cause = refusalCause(line, before(line, beliefs))
	case line.Message == "request not answered" && line.Text("outcome") == "broken":
		failure.Reason = "broken"
		failure.Cause = brokenCause(line, before(line, beliefs))
	case line.Message == "turn was not kept":
		failure.Reason = "turnNotKept"
		failure.Cause = notKeptCause(line.Text("error"))
	default:
		return failure, false
	}
	return failure, true
}

// notKeptCause returns why a turn was not stored, from the error of its append.
func notKeptCause(text string) string {
	if strings.Contains(text, context.Canceled.Error()) {
		return "the caller left before the turn was stored"
	}
	return "the turn could not be stored in time, so that its answer was cut: " + text
}

// evidence finds the last change of belief with a message.
type evidence []Line

// before returns the changes at the node of a line up to its time.
func before(line Line, beliefs []Line) (found evidence) {
	for _, other := range beliefs {
		if other.Node == line.Node && other.At <= line.At {
			found = append(found, other)
		}
	}
	return found
}

func (e evidence) last(message string) (line Line, ok bool) {
	for i := len(e) - 1; i >= 0; i-- {
		if e[i].Message == message {
			return e[i], true
		}
	}
	return line, false
}

// storeAway returns when the store was lost, if it had not come back.
func (e evidence) storeAway() (at float64, away bool) {
	lost, isLost := e.last("store is away")
	back, isBack := e.last("store answers again")
	return lost.At, isLost && (!isBack || back.At < lost.At)
}

// fixedCauses contains the causes of those reasons that say everything by themselves.
var fixedCauses = map[string]string{
	"badRequest":      "the request has no identifier",
	"noConfiguration": "the gateway had just started and had read no configuration",
	"noTurn":          "every partition of the history was read, and the turn that the request continues is not there",
	"noEndpoint":      "no endpoint of the service was ready",
	"endpointsFull":   "every endpoint that was asked had no room, for the time that the request may be offered again",
	"overloaded":      "the service had a long queue, so that new programs were held back",
	"enginesBusy":     "the programs under way and the new ones needed more than the engines can serve, so that a part of the new ones was held back",
	"tooLate":         "the engines had long queues, and the program was late or could not be finished in its time",
	"mayHaveRun":      "the request was sent, no complete answer came, and it must not be sent again",
	"timeout":         "the time of the caller or of the route was over",
	"internal":        "an error in the gateway; the line with noPanic has its stack",
	"historiesBusy":   "the histories of other requests were being loaded, or took the memory, for as long as this one could wait",
	"buffersFull":     "the buffers of all requests were in use, and this one needed more than its free part",
	"stopping":        "the gateway was shutting down and took no requests any more",
	"promptTooLarge":  "the prompt with its history was larger than a gateway keeps",
}

func refusalCause(line Line, seen evidence) string {
	switch reason := line.Text("reason"); reason {
	case "overLimit", "startOverLimit":
		return limitCause(line, seen)
	case "storeAway", "budgetUnknown", "turnUncertain":
		return storeCause(line, seen)
	case "noRoute", "unknownKey":
		if change, ok := seen.last("configuration in force"); ok {
			return fmt.Sprintf("version %.0f, in force for %.2f s, has no such route or key", change.Number("version"), line.At-change.At)
		}
		return "the configuration in force has no such route or key"
	case "budgetSpent":
		return budgetCause(int64(line.Number("tokenBudget")), int64(line.Number("mostTokens")))
	default:
		return fixedCauses[reason]
	}
}

// budgetCause returns why a turn that may generate most tokens was refused within a budget.
func budgetCause(budget, most int64) string {
	return fmt.Sprintf("of a budget of %d tokens, %d are granted while the store is there, and they do not hold %d more beside what was used, what running turns may still use, and what lost gateways held",
		budget, spend.Granted(budget), most)
}

func limitCause(line Line, seen evidence) string {
	if change, ok := seen.last("limit owner changes"); ok && line.At-change.At <= vacancy {
		return fmt.Sprintf("the pools of the limits had changed to %s %.2f s before, and start empty there unless they were handed over", change.Text("owner"), line.At-change.At)
	}
	if at, away := seen.storeAway(); away {
		return fmt.Sprintf("the store had been away for %.2f s, so that the pools of the limits may have had no owner", line.At-at)
	}
	if line.Text("reason") == "startOverLimit" {
		return "the account was over its rate, and the program was new"
	}
	return "the account was over its rate, and no token would come within the longest wait"
}

func storeCause(line Line, seen evidence) string {
	detail := ""
	if text := line.Text("error"); text != "" {
		detail = ": " + text
	}
	if at, away := seen.storeAway(); away {
		return fmt.Sprintf("the store had been away for %.2f s%s", line.At-at, detail)
	}
	if home, ok := seen.last("home of a partition does not answer"); ok {
		return fmt.Sprintf("%s, which reads a partition for the others, did not answer%s", home.Text("home"), detail)
	}
	if line.Text("reason") == "storeAway" {
		return "the store did not answer in any way"
	}
	return "the store, or a gateway that answers for it, did not answer in time" + detail
}

func brokenCause(line Line, seen evidence) string {
	if line.Number("leftMs") <= 0 {
		return "its time was over in the middle of the answer"
	}
	switch line.Text("cause") {
	case "callerLeft":
		return "the caller left"
	case "budget":
		return "the budget granted no more tokens in the middle of the answer, which happens while the store is away"
	}
	if gone, ok := seen.last("endpoint's record is gone"); ok {
		return fmt.Sprintf("endpoint %s ended in the middle of the answer; its record went", gone.Text("endpoint"))
	}
	return fmt.Sprintf("endpoint %s broke the answer off after %.0f events", line.Text("endpoint"), line.Number("events"))
}
