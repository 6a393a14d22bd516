package history

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ErrCorrupt means that the content of a block does not decode or does not match its
// checksum.
var ErrCorrupt = errors.New("history block is corrupt")

// Block holds messages in compressed form with a checksum.
type Block struct {
	data []byte
	// count is the number of messages. size is the number of bytes of data before
	// compression, including the length prefixes of the texts.
	count, size int
}

const (
	// maxParallelCoders bounds the number of blocks that are compressed, or
	// decompressed, concurrently.
	maxParallelCoders = 4
	// windowBytes is the size of the compression window. It covers a typical block; a
	// larger window would increase the memory of the encoder.
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

// Pack returns a block that holds messages in compressed form.
func Pack(messages []spool.Message) Block {
	var plain []byte
	for _, message := range messages {
		for _, text := range []string{message.Role, message.Content} {
			plain = append(binary.AppendUvarint(plain, uint64(len(text))), text...)
		}
	}
	packed := encoder().EncodeAll(plain, nil)
	// Copy the result, because its backing array may be much larger than its content.
	return Block{data: append(make([]byte, 0, len(packed)), packed...), count: len(messages), size: len(plain)}
}

// Unpack decompresses the messages. The only error is ErrCorrupt; the returned messages
// are not usable then.
func (b Block) Unpack() (messages []spool.Message, err error) {
	plain, err := decoder().DecodeAll(b.data, make([]byte, 0, b.size))
	if err != nil || len(plain) != b.size {
		return nil, ErrCorrupt
	}
	// The texts of all messages are substrings of one string.
	rest := string(plain)
	readString := func() (text string) {
		length, used := binary.Uvarint([]byte(rest[:min(len(rest), binary.MaxVarintLen64)]))
		if used <= 0 || length > uint64(len(rest)-used) {
			err = ErrCorrupt
			return ""
		}
		text, rest = rest[used:used+int(length)], rest[used+int(length):]
		return text
	}
	for range b.count {
		messages = append(messages, spool.Message{Role: readString(), Content: readString()})
	}
	if rest != "" {
		err = ErrCorrupt
	}
	return messages, err
}

// Data returns the compressed form. The slice shares the memory of the block, so the
// caller must not modify it.
func (b Block) Data() []byte { return b.data }

// mustUnpack decompresses the messages and panics when the block is corrupt. Without
// the panic, this process would answer with a wrong history or write a snapshot without
// the history. The log still contains the whole history, and the next owner of the
// stream restores it from there.
func (b Block) mustUnpack() []spool.Message {
	messages, err := b.Unpack()
	if err != nil {
		panic(err)
	}
	return messages
}
