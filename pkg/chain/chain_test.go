package chain_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "200"}) }

func TestChain(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "chain")
}

// maxIndexBytes is more than the turns of a spec have.
const maxIndexBytes = 1 << 20

func newTurn(id string, history ...string) *chain.Turn {
	return &chain.Turn{
		ID: id, Account: "weavers", History: history, Input: []byte("in " + id + "\n"), Output: []byte("out " + id + "\n"),
		Retention: clock.Minute,
	}
}

var _ = ginkgo.Describe("Index", func() {
	ginkgo.It("returns the history of a turn, oldest first", func() {
		index := chain.NewIndex(maxIndexBytes)
		for _, t := range []*chain.Turn{newTurn("a"), newTurn("b", "a"), newTurn("c", "a", "b"), newTurn("x")} {
			index.Add(0, t)
		}
		history, missing := index.History("c")
		gomega.Expect(missing).To(gomega.BeEmpty())
		gomega.Expect(string(bytes.Join(chain.Prompt(history, []byte("next")), nil))).To(gomega.Equal(
			"in a\nout a\nin b\nout b\nin c\nout c\nnext"))
	})

	// Guards against a prompt that lacks one of the earlier turns and thus
	// misrepresents the conversation.
	ginkgo.It("reports the turns that are missing", func() {
		index := chain.NewIndex(maxIndexBytes)
		index.Add(0, newTurn("c", "a", "b"))
		index.Add(0, newTurn("a"))
		_, missing := index.History("c")
		gomega.Expect(missing).To(gomega.Equal([]string{"b"}))
		_, missing = index.History("z")
		gomega.Expect(missing).To(gomega.Equal([]string{"z"}))
	})

	ginkgo.It("keeps the first copy of a turn", func() {
		index := chain.NewIndex(maxIndexBytes)
		index.Add(0, newTurn("a"))
		other := newTurn("a")
		other.Output = []byte("forged")
		index.Add(0, other)
		history, _ := index.History("a")
		gomega.Expect(string(history[0].Output)).To(gomega.Equal("out a\n"))
	})

	ginkgo.It("evicts the turns that have been in it for longest beyond its bound, and counts them", func() {
		turn := newTurn("a")
		index := chain.NewIndex(2 * turn.TextBytes())
		gomega.Expect(index.Add(0, turn)).To(gomega.BeZero())
		gomega.Expect(index.Add(0, newTurn("b"))).To(gomega.BeZero())
		gomega.Expect(index.Add(0, newTurn("c"))).To(gomega.Equal(1))
		gomega.Expect(index.Turns([]string{"a", "b", "c"})).To(gomega.HaveLen(2))
		gomega.Expect(index.Turns([]string{"a"})).To(gomega.BeEmpty())
	})

	ginkgo.It("keeps a turn for its retention and drops it afterwards", func() {
		index := chain.NewIndex(maxIndexBytes)
		index.Add(0, newTurn("a"))
		index.Expire(clock.Minute)
		_, missing := index.History("a")
		gomega.Expect(missing).To(gomega.BeEmpty())
		index.Expire(2 * clock.Minute)
		_, missing = index.History("a")
		gomega.Expect(missing).NotTo(gomega.BeEmpty())
		gomega.Expect(index.Bytes()).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("Index with a chain of turns", func() {
	// Guards against the loss of a chain whose first turn is older than its retention.
	ginkgo.It("keeps a turn for as long as a later turn that continues it", func() {
		const pause = 40 * clock.Second
		index := chain.NewIndex(maxIndexBytes)
		index.Add(0, newTurn("a"))
		index.Add(0, newTurn("unrelated"))
		index.Add(pause, newTurn("b", "a"))
		index.Expire(2 * pause)
		index.Add(2*pause, newTurn("c", "a", "b"))
		index.Expire(3 * pause)
		history, missing := index.History("c")
		gomega.Expect(missing).To(gomega.BeEmpty())
		gomega.Expect(history).To(gomega.HaveLen(3))
		gomega.Expect(index.Turns([]string{"unrelated"})).To(gomega.BeEmpty())
		index.Expire(4 * pause)
		gomega.Expect(index.Bytes()).To(gomega.BeZero())
	})

	// Guards against an index whose turns take all memory of the process.
	ginkgo.It("removes the oldest turns beyond its bound", func() {
		a, b, c := newTurn("a"), newTurn("b"), newTurn("c")
		index := chain.NewIndex(a.TextBytes() + b.TextBytes())
		for _, turn := range []*chain.Turn{a, b, c} {
			index.Add(0, turn)
		}
		gomega.Expect(index.Turns([]string{"a", "b", "c"})).To(gomega.Equal([]*chain.Turn{b, c}))
		index.Expire(2 * clock.Minute)
		gomega.Expect(index.Bytes()).To(gomega.BeZero())
	})

	ginkgo.It("replaces a turn by a copy that was written later", func() {
		index := chain.NewIndex(maxIndexBytes)
		index.Add(0, newTurn("a"))
		copied := newTurn("a")
		copied.WrittenAt = 5
		index.Add(0, copied)
		history, _ := index.History("a")
		gomega.Expect(history[0].WrittenAt).To(gomega.Equal(clock.Millis(5)))
	})
})

var _ = ginkgo.Describe("Locations", func() {
	ginkgo.It("returns the last record of a turn until the log has removed it", func() {
		locations := chain.NewLocations()
		a, b := newTurn("a").Encode(), newTurn("b").Encode()
		for offset, record := range [][]byte{a, b, []byte("no turn"), a} {
			locations.Add(int64(offset), record)
		}
		gomega.Expect(locations.Find("a")).To(gomega.Equal([]chain.Location{{Offset: 3, Bytes: len(a)}}))
		locations.Trim(2)
		gomega.Expect(locations.Find("b")).To(gomega.BeEmpty())
		gomega.Expect(locations.Find("a")).NotTo(gomega.BeEmpty())
		locations.Trim(4)
		gomega.Expect(locations.Find("a")).To(gomega.BeEmpty())
	})

	// Guards against a turn of several records that is read while one of them is missing.
	ginkgo.It("returns a turn of several records only if all are known", func() {
		locations := chain.NewLocations()
		records := newTurn("a").EncodeRecords(10)
		gomega.Expect(len(records)).To(gomega.BeNumerically(">", 2))
		for i, record := range records[1:] {
			locations.Add(int64(i), record)
		}
		gomega.Expect(locations.Find("a")).To(gomega.BeEmpty())
		locations.Add(int64(len(records)), records[0])
		gomega.Expect(locations.Find("a")).To(gomega.HaveLen(len(records)))
		locations.Trim(1)
		gomega.Expect(locations.Find("a")).To(gomega.BeEmpty())
	})
})

// TestTurnCodec guards against a field of a turn that encoding and decoding change
// or lose.
func TestTurnCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 1, 50)
		original := &chain.Turn{
			ID: rapid.StringN(1, 20, -1).Draw(t, "id"), Account: spool.AccountID(rapid.String().Draw(t, "account")),
			History: rapid.SliceOfN(rapid.String(), 1, 5).Draw(t, "line"), Input: text.Draw(t, "input"), Output: text.Draw(t, "output"),
			WrittenAt: clock.Millis(rapid.Int64().Draw(t, "ended")), Retention: clock.Millis(rapid.Int64().Draw(t, "retention")),
		}
		decoded, err := chain.Decode(original.Encode())
		if err != nil || !reflect.DeepEqual(original, decoded) {
			t.Fatalf("%+v became %+v, %v", original, decoded, err)
		}
	})
}

// TestRecords guards against a turn that is changed or lost when it is divided into
// records, and against one that is put together from wrong records.
func TestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := newTurn("a", "b", "c")
		original.Input = rapid.SliceOfN(rapid.Byte(), 1, 500).Draw(t, "input")
		records := original.EncodeRecords(rapid.IntRange(1, 600).Draw(t, "max"))
		decoded, err := chain.DecodeRecords(records)
		if err != nil || !reflect.DeepEqual(original, decoded) {
			t.Fatalf("%+v became %+v, %v", original, decoded, err)
		}
		if len(records) < 2 {
			return
		}
		for _, wrong := range [][][]byte{records[1:], records[:len(records)-1], append(records[1:], records[0])} {
			if _, err := chain.DecodeRecords(wrong); err == nil {
				t.Fatalf("a turn was decoded from %d of %d records", len(wrong), len(records))
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(newTurn("b", "a").Encode())
	f.Add(newTurn("b", "a").EncodeRecords(10)[1])
	f.Fuzz(func(t *testing.T, data []byte) {
		locations := chain.NewLocations()
		locations.Add(0, data)
		_, _ = chain.DecodeRecords([][]byte{data})
		decoded, err := chain.Decode(data)
		if err == nil && decoded.ID == "" {
			t.Fatal("a turn without an ID was decoded")
		}
	})
}
