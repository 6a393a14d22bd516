package journal_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// turnRecord returns a record with 602 bytes of data, the size of a short turn
// of a program.
func turnRecord() spool.Record {
	data := make([]byte, 0, 602)
	data = append(data, '"')
	for range 600 {
		data = append(data, 'x')
	}
	return spool.Record{Kind: "test.turn", Program: "p-0123456789", Data: append(data, '"')}
}

// newLongStream returns a stream of one epoch with count units, ten per batch.
// count must be a multiple of 10.
func newLongStream(count int) []spool.Batch {
	recovered := newBatch("a", 1, spool.Record{Kind: journal.KindRecovered, Data: []byte(`{}`)})
	log := []spool.Batch{claimBatch("a", 1), recovered}
	record := turnRecord()
	for i := 0; i < count; i += 10 {
		var list []journal.Unit
		for k := range 10 {
			u := newUnit("a", 1, uint64(i+k+1))
			u.Batch.Records = []spool.Record{record}
			list = append(list, u)
		}
		log = append(log, unitBatch("a", 1, list...))
	}
	for i := range log {
		log[i].Offset = spool.Offset(i + 1)
	}
	return log
}

// BenchmarkSubmit measures the CPU time of submissions from Submit until they
// are read back. The cost per batch and the cost per record follow from the
// results for different batch sizes.
func BenchmarkSubmit(b *testing.B) {
	for _, size := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			log := newInstantLog()
			record := turnRecord()
			for b.Loop() {
				log.now += 100
				for range size {
					log.ticket++
					log.execute(log.journal.Submit(log.now, log.ticket, []spool.Record{record}, true))
				}
				for log.answered < int(log.ticket) {
					log.now += 100
					log.execute(log.journal.Tick(log.now))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/record")
		})
	}
}

// instantLog connects a journal to a log that answers at once.
type instantLog struct {
	journal *journal.Journal
	now     clock.Millis
	// ticket is the ticket of the latest submission; tickets start at 1.
	ticket journal.Ticket
	// answered is the number of answered submissions.
	answered   int
	lastOffset spool.Offset
	// unread holds the batches that were appended and not read.
	unread []spool.Batch
	// pendingRead is the read that waits for a batch; nil if there is none.
	pendingRead *journal.Read
}

func newInstantLog() *instantLog {
	log := &instantLog{now: 1000}
	log.journal = journal.New(journal.Config{Node: "a", Stream: stream, BacklogBytes: 1 << 30, BatchBytes: 8 << 20})
	log.execute(log.journal.Follow(log.now, nil))
	for !log.journal.Serving() {
		log.now += 100
		log.execute(log.journal.Tick(log.now))
	}
	return log
}

func (log *instantLog) execute(commands []journal.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case journal.Append:
			log.lastOffset++
			command.Batch.Offset = log.lastOffset
			log.unread = append(log.unread, command.Batch)
			log.execute(log.journal.Appended(log.now, command.Batch.ID, nil))
		case journal.Read:
			log.pendingRead = &command
		case journal.Answer:
			log.answered++
		}
	}
	if r := log.pendingRead; r != nil && (len(log.unread) > 0 || r.After == 0) {
		page := spool.Page{Batches: log.unread, First: 1, Last: log.lastOffset}
		log.pendingRead, log.unread = nil, nil
		log.execute(log.journal.ReadDone(log.now, r.Serial, page, nil))
	}
}

// BenchmarkRecover measures the replay of a whole stream. This is the part of a
// recovery whose time grows with the length of the stream.
func BenchmarkRecover(b *testing.B) {
	for _, count := range []int{1_000, 4_000, 16_000, 64_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			log := newLongStream(count)
			for b.Loop() {
				replay := journal.NewReplay(1)
				for _, batch := range log {
					replay.Add(batch)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/record")
		})
	}
}

// BenchmarkReplicaMemory measures the heap bytes per record in a ReplicaStore,
// including the record's data of 602 bytes.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				replica := journal.NewReplicaStore("h", 1<<30)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range count {
					u := newUnit("a", 1, uint64(i+1))
					u.Batch.Records = []spool.Record{turnRecord()}
					if err := replica.Store(stream, 1, 0, []journal.Unit{u}); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(replica)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/record")
		})
	}
}
