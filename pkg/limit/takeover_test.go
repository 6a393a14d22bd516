package limit_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestGrantsAcrossOwners guards against a change of owner that adds tokens: for any
// order of takeovers, releases and renewals of authority, all owners together must
// not grant more in any interval than a single pool. TestNoOverAdmission checks
// admissions, which seldom reach the bound during a change of owner.
func TestGrantsAcrossOwners(t *testing.T) {
	granted := 0.0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		config := limit.Config{Rate: []float64{2, 20, 100}[random.IntN(3)], Burst: 40}
		pool := limit.PoolOf(config, timing)
		meter := limit.NewMeter(0, limit.Config{Rate: pool.Rate, Burst: pool.Cap})
		owners := make([]*limit.Owner, 3)
		for i := range owners {
			owners[i] = limit.NewOwner(timing, config)
		}
		ownerIndex, epoch, sequence := 0, spool.Epoch(1), uint64(0)
		owners[0].TakeOver(0, epoch)
		// The authority of the owner is not renewed before noProofUntil. Requests
		// are sent only while requesting is true.
		noProofUntil, requesting := clock.Millis(0), false
		for now := clock.Millis(1); now < 30*clock.Second; now += clock.Millis(1 + random.IntN(60)) {
			for _, owner := range owners {
				owner.SetFreshUntil(now, now+timing.View)
			}
			switch {
			case random.IntN(40) == 0:
				noProofUntil = now + clock.Millis(random.IntN(2000))
			case random.IntN(40) == 0:
				requesting = !requesting
			case random.IntN(60) == 0:
				epoch++
				level, released := 0.0, false
				if random.IntN(2) == 0 {
					level, released = owners[ownerIndex].Release(now)
				}
				ownerIndex = random.IntN(len(owners))
				if released {
					owners[ownerIndex].TakeOverReleased(now, epoch, level)
				} else {
					owners[ownerIndex].TakeOver(now, epoch)
				}
			case now >= noProofUntil:
				owners[ownerIndex].SetAuthorityUntil(now, now+timing.Authority)
			}
			for i := range owners {
				if !requesting || random.IntN(3) == 0 {
					continue
				}
				sequence++
				grant := owners[i].Lease(now, limit.Request{Node: "e", Sequence: sequence, Requested: 40})
				meter.Admitted(now, grant.Granted)
				granted += grant.Granted
			}
			if over := meter.Excess(); over > 0 {
				t.Fatalf("%.3f tokens above one pool at %d ms", over, now)
			}
		}
	})
	if granted < 10_000 {
		t.Fatalf("only %.0f tokens were granted", granted)
	}
}
