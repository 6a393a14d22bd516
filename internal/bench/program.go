package bench

import (
	"math"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// turn is one call of a program. After its answer, the sub-agents in children run, if
// any, and then a tool runs for the time pause.
type turn struct {
	addedTokens, generatedTokens int
	pause                        clock.Millis
	children                     []*script
}

// script describes the calls that a program will make. Policies do not see it.
// promptTokens is the length of the first prompt without turns[0].addedTokens.
type script struct {
	account      string
	alarm        bool
	start        clock.Millis
	promptTokens int
	turns        []turn
}

// exponential returns a random number with an exponential distribution.
func exponential(random *rand.Rand, mean float64) float64 { return random.ExpFloat64() * mean }

// newScript generates a random program: a log-normal number of turns with mean 9,
// limited to 2 to 60, a prompt of a few thousand tokens that grows by about 850 tokens
// per turn, and two sub-agents after one turn in twenty. An alarm has a single turn.
func newScript(random *rand.Rand, account string, alarm bool) *script {
	s := &script{account: account, alarm: alarm}
	if alarm {
		s.promptTokens = 300 + random.IntN(300)
		s.turns = []turn{{generatedTokens: 40 + random.IntN(80)}}
		return s
	}
	s.promptTokens = 1000 + random.IntN(3000)
	count := int(math.Exp(2+0.7*random.NormFloat64()) + 0.5)
	s.turns = newTurns(random, min(60, max(2, count)))
	for i := range s.turns {
		if random.Float64() >= 0.05 {
			continue
		}
		for range 2 {
			s.turns[i].children = append(s.turns[i].children, &script{
				account: account, promptTokens: 500 + random.IntN(1000), turns: newTurns(random, 1+random.IntN(4)),
			})
		}
	}
	return s
}

// newTurns generates the given number of random turns without sub-agents.
func newTurns(random *rand.Rand, count int) []turn {
	list := make([]turn, count)
	for i := range list {
		list[i] = turn{
			addedTokens:     100 + int(exponential(random, 500)),
			generatedTokens: 50 + int(exponential(random, 200)),
			pause:           clock.Millis(300 + exponential(random, 3000)),
		}
	}
	return list
}

// lengthenPauses multiplies the tool pauses of a program and its sub-agents by
// longPauseFactor.
func (s *script) lengthenPauses() {
	for i := range s.turns {
		s.turns[i].pause *= longPauseFactor
		for _, child := range s.turns[i].children {
			child.lengthenPauses()
		}
	}
}

// meanGenerated is the mean of turn.generatedTokens, meanAdded that of
// turn.addedTokens.
const (
	meanGenerated = 250.0
	meanAdded     = 600.0
)

// capacityPerEndpoint returns the calls per second that an endpoint answers with a
// full batch and a warm cache.
func capacityPerEndpoint() float64 {
	millis := meanGenerated*tokenMillis*(1+batchSlowdown) + meanAdded/prefillSpeed
	return slots / millis * float64(clock.Second)
}

// workload generates the programs of a run that start before until, with Poisson
// arrivals for each account.
func workload(d Deployment, load float64, seed uint64, until clock.Millis) (scripts []*script) {
	greedy := 0.0
	for _, a := range d.Accounts {
		if a.Greedy {
			greedy += a.CapacityShare
		}
	}
	capacity := capacityPerEndpoint() * float64(d.Endpoints)
	for i, a := range d.Accounts {
		offered := load * a.CapacityShare
		if load >= 1 {
			offered = (load - greedyFactor*greedy) / (1 - greedy) * a.CapacityShare
			if a.Greedy {
				offered = greedyFactor * a.CapacityShare
			}
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		// callsOfProgram is the assumed mean number of calls of a program, those of its
		// sub-agents included.
		const callsOfProgram = 10.9
		gap := callsOfProgram / (offered * capacity) * float64(clock.Second)
		for at := exponential(random, gap); at < float64(until); at += exponential(random, gap) {
			s := newScript(random, a.Name, false)
			s.start = clock.Millis(at)
			scripts = append(scripts, s)
			// Alarms are additional programs of one call each.
			if random.Float64() < a.AlarmProbability {
				alarm := newScript(random, a.Name, true)
				alarm.start = s.start + clock.Millis(exponential(random, gap))
				scripts = append(scripts, alarm)
			}
		}
	}
	return scripts
}
