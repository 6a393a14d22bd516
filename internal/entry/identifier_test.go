package entry_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const manyStreamCount = 8

var _ = ginkgo.Describe("Identifiers of new programs", func() {
	var (
		env           *testEnv
		local, remote *fakeStreams
		client        testClient
	)

	ginkgo.BeforeEach(func() {
		env = newTestEnv()
		withManyStreams := func(config *entry.Config) { config.Streams = manyStreamCount }
		local, remote = env.newEntry("entry-1", withManyStreams), env.newEntry("entry-2", withManyStreams)
		client = testClient{server: local, account: "fog"}
	})

	// splitStreams assigns the first count streams to local and the others to
	// remote.
	splitStreams := func(count int) {
		for i := range manyStreamCount {
			if i < count {
				env.assignStreams(local, spool.ProgramStream(i))
			} else {
				env.assignStreams(remote, spool.ProgramStream(i))
			}
		}
	}

	// countStartsPerStream starts count programs and returns how many belong to
	// each stream.
	countStartsPerStream := func(count int) map[spool.Stream]int {
		perStream := map[spool.Stream]int{}
		for range count {
			perStream[spool.StreamOfProgram(client.startProgram(startBody), manyStreamCount)]++
		}
		return perStream
	}

	ginkgo.It("belong to the streams of the entry that starts the program, evenly distributed", func() {
		splitStreams(2)
		got := countStartsPerStream(200)
		gomega.Expect(got).To(gomega.HaveLen(2), "no start is forwarded")
		// Each stream gets about 100 of the 200 programs. 60 is 5.6 standard
		// deviations below that, so the check does not fail by chance.
		gomega.Expect(got[spool.ProgramStream(0)]).To(gomega.BeNumerically(">", 60))
		gomega.Expect(got[spool.ProgramStream(1)]).To(gomega.BeNumerically(">", 60))
	})

	ginkgo.It("belong to any stream if the entry owns none, and the programs start", func() {
		splitStreams(0)
		gomega.Expect(len(countStartsPerStream(100))).To(gomega.BeNumerically(">", manyStreamCount/2))
	})

	ginkgo.It("stay valid if the entry loses the stream before the start is recorded", func() {
		splitStreams(1)
		var once sync.Once
		env.submitError = func([]spool.Record, bool) (err error) {
			once.Do(func() {
				// The owner changes while the start record is being submitted.
				go env.assignStreams(remote, spool.ProgramStream(0))
				err = spool.Refuse(spool.CodeNotOwner, "not the owner").WithNotRun(spool.NotRunUnknown)
			})
			return err
		}
		id := client.startProgram(startBody)
		gomega.Expect(spool.StreamOfProgram(id, manyStreamCount)).To(gomega.Equal(spool.ProgramStream(0)))
		status, body := client.send("POST", programPath(id, "/calls"), callBody("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(env.recordKinds(spool.ProgramStream(0))).To(gomega.HaveLen(2), "one start and one turn are recorded")
	})

	ginkgo.It("are unpredictable: no two are equal and every position takes many letters", func() {
		splitStreams(1)
		seen := map[spool.ProgramID]bool{}
		letters := make([]map[byte]bool, 26)
		for range 400 {
			id := client.startProgram(startBody)
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
		for i, seenLetters := range letters[:25] {
			gomega.Expect(len(seenLetters)).To(gomega.BeNumerically(">=", 28), fmt.Sprint("position ", i))
		}
		gomega.Expect(letters[25]).To(gomega.HaveLen(8), "the last letter encodes 3 bits")
	})
})
