package history

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ErrDamaged means that the memory of a block has changed.
var ErrDamaged = errors.New("block of a history is damaged")

// Block holds messages in compressed form with a checksum.
type Block struct {
	data []byte
	// count is the number of messages, size the length before compression.
	count, size int
}

const (
	// coders bounds the blocks that are packed, or unpacked, at a time.
	maxParallelCoders = 4
	// windowBytes covers a block; the encoder's memory grows with it.
	windowBytes = 64 << 10
)

var encoder = sync.OnceValue(func() *zstd.Encoder {
	coder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(maxParallelCoders), zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true))
	if err != nil {
		panic(err)
	}
	return coder
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	coder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(maxParallelCoders), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err)
	}
	return coder
})

// Pack compresses messages.
func Pack(messages []spool.Message) Block {
	var plain []byte
	for _, message := range messages {
		for _, text := range []string{message.Role, message.Content} {
			plain = append(binary.AppendUvarint(plain, uint64(len(text))), text...)
		}
	}
	packed := encoder().EncodeAll(plain, nil)
	// The result's array may be much larger than its content.
	return Block{data: append(make([]byte, 0, len(packed)), packed...), count: len(messages), size: len(plain)}
}

// Unpack returns the messages. The error is ErrDamaged.
func (b Block) Unpack() (messages []spool.Message, err error) {
	plain, err := decoder().DecodeAll(b.data, make([]byte, 0, b.size))
	if err != nil || len(plain) != b.size {
		return nil, ErrDamaged
	}
	// All messages share one string.
	rest := string(plain)
	readString := func() (text string) {
		length, used := binary.Uvarint([]byte(rest[:min(len(rest), binary.MaxVarintLen64)]))
		if used <= 0 || length > uint64(len(rest)-used) {
			err = ErrDamaged
			return ""
		}
		text, rest = rest[used:used+int(length)], rest[used+int(length):]
		return text
	}
	for range b.count {
		messages = append(messages, spool.Message{Role: readString(), Content: readString()})
	}
	if rest != "" {
		err = ErrDamaged
	}
	return messages, err
}

// Data returns the compressed form. It belongs to the block.
func (b Block) Data() []byte { return b.data }

// messages unpacks a block of a history. A damaged one ends the process: the
// history is whole on the log, and the next owner of the stream reads it there,
// whereas this process could only answer with a wrong history or lose it in the
// next snapshot.
func (b Block) mustUnpack() []spool.Message {
	messages, err := b.Unpack()
	if err != nil {
		panic(err)
	}
	return messages
}
