package admission

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// mixSize is the number of the latest offers by which a share is divided among ranks
	// and accounts. A gateway gets some two offers a second, so they span half a minute at
	// usual load.
	mixSize = 64
	// floorShare is the part of the mean share that no rank and no account falls below.
	// Half of the mean must finish, and some of those that begin fail.
	floorShare = 0.7
	// rankWeight is the weight of an offer compared with one of the next lower rank.
	rankWeight = 0.25
	// maxRank is the highest rank that is told apart.
	maxRank = 3
	// recentMemory and usualMemory are the times over which the recent and the usual
	// offers of an account are averaged. An account sends up to 7.5 times its usual rate
	// for 6.5 s.
	recentMemory = 4 * clock.Second
	usualMemory  = 60 * clock.Second
	// An account has its full weight up to burstFactor times its usual offers and
	// burstOffers more; a gateway sees less than one offer of most accounts in
	// recentMemory.
	burstFactor = 1.5
	burstOffers = 1.5
	// forgottenOffers is the number of usual offers below which an account is forgotten,
	// and maxAccounts the number of accounts from which on that is done.
	forgottenOffers = 0.02
	maxAccounts     = 256
)

// Offer is a program that asks to begin.
type Offer struct {
	// Rank is 0 for the most urgent programs. Programs of higher ranks are refused first.
	Rank int
	// Account is the client account; empty if there is none.
	Account spool.AccountID
	// Requests is how many requests the program is expected to send to the service; at
	// least 1.
	Requests float64
}

// mix divides a share among ranks and accounts by the offers of the recent past.
type mix struct {
	// offers holds the latest offers, and next the index that is replaced next.
	offers []weightedOffer
	next   int
	// accounts holds the offers of each account.
	accounts map[spool.AccountID]*accountOffers
}

// weightedOffer is an offer with its weight, in [0,1].
type weightedOffer struct{ weight, requests float64 }

// accountOffers counts the offers of an account, with exponential decay.
type accountOffers struct {
	recent, usual float64
	countedAt     clock.Millis
}

func newMix() *mix { return &mix{accounts: map[spool.AccountID]*accountOffers{}} }

// add counts an offer and returns its weight.
func (m *mix) add(now clock.Millis, offer Offer) float64 {
	value := math.Pow(rankWeight, float64(min(maxRank, max(0, offer.Rank)))) * m.accountWeight(now, offer.Account)
	added := weightedOffer{weight: value, requests: max(1, offer.Requests)}
	if len(m.offers) < mixSize {
		m.offers = append(m.offers, added)
		return value
	}
	m.offers[m.next] = added
	m.next = (m.next + 1) % mixSize
	return value
}

// accountWeight counts an offer of an account and returns the weight of the account: 1 up
// to its usual offers, and less the more it exceeds them.
func (m *mix) accountWeight(now clock.Millis, id spool.AccountID) float64 {
	a := m.accounts[id]
	if a == nil {
		m.forget(now)
		a = &accountOffers{countedAt: now}
		m.accounts[id] = a
	}
	a.decay(now)
	usual := a.usual * float64(recentMemory) / float64(usualMemory)
	a.recent++
	a.usual++
	fairness := min(1, (burstFactor*usual+burstOffers)/a.recent)
	return fairness * fairness
}

// decay reduces the counts to now.
func (a *accountOffers) decay(now clock.Millis) {
	step := now - a.countedAt
	a.countedAt = now
	a.recent *= math.Exp(-float64(step) / float64(recentMemory))
	a.usual *= math.Exp(-float64(step) / float64(usualMemory))
}

// forget removes accounts without recent offers if there are many.
func (m *mix) forget(now clock.Millis) {
	if len(m.accounts) < maxAccounts {
		return
	}
	for id, a := range m.accounts {
		if a.decay(now); a.usual < forgottenOffers {
			delete(m.accounts, id)
		}
	}
}

// meanRequests returns the mean number of requests of the latest offers; initialNeed if
// there are none.
func (m *mix) meanRequests() float64 {
	if len(m.offers) == 0 {
		return initialNeed
	}
	sum := 0.0
	for _, other := range m.offers {
		sum += other.requests
	}
	return sum / float64(len(m.offers))
}

// shareOf returns the part of the offers of a weight that may begin, so that over the
// latest offers the part of the requests is share. It is proportional to the weight, at most
// 1 and at least floorShare of the mean.
func (m *mix) shareOf(value, share float64) float64 {
	floor := floorShare * share
	part := func(value, scale float64) float64 { return min(1, max(floor, scale*value)) }
	total := m.meanRequests() * float64(len(m.offers))
	mean := func(scale float64) (sum float64) {
		for _, other := range m.offers {
			sum += part(other.weight, scale) * other.requests
		}
		return sum / total
	}
	low, high := 0.0, 1.0
	for mean(high) < share && high < 1e6 {
		high *= 4
	}
	// 20 halvings are more exact than the shares are known.
	for range 20 {
		if middle := (low + high) / 2; mean(middle) < share {
			low = middle
		} else {
			high = middle
		}
	}
	return part(value, high)
}
