package pause_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	_ "github.com/baobabspool/baobabspool/pkg/policy/pause"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func newPolicy(t *testing.T, options spool.Options) spool.PausePolicy {
	p, err := spool.Pauses.New("export", 1, options)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// pausedPrograms returns n programs with prefixes of 10,000 tokens that have been
// paused since 100,000 ms.
func pausedPrograms(n int) (list []spool.PausedProgram) {
	for i := range n {
		list = append(list, spool.PausedProgram{Program: spool.ProgramID(rune('a' + i)), Account: "x", Tokens: 10_000, Since: 100_000})
	}
	return list
}

func fullCache() spool.MemoryView { return spool.MemoryView{Tokens: 100_000, Limit: 100_000} }

// TestExportMovesLongestPausesFirst guards against exports while the cache has room,
// against more exports than needed, and against exports of the prefixes that are
// needed again first.
func TestExportMovesLongestPausesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPolicy(t, nil)
	for id, pause := range map[spool.ProgramID]clock.Millis{"a": 2000, "b": 60_000, "c": 9000, "d": 3000, "e": 50_000} {
		p.Resumed(id, "x", pause)
	}
	g.Expect(p.Choose(100_000, spool.MemoryView{Tokens: 85_000, Limit: 100_000}, pausedPrograms(5))).To(gomega.BeEmpty())
	g.Expect(p.Choose(100_000, spool.MemoryView{Tokens: 85_000}, pausedPrograms(5))).To(gomega.BeEmpty())
	g.Expect(p.Choose(100_000, fullCache(), pausedPrograms(5))).To(gomega.Equal([]spool.PauseDecision{
		{Program: "b", Action: spool.PauseExport}, {Program: "e", Action: spool.PauseExport}, {Program: "c", Action: spool.PauseExport},
	}))
	p.Forget("b")
	p.Resumed("b", "x", 2000)
	g.Expect(p.Choose(100_000, fullCache(), pausedPrograms(5))[0].Program).To(gomega.Equal(spool.ProgramID("e")))
}

// TestExpectedPauseOfNewProgram checks that the expected pause of a new program is
// the average of its account. It guards against never exporting the prefix of a
// program whose tool hangs although the usual pauses are short.
func TestExpectedPauseOfNewProgram(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPolicy(t, nil)
	list := pausedPrograms(2)
	list[1].Account = "y"
	p.Resumed("other", "x", 1000)
	p.Resumed("other", "y", 40_000)
	g.Expect(p.Choose(100_000, fullCache(), list)[0].Program).To(gomega.Equal(spool.ProgramID("b")))
	list[0].Since -= 90_000
	g.Expect(p.Choose(100_000, fullCache(), list)[0].Program).To(gomega.Equal(spool.ProgramID("a")))
}

// TestExportOnlyWhenCheaperThanRecomputing guards against exports that take longer
// than recomputing the prefix, and against exports during pauses that are too short
// in relation to the transfer time.
func TestExportOnlyWhenCheaperThanRecomputing(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := newPolicy(t, spool.Options{"pause.transferTokensPerMs": 8})
	g.Expect(slow.Choose(100_000, fullCache(), pausedPrograms(5))).To(gomega.BeEmpty())
	p := newPolicy(t, nil)
	p.Resumed("other", "x", 100)
	g.Expect(p.Choose(100_000, fullCache(), pausedPrograms(5))).To(gomega.BeEmpty())
	list := pausedPrograms(1)
	list[0].Tokens = 50
	g.Expect(newPolicy(t, nil).Choose(100_000, fullCache(), list)).To(gomega.BeEmpty())
}

// TestKeepMovesNothing guards against a baseline policy that moves a prefix.
func TestKeepMovesNothing(t *testing.T) {
	p, err := spool.Pauses.New("keep", 1, nil)
	g := gomega.NewWithT(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Choose(100_000, fullCache(), pausedPrograms(5))).To(gomega.BeEmpty())
}
