package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// tokensPerMessage is an assumed upper bound of the number of tokens that a chat
// template adds to a message.
const tokensPerMessage = 16

// Budget bounds a program tree. A field that is 0 sets no bound.
type Budget struct {
	// Tokens bounds the charged tokens: those of new messages and of answers. The
	// history before a call is not charged again.
	Tokens int `json:"tokens,omitempty"`
	// Calls bounds the number of dispatched calls, including failed ones.
	Calls int `json:"calls,omitempty"`
	// Wall is the time, from the start of the root program, after which no call may
	// start.
	Wall clock.Millis `json:"wallMs,omitempty"`
	// Depth bounds the nesting of sub-agents. The root program has depth 0.
	Depth int `json:"depth,omitempty"`
	// Agents bounds the number of sub-agents of the tree, including ended ones.
	Agents int `json:"agents,omitempty"`
}

// Within returns, for each field, the tighter one of the bounds of b and limit.
func (b Budget) Within(limit Budget) Budget {
	return Budget{
		Tokens: tighterBound(b.Tokens, limit.Tokens),
		Calls:  tighterBound(b.Calls, limit.Calls),
		Wall:   tighterBound(b.Wall, limit.Wall),
		Depth:  tighterBound(b.Depth, limit.Depth),
		Agents: tighterBound(b.Agents, limit.Agents),
	}
}

// tighterBound returns the lower one of two bounds. A bound of 0 means no bound, so the
// result is 0 only if both are 0.
func tighterBound[N int | clock.Millis](a, b N) N {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// Usage is an amount of the budget: the part that a tree has used, or the part that is
// reserved.
type Usage struct {
	// Tokens, Calls and Agents count towards the Budget fields of the same name.
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

// exceededBound returns the name of the first bound that usage exceeds, or "".
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

// maxTokenCount returns an upper bound of the number of tokens of messages. The bound
// is the number of bytes plus tokensPerMessage per message. It is valid for every
// tokenizer, because a token covers at least one byte.
func maxTokenCount(messages []spool.Message) int {
	total := 0
	for _, message := range messages {
		total += len(message.Content) + len(message.Role) + tokensPerMessage
	}
	return total
}

// bytesPerToken is a typical ratio for English text. Only EstimateTokens uses it; the
// budget uses the upper bound of maxTokenCount.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens of messages, for routing. The true
// number may be higher.
func EstimateTokens(messages []spool.Message) int {
	return textBytes(messages)/bytesPerToken + len(messages)
}
