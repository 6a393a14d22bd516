package history_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestHistory(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "history")
}

// TestPlain compares a history with an uncompressed slice of the same messages. It
// guards against compression that loses, reorders or changes a message, and against
// prompts that are wrongly accepted or rejected as continuations.
func TestPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var packed history.History
		var plain []spool.Message
		bytes := 0
		text := rapid.StringN(0, -1, 200)
		for range rapid.IntRange(0, 40).Draw(t, "turns") {
			repeats := rapid.SampledFrom([]int{0, 1, 10, 200, 400}).Draw(t, "repeats")
			turn := []spool.Message{
				{Role: "user", Content: strings.Repeat(text.Draw(t, "question"), repeats)},
				{Role: rapid.SampledFrom([]string{"assistant", "tool", ""}).Draw(t, "role"), Content: text.Draw(t, "answer")},
			}
			packed.Append(turn...)
			plain = append(plain, turn...)
			bytes += len(turn[0].Content) + len(turn[1].Content)
		}
		if packed.Len() != len(plain) || packed.Bytes() != bytes || !slices.Equal(packed.All(), plain) {
			t.Fatalf("history of %d messages differs from the plain slice", len(plain))
		}
		more := spool.Message{Role: "user", Content: "more"}
		if rest, ok := packed.Continues(append(slices.Clone(plain), more)); !ok || !slices.Equal(rest, []spool.Message{more}) {
			t.Fatalf("a prompt that extends the history does not continue it")
		}
		if len(plain) == 0 {
			return
		}
		at := rapid.IntRange(0, len(plain)-1).Draw(t, "index")
		if packed.At(at) != plain[at] {
			t.Fatalf("message %d differs from the plain slice", at)
		}
		other := slices.Clone(plain)
		other[at].Content += "x"
		if _, ok := packed.Continues(other); ok {
			t.Fatalf("a prompt with a different message %d continues the history", at)
		}
		if _, ok := packed.Continues(plain[:at]); ok {
			t.Fatalf("a shorter prompt continues the history")
		}
	})
}

var _ = ginkgo.Describe("A block", func() {
	messages := []spool.Message{{Role: "user", Content: strings.Repeat("fog on the net, ", 40)}, {Role: "assistant", Content: "ünïcode"}, {}}

	// Guards against a damaged block that goes unnoticed and gives a wrong history.
	ginkgo.It("is found damaged when any of its bytes changes or is missing", func() {
		block := history.Pack(messages)
		gomega.Expect(block.Unpack()).To(gomega.Equal(messages))
		data := block.Data()
		for i := range data {
			for _, flip := range []byte{1, 0x80, 0xff} {
				data[i] ^= flip
				got, err := block.Unpack()
				if err == nil {
					// Some bits of the frame header, which is within the first 6 bytes,
					// have no effect on the content.
					gomega.Expect(got).To(gomega.Equal(messages), "byte %d", i)
					gomega.Expect(i).To(gomega.BeNumerically("<", 6), "byte %d", i)
				}
				data[i] ^= flip
			}
		}
		gomega.Expect(block.Unpack()).To(gomega.Equal(messages))
	})
})
