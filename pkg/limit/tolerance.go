package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// usedTolerance is the fraction of the tolerated excess that Tolerant uses. The rest
	// covers what the bound of the package leaves out, such as the time between the
	// admission of a request and its arrival.
	usedTolerance = 0.75
	// burstTolerance is the fraction of the used excess that goes to the burst. The static
	// portion gets the rest.
	burstTolerance = 0.5
)

// Tolerant returns the limits of an account of the given rate, in requests per second,
// and burst, in requests, if an excess is tolerated; see spool.LimitTolerance. The
// admissions in a window stay below usedTolerance of the tolerated excess.
//
// Tokens that are leased to entries are missing from the pool, so the burst is raised to
// make up for them. A static portion that is taken from an account of a few requests per
// second is lost to it as long as the pool has an owner: only a few of many entries hold
// a part, and its requests arrive elsewhere. The static portion, staticShare of the
// limits, is therefore added to the pool as far as the excess allows, and taken from the
// pool only beyond that.
func Tolerant(rate, burst, staticShare float64, tolerance spool.LimitTolerance) Config {
	windowSeconds := float64(tolerance.Window) / float64(clock.Second)
	excess := usedTolerance * (tolerance.Over*(rate*windowSeconds+burst) + tolerance.Slack)
	burst += burstTolerance * excess
	added := 0.0
	if inWindow := rate*windowSeconds + burst; inWindow > 0 {
		added = min(staticShare, (1-burstTolerance)*excess/inWindow)
	}
	return Config{Rate: rate * (1 + added), Burst: max(1, burst*(1+added)), StaticShare: staticShare / (1 + added), Added: added / (1 + added)}
}

// startRate returns the rate at which requests of new programs may be admitted: the rate
// of the account without what Tolerant has added.
func (c Config) startRate() float64 { return c.Rate * (1 - c.Added) }
