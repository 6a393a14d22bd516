package capacity_test

import (
	"testing"

	"github.com/baobabspool/baobabspool/internal/capacity"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// BenchmarkBlock measures the speed of packing and unpacking blocks of 32 KB of the
// repository's own text. The metric "left" is the packed size divided by the original
// size.
func BenchmarkBlock(b *testing.B) {
	text, err := capacity.Corpus("../..")
	if err != nil {
		b.Fatal(err)
	}
	const size, turn = 32 << 10, 900
	var blocks [][]spool.Message
	for at := 0; at+size < len(text); at += size {
		var messages []spool.Message
		for from := at; from < at+size; from += turn {
			messages = append(messages, spool.Message{Role: "user", Content: text[from:min(from+turn, at+size)]})
		}
		blocks = append(blocks, messages)
	}
	packed := make([]history.Block, len(blocks))
	b.Run("pack", func(b *testing.B) {
		b.SetBytes(size)
		bytes := 0
		for i := range b.N {
			packed[i%len(blocks)] = history.Pack(blocks[i%len(blocks)])
			bytes += len(packed[i%len(blocks)].Data())
		}
		b.ReportMetric(float64(bytes)/float64(b.N)/size, "left")
	})
	b.Run("unpack", func(b *testing.B) {
		b.SetBytes(size)
		block := history.Pack(blocks[0])
		for b.Loop() {
			if _, err := block.Unpack(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
