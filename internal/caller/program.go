package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxRetryTime is the time since the first attempt after which a failed request is
	// not repeated.
	maxRetryTime = 20 * time.Second
	// minRetryWait is the shortest wait before a retry. It applies also when the failure
	// suggests a shorter wait or none.
	minRetryWait = 100 * clock.Millis(1)
	// turnTokens is the length of an answer in tokens.
	turnTokens = 24
	payoutPath = "/payouts"
)

// Spec describes a program.
type Spec struct {
	// Account is the account of the client's key. The program's requests count towards
	// its limits.
	Account spool.AccountID
	// Name identifies the program in messages and recorded problems.
	Name string
	// Seed determines the lengths of the user messages.
	Seed uint64
	// Model is the model that answers the turns, Service the service that executes the
	// payout call.
	Model   spool.ModelName
	Service spool.ServiceName
	// Alarm marks a program whose calls have priority.
	Alarm bool
}

// Program is the caller's side of one agent program. It keeps its own transcript,
// so that it knows the messages that the engine must have received.
type Program struct {
	client *Client
	ledger *Ledger
	spec   Spec
	random *rand.Rand

	id         spool.ProgramID
	transcript []spool.Message
}

// Plan describes the calls of a program.
type Plan struct {
	// Turns is the number of model calls. Pause is the time after each model call during
	// which the program's tool runs.
	Turns int
	Pause time.Duration
	// SubAgent starts a sub-agent with two turns after the first turn.
	SubAgent bool
	// Payout adds a non-idempotent service call after the last turn.
	Payout bool
}

// NewProgram returns a program that is not started yet.
func NewProgram(client *Client, ledger *Ledger, spec Spec) *Program {
	return &Program{client: client, ledger: ledger, spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 11))}
}

// ID returns the identifier that the system gave the program.
func (p *Program) ID() spool.ProgramID { return p.id }

type startBody struct {
	Model spool.ModelName `json:"model"`
	Alarm bool            `json:"alarm,omitempty"`
}

type startAnswer struct {
	Program spool.ProgramID `json:"programId"`
}

type callBody struct {
	Call      string          `json:"callId"`
	Messages  []spool.Message `json:"messages,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
}

type spawnBody struct {
	Call string `json:"callId"`
}

type payoutBody struct {
	Call   string `json:"callId"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

type payoutAnswer struct {
	Status int `json:"status"`
}

// Run runs the whole program and, if it succeeds, records its latency in the ledger.
func (p *Program) Run(ctx context.Context, plan Plan) (err error) {
	defer func() { err = errors.Wrapf(err, "program %s", p.spec.Name) }()
	p.ledger.update(func() { p.ledger.started++ })
	since := time.Now()
	if err := p.Start(ctx); err != nil {
		return err
	}
	for turn := 1; turn <= plan.Turns; turn++ {
		if err := p.runTurn(ctx, turn); err != nil {
			return err
		}
		if plan.SubAgent && turn == 1 {
			if err := p.runSubAgent(ctx); err != nil {
				return err
			}
		}
		if err := Pause(ctx, plan.Pause); err != nil {
			return err
		}
	}
	if plan.Payout {
		if err := p.callPayout(ctx); err != nil {
			return err
		}
	}
	if err := p.end(ctx); err != nil {
		return err
	}
	p.ledger.recordCompletion(since)
	return nil
}

// Pause sleeps for the given time. It returns early with the error of ctx when ctx
// ends.
func Pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Start creates the program in the system and sets its identifier. It retries as in
// sendWithRetries.
func (p *Program) Start(ctx context.Context) error {
	var answer startAnswer
	err := p.sendWithRetries(ctx, "start", func() error {
		return p.client.Send(ctx, fasthttp.MethodPost, "/v1/programs", startBody{Model: p.spec.Model, Alarm: p.spec.Alarm}, &answer)
	})
	p.id = answer.Program
	return err
}

// path returns the URL path of the program followed by rest.
func (p *Program) path(rest string) string { return "/v1/programs/" + string(p.id) + rest }

// runTurn sends the next message. From the answer, it checks that the engine received
// exactly the transcript, and then adds the answer to the transcript.
func (p *Program) runTurn(ctx context.Context, number int) error {
	message := spool.Message{Role: "user", Content: p.userMessage(number)}
	body := callBody{
		Call: fmt.Sprintf("turn-%d", number), Messages: []spool.Message{message}, MaxTokens: turnTokens, Stream: true,
	}
	var answer turnAnswer
	err := p.sendWithRetries(ctx, "turn", func() (err error) {
		answer, err = p.client.stream(ctx, p.path("/calls"), body, func() {})
		return err
	})
	if err != nil {
		return err
	}
	p.transcript = append(p.transcript, message)
	p.checkAnswer(answer)
	p.transcript = append(p.transcript, spool.Message{Role: "assistant", Content: answer.Text})
	return nil
}

// userMessage returns a message with a random length.
func (p *Program) userMessage(number int) string {
	filler := strings.Repeat(" knotting and dye notes", 10+p.random.IntN(30))
	return fmt.Sprintf("%s asks question %d:%s", p.spec.Name, number, filler)
}

// checkAnswer compares an answer with the one that the stand-in engine gives to the
// transcript, and records a difference in the ledger.
func (p *Program) checkAnswer(answer turnAnswer) {
	p.ledger.update(func() { p.ledger.turns++ })
	want := standin.Answer(p.transcript, turnTokens)
	if answer.Text == strings.Join(want, "") {
		return
	}
	seen, digest := 0, uint64(0)
	_, _ = fmt.Sscanf(answer.Text, "seen=%d:%x", &seen, &digest)
	p.ledger.update(func() {
		if seen != len(p.transcript) {
			p.ledger.outOfOrder++
		} else {
			p.ledger.mismatches++
		}
		p.ledger.problems = append(p.ledger.problems,
			fmt.Sprintf("%s (%s): answer to %d messages begins %.60q, want %q", p.spec.Name, p.id, len(p.transcript), answer.Text, want[0]))
	})
}

// TimedTurn sends one turn through client and returns the arrival times of its
// chunks. It neither checks the answer nor repeats the request.
func (p *Program) TimedTurn(ctx context.Context, client *Client, call string, messages []spool.Message, tokens int) (arrivals *Arrivals, err error) {
	body := callBody{Call: call, Messages: messages, MaxTokens: tokens, Stream: true}
	arrivals = NewArrivals()
	_, err = client.stream(ctx, p.path("/calls"), body, arrivals.Record)
	return arrivals, err
}

// runSubAgent starts a sub-agent and runs its two turns.
func (p *Program) runSubAgent(ctx context.Context) error {
	spec := p.spec
	spec.Name += "/sub-agent"
	subAgent := NewProgram(p.client, p.ledger, spec)
	var answer startAnswer
	err := p.sendWithRetries(ctx, "spawn", func() error {
		return p.client.Send(ctx, fasthttp.MethodPost, p.path("/agents"), spawnBody{Call: "spawn-1"}, &answer)
	})
	if err != nil {
		return err
	}
	subAgent.id = answer.Program
	for turn := 1; turn <= 2; turn++ {
		if err := subAgent.runTurn(ctx, turn); err != nil {
			return err
		}
	}
	return subAgent.end(ctx)
}

// callPayout sends a service call that must run at most once. If the response says that
// the outcome is unknown, the call may have run; callPayout then does not repeat it,
// counts it as an unknown outcome and succeeds. If no response arrives, it repeats the
// request with the same identifier, which the system must not run twice.
func (p *Program) callPayout(ctx context.Context) error {
	body := payoutBody{Call: "payout-1", Method: fasthttp.MethodPost, Path: payoutPath, Body: p.spec.Name}
	var answer payoutAnswer
	p.ledger.update(func() { p.ledger.payouts[p.spec.Name] = false })
	err := p.sendWithRetries(ctx, "payout", func() error {
		return p.client.Send(ctx, fasthttp.MethodPost, p.path("/services/"+string(p.spec.Service)), body, &answer)
	})
	failure := &Failure{}
	if errors.As(err, &failure) && failure.NotRun == spool.NotRunUnknown {
		p.ledger.update(func() { p.ledger.unknownOutcomes++ })
		return nil
	}
	if err == nil {
		p.ledger.update(func() { p.ledger.payouts[p.spec.Name] = true })
	}
	return err
}

// end ends the program in the system.
func (p *Program) end(ctx context.Context) error {
	var answer struct{}
	return p.sendWithRetries(ctx, "end", func() error {
		return p.client.Send(ctx, fasthttp.MethodDelete, p.path(""), nil, &answer)
	})
}

// sendWithRetries sends a request and repeats it with the same identifiers until it is
// answered, fails permanently, or maxRetryTime is over. It records an answered request
// as an admission, unless kind is "end": requests that end a program do not count
// towards the account's rate.
func (p *Program) sendWithRetries(ctx context.Context, kind string, send func() error) error {
	deadline := time.Now().Add(maxRetryTime)
	for {
		sent := time.Now()
		err := send()
		if err == nil {
			if kind != "end" {
				p.ledger.recordAdmission(p.spec.Account, sent)
			}
			return nil
		}
		wait, retry := p.classifyFailure(kind, err)
		if !retry || ctx.Err() != nil {
			return errors.Wrap(err, kind)
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s failed until its retry time was over", kind)
		}
		if err := Pause(ctx, wait.Duration()); err != nil {
			return err
		}
	}
}

// classifyFailure records a failure in the ledger. It returns the wait before the request
// is repeated, and false if the request must not be repeated.
func (p *Program) classifyFailure(kind string, err error) (clock.Millis, bool) {
	failure := &Failure{}
	switch {
	case errors.As(err, &failure):
		p.ledger.update(func() { p.ledger.refusals[string(failure.Code)]++ })
		switch failure.Code {
		case spool.CodeUnauthorized, spool.CodeKeyWithdrawn, spool.CodeBadRequest, spool.CodeNotFound,
			spool.CodeBudgetExhausted, spool.CodeProgramEnded, spool.CodeConflict:
			return 0, false
		case spool.CodeOutcomeUnknown:
			return 0, false
		}
		p.ledger.update(func() { p.ledger.retries[string(failure.Code)]++ })
		return max(failure.RetryAfter, minRetryWait), true
	case errors.Is(err, errTransport):
		p.ledger.update(func() { p.ledger.retries["noAnswer"]++ })
		return minRetryWait, true
	default:
		p.ledger.RecordProblem(fmt.Sprintf("%s %s: %v", p.spec.Name, kind, err))
		return 0, false
	}
}
