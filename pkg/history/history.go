// Package history keeps the messages of one program in little memory. All but
// the latest messages are compressed; a turn adds to them without reading them.
package history

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// blockBytes is the text that is packed at once. Larger blocks pack better, but
// the messages that are not packed yet take up to this much per program.
const blockBytes = 32 << 10

// History is a list of messages that grows at its end. The zero value is empty.
type History struct {
	// packed holds the first messages, recent those after them. The latest message
	// is always recent.
	packed []Block
	recent []spool.Message
	// recentBytes is the length of the text of recent, bytes that of all messages.
	recentBytes, bytes int
	// count is the number of all messages.
	count int
}

// Len returns the number of messages.
func (h *History) Len() int { return h.count }

// Bytes returns the length of the text of all messages.
func (h *History) Bytes() int { return h.bytes }

// Append adds messages.
func (h *History) Append(messages ...spool.Message) {
	for _, message := range messages {
		if h.recentBytes >= blockBytes {
			h.packed = append(h.packed, Pack(h.recent))
			// The array of the packed messages is not used again, so that their text
			// is freed.
			h.recent, h.recentBytes = nil, 0
		}
		h.recent = append(h.recent, message)
		h.recentBytes += len(message.Content)
		h.bytes += len(message.Content)
		h.count++
	}
}

// All returns a copy of the messages.
func (h *History) All() []spool.Message {
	all := make([]spool.Message, 0, h.count)
	for _, block := range h.packed {
		all = append(all, block.messages()...)
	}
	return append(all, h.recent...)
}

// At returns the message with an index from 0 to Len-1.
func (h *History) At(index int) spool.Message {
	for _, block := range h.packed {
		if index < block.count {
			return block.messages()[index]
		}
		index -= block.count
	}
	return h.recent[index]
}

// Continues returns what prompt adds to the history, or false when the history
// is not a prefix of prompt.
func (h *History) Continues(prompt []spool.Message) (rest []spool.Message, ok bool) {
	if len(prompt) < h.count {
		return nil, false
	}
	rest = prompt
	for _, block := range h.packed {
		if !slices.Equal(block.messages(), rest[:block.count]) {
			return nil, false
		}
		rest = rest[block.count:]
	}
	if !slices.Equal(h.recent, rest[:len(h.recent)]) {
		return nil, false
	}
	return rest[len(h.recent):], true
}
