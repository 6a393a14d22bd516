package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// retainedHeap returns the number of heap bytes that the result of build keeps from
// garbage collection.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureSeries returns a series with the result of measure for each of the sizes.
func measureSeries(name, what, xUnit, yUnit string, sizes []int, measure func(size int) float64) Series {
	result := Series{Name: name, What: what, XUnit: xUnit, YUnit: yUnit}
	for _, size := range sizes {
		result.Points = append(result.Points, Point{X: float64(size), Y: measure(size)})
	}
	return result
}

// controlMemory measures the memory of the control state, by the number of accounts.
// Each account has one key and two settings.
func controlMemory() Series {
	return measureSeries("control-memory", "control state of accounts with one key and two settings each", "accounts", "bytes",
		[]int{100, 400, 1000, 2000}, func(accounts int) float64 {
			return retainedHeap(func() any { return controlState(accounts) })
		})
}

// controlState returns a control state with the given number of accounts.
func controlState(accounts int) *control.State {
	state := control.NewState()
	for i := range accounts {
		id := fmt.Sprintf("account-%d", i)
		_, stored, _ := keyring.Issue(spool.AccountID(id), 1, 0)
		contents := []any{control.Account{ID: spool.AccountID(id)}, stored}
		for _, name := range []settings.Number{settings.LimitRatePerSecond, settings.LimitBurst} {
			contents = append(contents, settings.Change{
				Path:  settings.Path{Target: settings.Target{Level: settings.LevelAccount, ID: id}, Name: string(name)},
				Value: json.RawMessage("100"),
			})
		}
		batch := spool.Batch{Offset: spool.Offset(i + 1), ID: id}
		for _, content := range contents {
			record, _ := control.NewRecord(content)
			batch.Records = append(batch.Records, record)
		}
		_, _ = state.Apply(batch)
	}
	return state
}

// programMemory measures the memory that the owner of a stream needs for programs with
// one short turn, by the number of programs.
func programMemory() Series {
	return measureSeries("program-memory", "state of programs with one short turn, at the owner", "programs", "bytes",
		[]int{500, 1000, 2000, 4000}, func(programs int) float64 {
			return retainedHeap(func() any { return programState(programs, 1, 40, fillerText) })
		})
}

// historyMemory measures the memory of program histories in two forms: as plain
// messages, and as the state of the stream's owner, which keeps all but the latest
// messages packed (compressed).
func historyMemory() (all []Series, err error) {
	text, err := Corpus(".")
	if err != nil {
		return nil, err
	}
	// The first use allocates the encoder, whose memory does not grow with the
	// histories and must not be measured.
	history.Pack([]spool.Message{{Content: text[:1000]}})
	const programs, turnBytes = 20, 1600
	sizes := []int{20, 60, 120, 340}
	plain := measureSeries("history-plain", "texts of the histories of 20 programs, not packed; text of this repository, 4 bytes a token", "tokens of history", "bytes",
		sizes, func(turns int) float64 {
			return retainedHeap(func() any {
				var messages []spool.Message
				for i := range 2 * programs * turns {
					messages = append(messages, spool.Message{Role: "user", Content: strings.Clone(textPiece(text, i, turnBytes/2))})
				}
				return messages
			})
		}).scaleX(programs * turnBytes / 4)
	packed := measureSeries("history-memory", "state of 20 programs of growing history, at the owner; the same text", "tokens of history", "bytes",
		sizes, func(turns int) float64 {
			return retainedHeap(func() any { return programState(programs, turns, turnBytes, text) })
		}).scaleX(programs * turnBytes / 4)
	return []Series{plain, packed}, nil
}

// textPiece returns the piece of text with the given number and length in bytes. After
// the end of the text, the pieces begin again from its front.
func textPiece(text string, number, length int) string {
	at := number * length % (len(text) - length)
	return strings.ToValidUTF8(text[at:at+length], "?")
}

// scaleX multiplies the X of every point.
func (s Series) scaleX(factor float64) Series {
	for i := range s.Points {
		s.Points[i].X *= factor
	}
	return s
}

// fillerText is used for histories whose content does not matter.
var fillerText = strings.Repeat("knots and dye. ", 1000)

// programState returns the state of programs that have the given number of turns. Each
// turn has a message and an answer of turnBytes/2 bytes, taken from text.
func programState(programs, turns, turnBytes int, text string) *program.State {
	state := program.NewState(program.DefaultLimits)
	for i := range programs {
		id := spool.ProgramID(fmt.Sprintf("%026d", i))
		record, err := state.StartRecord(id, program.Started{
			Account: "account", Model: "model", At: 1, IdleTimeout: clock.Hour,
			Budget: program.Budget{Tokens: 1 << 40, Calls: 1 << 20, Wall: clock.Hour, Depth: 4, Agents: 16},
		})
		if err != nil {
			panic(err)
		}
		state.Apply([]spool.Record{record})
		applyTurns(state, id, turns, func(number int) string { return textPiece(text, 2*i*turns+number, turnBytes/2) })
	}
	return state
}

// applyTurns applies the records of finished turns to state, as the new owner of a stream
// does when it replays the stream. It panics if a record is invalid.
func applyTurns(state *program.State, id spool.ProgramID, turns int, text func(number int) string) {
	digest := ""
	for turn := range turns {
		question := spool.Message{Role: "user", Content: text(2 * turn)}
		answer := spool.AnswerMessage(text(2*turn + 1))
		digest = spool.HistoryDigest(digest, question, answer)
		body, _ := json.Marshal(program.Turn{
			Call: spool.CallID(fmt.Sprintf("turn-%d", turn)), Body: "digest", BaseCount: 2 * turn,
			Messages: []spool.Message{question, answer}, Digest: digest, GeneratedTokens: len(answer.Content) / 4,
			Charged: len(answer.Content) / 2, Endpoint: "m1", At: 2,
		})
		effects := state.Apply([]spool.Record{{Kind: program.KindTurn, Program: id, Data: body}})
		if len(effects.Invalid) > 0 {
			panic(effects.Invalid[0])
		}
	}
}

// recoveryTime measures the time in which a new owner replays the turns of a stream.
func recoveryTime() Series {
	const turnBytes = 1600
	return measureSeries("recovery", "time to fold the turns of a stream again after a change of owner", "turns", "ms",
		[]int{1000, 2000, 4000, 8000}, func(turns int) float64 {
			since := time.Now()
			runtime.KeepAlive(programState(turns/20, 20, turnBytes, fillerText))
			return float64(time.Since(since)) / float64(time.Millisecond)
		})
}

// limitCost measures the processor time of the account limits at an entry when no
// requests arrive: for each account, a share and an owner tick every 10 ms.
func limitCost() Series {
	timing := limit.DefaultTiming()
	config := limit.Config{Rate: 50, Burst: 100, StaticShare: 0.2}
	return measureSeries("limit-cpu", "one entry's limits of idle accounts, 100 ticks a second", "accounts", "share of a core",
		[]int{50, 100, 200, 430}, func(accounts int) float64 {
			shares := make([]*limit.Share, accounts)
			owners := make([]*limit.Owner, accounts)
			for i := range shares {
				shares[i] = limit.NewShare(0, spool.AccountID(fmt.Sprint(i)), "e1", timing, config)
				owners[i] = limit.NewOwner(timing, config)
			}
			const ticks = 400
			start := cputime.SelfTime()
			for tick := range clock.Millis(ticks) {
				for i := range shares {
					shares[i].Tick(10 * tick)
					owners[i].Tick(10 * tick)
				}
			}
			return (cputime.SelfTime() - start).Seconds() / (ticks * 0.010)
		})
}

// suspicionMessages measures the probes that all members together send in 10 s because
// one member does not answer, by the number of members.
func suspicionMessages() Series {
	return measureSeries("suspicion-messages", "probes of all members together, with their answers, in the 10 s after one member has died", "members", "messages",
		[]int{10, 30, 100, 330}, func(members int) float64 {
			return float64(membershipMessages(members, true).probes)
		})
}

// heartbeatMessages measures the heartbeats and their answers per second and member when
// all members are alive.
func heartbeatMessages() Series {
	return measureSeries("heartbeat-messages", "heartbeats that one member sends, and answers that it gets, per second at rest", "members", "messages/s",
		[]int{10, 30, 100, 330}, func(members int) float64 {
			return float64(membershipMessages(members, false).heartbeats) / float64(members) / 10
		})
}

// membershipMessages runs the membership views of count members in virtual time for 10 s
// and returns the network with its message counts. If crash is set, the first member
// neither sends nor answers messages.
func membershipMessages(count int, crash bool) *membershipNetwork {
	const horizon, step = 10 * clock.Second, 100
	vms := make([]spool.VM, count)
	views := map[spool.NodeID]*membership.View{}
	for i := range vms {
		vms[i] = spool.VM{
			ID: spool.NodeID(fmt.Sprintf("e%03d", i)), Role: spool.RoleEntry, State: spool.VMLive,
			FailureDomain: spool.FailureDomain(fmt.Sprintf("fd%d", i%14)), Address: fmt.Sprintf("10.0.0.%d", i),
		}
		views[vms[i].ID] = membership.New(membershipConfig(vms[i]))
	}
	network := &membershipNetwork{views: views}
	if crash {
		network.silent = vms[0].ID
	}
	for now := clock.Millis(0); now < horizon; now += step {
		for _, vm := range vms {
			network.run(now, vm.ID, views[vm.ID].UpdateVMs(now, vms))
			network.run(now, vm.ID, views[vm.ID].Tick(now))
		}
	}
	return network
}
