// Package history holds the messages of one program. All but the latest messages are
// compressed. Appending a message does not decompress earlier ones.
package history

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// blockBytes is the number of bytes of uncompressed text from which on the next Append
// first compresses that text into a block. Larger blocks compress better, but each
// program keeps up to about this much text uncompressed in memory.
const blockBytes = 32 << 10

// History is a list of messages that grows at its end. The zero value is empty and
// ready for use. It is not safe for concurrent use.
type History struct {
	// packedBlocks holds the oldest messages in compressed form, unpacked the messages
	// after them. The latest message is always in unpacked.
	packedBlocks []Block
	unpacked     []spool.Message
	// unpackedBytes is the number of bytes of message content in unpacked. bytes is the
	// same for all messages.
	unpackedBytes, bytes int
	// count is the number of all messages.
	count int
}

// Len returns the number of messages.
func (h *History) Len() int { return h.count }

// Bytes returns the length, in bytes, of the uncompressed content of all messages.
func (h *History) Bytes() int { return h.bytes }

// Append adds messages at the end.
func (h *History) Append(messages ...spool.Message) {
	for _, message := range messages {
		if h.unpackedBytes >= blockBytes {
			h.packedBlocks = append(h.packedBlocks, Pack(h.unpacked))
			// Allocate a new slice instead of reusing the array, so that the garbage
			// collector can free the text of the packed messages.
			h.unpacked, h.unpackedBytes = nil, 0
		}
		h.unpacked = append(h.unpacked, message)
		h.unpackedBytes += len(message.Content)
		h.bytes += len(message.Content)
		h.count++
	}
}

// All returns a copy of all messages. It decompresses every block, and panics when a
// block is corrupt.
func (h *History) All() []spool.Message {
	all := make([]spool.Message, 0, h.count)
	for _, block := range h.packedBlocks {
		all = append(all, block.mustUnpack()...)
	}
	return append(all, h.unpacked...)
}

// At returns the message at index, which must be from 0 to Len()-1. It panics when the
// block with that message is corrupt.
func (h *History) At(index int) spool.Message {
	for _, block := range h.packedBlocks {
		if index < block.count {
			return block.mustUnpack()[index]
		}
		index -= block.count
	}
	return h.unpacked[index]
}

// Continues returns the messages of prompt after the history. ok is false when prompt
// does not start with the whole history. Continues panics when a block is corrupt.
func (h *History) Continues(prompt []spool.Message) (rest []spool.Message, ok bool) {
	if len(prompt) < h.count {
		return nil, false
	}
	rest = prompt
	for _, block := range h.packedBlocks {
		if !slices.Equal(block.mustUnpack(), rest[:block.count]) {
			return nil, false
		}
		rest = rest[block.count:]
	}
	if !slices.Equal(h.unpacked, rest[:len(h.unpacked)]) {
		return nil, false
	}
	return rest[len(h.unpacked):], true
}
