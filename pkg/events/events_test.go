package events_test

import (
	"bytes"
	"fmt"
	"strings"
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

	// Guards against a stream that was broken off in an event and is taken for complete.
	ginkgo.It("reports whether the stream stands in an event", func() {
		splitter := events.NewSplitter()
		gomega.Expect(splitter.InEvent()).To(gomega.BeFalse())
		for _, part := range []struct {
			text    string
			inEvent bool
		}{{"data: a\n\n", false}, {"i", true}, {"d: 2\ndata: b\n", true}, {"\n", false}, {"\n", false}, {": comment", true}} {
			splitter.Add([]byte(part.text))
			gomega.Expect(splitter.InEvent()).To(gomega.Equal(part.inEvent), "after %q", part.text)
		}
	})

	// Guards against a stream whose events are found only at its end, since its lines do
	// not end with line feeds.
	ginkgo.DescribeTable("finds events by lines of any end", func(end string) {
		event := "id: 1" + end + "data: one" + end + "data:two" + end + end
		splitter := events.NewSplitter()
		var whole []byte
		for i := range len(event) {
			gomega.Expect(splitter.InEvent()).To(gomega.Equal(i > 0 && len(whole) == 0))
			whole = append(whole, splitter.Add([]byte{event[i]})...)
		}
		gomega.Expect(string(whole)).To(gomega.Equal(event))
		gomega.Expect(events.Count(whole)).To(gomega.Equal(1))
		gomega.Expect(events.LastID(whole)).To(gomega.Equal("1"))
		gomega.Expect(string(events.AppendData(nil, whole))).To(gomega.Equal("one\ntwo\n"))
	}, ginkgo.Entry("line feed", "\n"), ginkgo.Entry("carriage return", "\r"), ginkgo.Entry("both", "\r\n"))

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
		lineEnd := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(t, "line end")
		for i := range count {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, rapid.StringMatching(`[a-z ]{0,30}`).Draw(t, "data"))
			stream = append(stream, strings.ReplaceAll(event, "\n", lineEnd)...)
		}
		splitter := events.NewSplitter()
		var passed []byte
		for rest := stream; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			whole := splitter.Add(rest[:size])
			// The line feed after the carriage return that ends an event may come later.
			isComplete := bytes.HasSuffix(whole, []byte(lineEnd+lineEnd))
			if soFar := append(bytes.Clone(passed), whole...); lineEnd == "\r\n" {
				isComplete = bytes.HasSuffix(soFar, []byte("\r\n\r\n")) || bytes.HasSuffix(soFar, []byte("\r\n\r"))
			}
			if len(whole) > 0 && !isComplete {
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
	f.Add([]byte("data: a\r\n\r\ndata: b\r\rid: 3\n\r"), 10)
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
