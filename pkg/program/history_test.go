package program_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// randomText returns random letters, which compress badly, so that the packed blocks
// are large.
func randomText(random *rand.Rand, length int) string {
	text := make([]byte, length)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
	}
	return string(text)
}

var _ = ginkgo.Describe("A history that is long enough to be packed", func() {
	const turns, textBytes, promptTokens = 60, 3000, 10
	var (
		o      *owner
		id     spool.ProgramID
		want   []spool.Message
		digest string
	)

	ginkgo.BeforeEach(func() {
		o, want, digest = newOwner(), nil, ""
		random := rand.New(rand.NewPCG(7, 7))
		id = o.start("p", program.Budget{Tokens: 1 << 30, Calls: turns + 1})
		for turn := range turns {
			question, answer := randomText(random, textBytes), randomText(random, textBytes)
			decision := o.run(id, fmt.Sprint("call-", turn), question)
			gomega.Expect(decision.Ticket.BaseDigest).To(gomega.Equal(digest))
			gomega.Expect(decision.Ticket.BaseCount).To(gomega.Equal(2 * turn))
			o.finish(decision.Ticket.ID, answer, promptTokens)
			added := append(userMessage(question), spool.AnswerMessage(answer))
			want, digest = append(want, added...), spool.HistoryDigest(digest, added...)
		}
	})

	ginkgo.It("keeps its messages, digest and budget, also in a snapshot", func() {
		restored := program.NewState(program.Limits{})
		gomega.Expect(restored.Apply(o.Snapshot()).Invalid).To(gomega.BeEmpty())
		for _, state := range []*program.State{o.State, restored} {
			gomega.Expect(state.History(id)).To(gomega.Equal(want))
			view, err := state.Inspect(id)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(view.Digest).To(gomega.Equal(digest))
			gomega.Expect(view.Used.Tokens).To(gomega.Equal(promptTokens + turns))
			gomega.Expect(view.Used.Calls).To(gomega.Equal(turns))
		}
	})

	ginkgo.It("answers a repeat of any call with its own answer", func() {
		for _, turn := range []int{0, 1, turns / 2, turns - 1} {
			request := modelCall(id, fmt.Sprint("call-", turn), want[2*turn].Content)
			decision, known, err := o.LookupRepeat(request)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(known).To(gomega.BeTrue())
			gomega.Expect(decision.Answer.Text).To(gomega.Equal(want[2*turn+1].Content))
		}
	})

	ginkgo.It("accepts a whole prompt that continues it and no other", func() {
		request := modelCall(id, "next", "more")
		request.FullPrompt, request.Messages = true, append(append([]spool.Message{}, want...), userMessage("more")...)
		request.Messages[3].Content += "x"
		_, err := o.Admit(1, request)
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeConflict))
		request.Messages[3].Content = want[3].Content
		decision, err := o.Admit(1, request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(decision.Ticket.Messages).To(gomega.Equal(userMessage("more")))
	})
})
