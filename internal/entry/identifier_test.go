package entry_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const manyStreams = 8

var _ = ginkgo.Describe("Identifiers of new programs", func() {
	var (
		b           *bench
		near, other *member
		fog         caller
	)

	ginkgo.BeforeEach(func() {
		b = newBench()
		wide := func(config *entry.Config) { config.Streams = manyStreams }
		near, other = b.entry("entry-1", wide), b.entry("entry-2", wide)
		fog = caller{at: near, account: "fog"}
	})

	// split gives near the streams below count and other the rest.
	split := func(count int) {
		for i := range manyStreams {
			if i < count {
				b.give(near, spool.ProgramStream(i))
			} else {
				b.give(other, spool.ProgramStream(i))
			}
		}
	}

	// starts returns how many of count new programs belong to each stream.
	starts := func(count int) map[spool.Stream]int {
		perStream := map[spool.Stream]int{}
		for range count {
			perStream[spool.StreamOfProgram(fog.start(mist), manyStreams)]++
		}
		return perStream
	}

	ginkgo.It("belong to the streams of the entry that starts them, in equal parts", func() {
		split(2)
		got := starts(200)
		gomega.Expect(got).To(gomega.HaveLen(2), "no start is forwarded")
		// 60 of 200 lie 5.6 standard deviations below an equal part.
		gomega.Expect(got[spool.ProgramStream(0)]).To(gomega.BeNumerically(">", 60))
		gomega.Expect(got[spool.ProgramStream(1)]).To(gomega.BeNumerically(">", 60))
	})

	ginkgo.It("belong to any stream when the entry owns none, and the programs start", func() {
		split(0)
		gomega.Expect(len(starts(100))).To(gomega.BeNumerically(">", manyStreams/2))
	})

	ginkgo.It("stay valid when the stream is lost between the choice and the start", func() {
		split(1)
		var once sync.Once
		b.refuse = func([]spool.Record, bool) (err error) {
			once.Do(func() {
				// The owner changes while the record of the start is under way.
				go b.give(other, spool.ProgramStream(0))
				err = spool.Refuse(spool.CodeNotOwner, "not the owner").WithNotRun(spool.NotRunUnknown)
			})
			return err
		}
		id := fog.start(mist)
		gomega.Expect(spool.StreamOfProgram(id, manyStreams)).To(gomega.Equal(spool.ProgramStream(0)))
		status, body := fog.send("POST", path(id, "/calls"), turn("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(b.kinds(spool.ProgramStream(0))).To(gomega.HaveLen(2), "the program starts once and has one turn")
	})

	ginkgo.It("cannot be guessed: no two are equal and every position takes many letters", func() {
		split(1)
		seen := map[spool.ProgramID]bool{}
		letters := make([]map[byte]bool, 26)
		for range 400 {
			id := fog.start(mist)
			gomega.Expect(id).To(gomega.HaveLen(26))
			gomega.Expect(seen[id]).To(gomega.BeFalse())
			seen[id] = true
			for i := range letters {
				if letters[i] == nil {
					letters[i] = map[byte]bool{}
				}
				letters[i][id[i]] = true
			}
		}
		for i, known := range letters[:25] {
			gomega.Expect(len(known)).To(gomega.BeNumerically(">=", 28), fmt.Sprint("position ", i))
		}
		gomega.Expect(letters[25]).To(gomega.HaveLen(8), "the last letter carries 3 bits")
	})
})
