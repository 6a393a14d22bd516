package program_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// turnCounts are the numbers of turns of the measured programs. The largest one is
// the design target: 340 turns with about 600 kB of text, or about 150,000 tokens.
var turnCounts = []int{1, 40, 130, 340}

// turnText is the text of each question and of each answer. A turn consists of one
// question and one answer, about 1.8 kB together.
var turnText = strings.Repeat("fog on the net. ", 55)

// commitTurns starts a program, applies the records of the given number of turns and
// returns all records.
func commitTurns(state *program.State, id spool.ProgramID, turns int) (records []spool.Record) {
	commit := func(record spool.Record) {
		records = append(records, record)
		state.Apply(records[len(records)-1:])
	}
	record, _ := state.StartRecord(id, program.Started{Account: "fog"})
	commit(record)
	for i := range turns {
		commit(nextTurn(state, id, i))
	}
	return records
}

// nextTurn admits call number i, releases its ticket and returns the record of the
// turn. The caller applies the record.
func nextTurn(state *program.State, id spool.ProgramID, i int) spool.Record {
	decision, err := state.Admit(0, program.CallRequest{
		Program: id, Account: "fog", Call: spool.CallID(fmt.Sprint("call-", i)), Body: "0123456789abcdef0123456789abcdef",
		Kind: program.CallModel, Messages: userMessage(turnText), MaxTokens: 512,
	})
	if err != nil {
		panic(err)
	}
	record, _ := state.TurnRecord(0, decision.Ticket.ID, program.TurnResult{
		Text: strings.Clone(turnText), PromptTokens: 220 + 440*i, GeneratedTokens: 220, Endpoint: "e",
	})
	state.Release(0, decision.Ticket.ID)
	return record
}

// BenchmarkTurn measures the time to admit, record and apply the next turn of a program
// that has the given number of turns. The time must not grow with the history.
func BenchmarkTurn(b *testing.B) {
	for _, turns := range turnCounts {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			state := program.NewState(program.Limits{HistoryBytes: 1 << 40})
			commitTurns(state, "p", turns)
			bytes := 0
			next := turns
			for b.Loop() {
				record := nextTurn(state, "p", next)
				state.Apply([]spool.Record{record})
				bytes += len(record.Data)
				next++
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "recordBytes/op")
		})
	}
}

// BenchmarkMemory measures the memory of a program and, as ns/op, the time to rebuild
// it from its records.
func BenchmarkMemory(b *testing.B) {
	for _, turns := range turnCounts {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			records := commitTurns(program.NewState(program.Limits{}), "p", turns)
			text := 2 * len(turnText) * turns
			states := make([]*program.State, 0, b.N)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				state := program.NewState(program.Limits{})
				state.Apply(records)
				// Keep up to 64 states to measure their memory. The bound limits the
				// memory of the benchmark itself.
				if len(states) < 64 {
					states = append(states, state)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			perProgram := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(states))
			b.ReportMetric(perProgram, "heapBytes/program")
			b.ReportMetric(perProgram-float64(text), "overheadBytes/program")
			runtime.KeepAlive(states)
		})
	}
}
