package events_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/events"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestEvents(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "events")
}

var _ = ginkgo.Describe("Splitter", func() {
	// Guards against an incomplete event that reaches the caller after an endpoint
	// has stopped in the middle of it. The caller could join it with an event of
	// another attempt.
	ginkgo.It("holds back an incomplete event", func() {
		splitter := events.NewSplitter()
		gomega.Expect(string(splitter.Add([]byte("id: 1\ndata: a\n\nid: 2\nda")))).To(gomega.Equal("id: 1\ndata: a\n\n"))
		gomega.Expect(string(splitter.Rest())).To(gomega.Equal("id: 2\nda"))
		gomega.Expect(string(splitter.Add([]byte("ta: b\n\n")))).To(gomega.Equal("id: 2\ndata: b\n\n"))
	})

	ginkgo.It("extracts the data and the IDs of events", func() {
		whole := []byte("x-weight-versions: 2\nid: 7\ndata: one\ndata:two\n\n: comment\n\nid: 8\ndata: three\n\n")
		gomega.Expect(events.Count(whole)).To(gomega.Equal(2))
		gomega.Expect(events.LastID(whole)).To(gomega.Equal("8"))
		gomega.Expect(string(events.AppendData(nil, whole))).To(gomega.Equal("one\ntwo\nthree\n"))
	})
})

// TestSplitterChunks guards against events that are lost, changed or split,
// depending on how the stream is divided into chunks.
func TestSplitterChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		count := rapid.IntRange(0, 20).Draw(t, "events")
		for i := range count {
			stream = fmt.Appendf(stream, "id: %d\ndata: %s\n\n", i, rapid.StringMatching(`[a-z ]{0,30}`).Draw(t, "data"))
		}
		splitter := events.NewSplitter()
		var passed []byte
		for rest := stream; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			whole := splitter.Add(rest[:size])
			if len(whole) > 0 && !bytes.HasSuffix(whole, []byte("\n\n")) {
				t.Fatalf("%q is not a complete event", whole)
			}
			passed = append(passed, whole...)
			rest = rest[size:]
		}
		if !bytes.Equal(passed, stream) {
			t.Fatalf("the splitter returned %q of the stream %q", passed, stream)
		}
		if events.Count(passed) != count {
			t.Fatalf("%d events were counted, want %d", events.Count(passed), count)
		}
	})
}

// FuzzSplitter guards against a stream that is changed or that ends the process: what comes
// out, with the rest, is what went in, wherever the bytes are split.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"), 7)
	f.Add([]byte("\n\n\n\n\n"), 1)
	f.Add([]byte("data:\ndata\n:\n\nid:\n\n"), 3)
	f.Add([]byte("\xff\x00\n\ndata: \xfe"), 4)
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		at = max(0, min(at, len(stream)))
		splitter := events.NewSplitter()
		var whole []byte
		for _, part := range [][]byte{stream[:at], stream[at:]} {
			complete := splitter.Add(part)
			whole = append(whole, complete...)
			if events.Count(complete) > bytes.Count(complete, []byte("data:")) {
				t.Errorf("more events than data fields in %q", complete)
			}
			_, _ = events.LastID(complete), events.AppendData(nil, complete)
		}
		if got := append(whole, splitter.Rest()...); !bytes.Equal(got, stream) {
			t.Errorf("%q became %q", stream, got)
		}
	})
}
