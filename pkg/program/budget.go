package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// tokensPerMessage bounds what a chat template adds to a message, in tokens.
const tokensPerMessage = 16

// Budget bounds a tree of programs. A field that is 0 sets no bound.
type Budget struct {
	// Tokens bounds the tokens charged: those of new messages and of answers.
	Tokens int `json:"tokens,omitempty"`
	// Calls bounds the calls dispatched.
	Calls int `json:"calls,omitempty"`
	// Wall bounds the time since the start of the root, in milliseconds.
	Wall clock.Millis `json:"wallMs,omitempty"`
	// Depth bounds how deep sub-agents may nest; the root has depth 0.
	Depth int `json:"depth,omitempty"`
	// Agents bounds the sub-agents of the tree, ended ones included.
	Agents int `json:"agents,omitempty"`
}

// Within returns b with every bound lowered to that of limit.
func (b Budget) Within(limit Budget) Budget {
	return Budget{
		Tokens: tighterBound(b.Tokens, limit.Tokens),
		Calls:  tighterBound(b.Calls, limit.Calls),
		Wall:   tighterBound(b.Wall, limit.Wall),
		Depth:  tighterBound(b.Depth, limit.Depth),
		Agents: tighterBound(b.Agents, limit.Agents),
	}
}

func tighterBound[N int | clock.Millis](a, b N) N {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// Usage is what a tree has used of its budget.
type Usage struct {
	// Tokens, Calls and Agents count what Budget bounds.
	Tokens int `json:"tokens"`
	Calls  int `json:"calls"`
	Agents int `json:"agents"`
}

func (u Usage) add(other Usage) Usage {
	return Usage{Tokens: u.Tokens + other.Tokens, Calls: u.Calls + other.Calls, Agents: u.Agents + other.Agents}
}

func (u Usage) subtract(other Usage) Usage {
	return Usage{Tokens: u.Tokens - other.Tokens, Calls: u.Calls - other.Calls, Agents: u.Agents - other.Agents}
}

// exceeded names the bound that usage goes beyond, or returns "".
func (b Budget) exceededBound(usage Usage) string {
	switch {
	case b.Tokens > 0 && usage.Tokens > b.Tokens:
		return "tokens"
	case b.Calls > 0 && usage.Calls > b.Calls:
		return "calls"
	case b.Agents > 0 && usage.Agents > b.Agents:
		return "agents"
	default:
		return ""
	}
}

// maxTokensOf returns an upper bound of the tokens of messages. A token covers
// at least one byte, so the bound holds for every tokenizer.
func maxTokenCount(messages []spool.Message) int {
	total := 0
	for _, message := range messages {
		total += len(message.Content) + len(message.Role) + tokensPerMessage
	}
	return total
}

// bytesPerToken is a usual ratio for English text; it serves estimates only.
const bytesPerToken = 4

// EstimateTokens guesses the tokens of messages, for routing.
func EstimateTokens(messages []spool.Message) int {
	return textBytes(messages)/bytesPerToken + len(messages)
}
