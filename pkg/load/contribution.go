package load

import "github.com/baobabspool/baobabspool/pkg/clock"

// contribution is what one gateway, or all, add to the sums of an instance.
type contribution struct {
	inFlight           int
	event, first, call weighted
	good, failed, late float64
	idle               float64
}

// weighted is the sum of samples and of their weights.
type weighted struct{ sum, weight float64 }

func (w weighted) mean() float64 {
	if w.weight < minWeight {
		return 0
	}
	return w.sum / w.weight
}

func (w weighted) plus(other weighted, sign float64) weighted {
	return weighted{sum: max(0, w.sum+sign*other.sum), weight: max(0, w.weight+sign*other.weight)}
}

// plus adds other times sign, which is 1 or -1, except for idle, of which it keeps the
// lesser one.
func (c contribution) plus(other contribution, sign float64) contribution {
	return contribution{
		inFlight: max(0, c.inFlight+int(sign)*other.inFlight),
		event:    c.event.plus(other.event, sign), first: c.first.plus(other.first, sign), call: c.call.plus(other.call, sign),
		good: max(0, c.good+sign*other.good), failed: max(0, c.failed+sign*other.failed), late: max(0, c.late+sign*other.late),
		idle: lesser(c.idle, other.idle),
	}
}

func (c serviceCounts) plus(other serviceCounts, sign float64) serviceCounts {
	return serviceCounts{
		inFlight: max(0, c.inFlight+int(sign)*other.inFlight),
		ended:    max(0, c.ended+sign*other.ended), rejected: max(0, c.rejected+sign*other.rejected),
		began: max(0, c.began+sign*other.began), offered: max(0, c.offered+sign*other.offered),
	}
}

// contribution returns what the report adds to the sums.
func (r *instanceReport) contribution() contribution {
	sum := func(r reading) weighted { return weighted{sum: r.mean * r.weight, weight: r.weight} }
	return contribution{
		inFlight: r.inFlight, event: sum(r.event), first: sum(r.first), call: sum(r.call),
		good: r.good, failed: r.failed, late: r.late, idle: r.idle,
	}
}

// reduce returns the contribution after the time elapsed.
func (c contribution) reduce(elapsed clock.Millis) contribution {
	if elapsed <= 0 {
		return c
	}
	return c.scale(decay(elapsed, speedHalfLife), decay(elapsed, countHalfLife))
}

// scale multiplies the speeds' weights and the counts.
func (c contribution) scale(speed, counts float64) contribution {
	for _, w := range []*weighted{&c.event, &c.first, &c.call} {
		w.sum, w.weight = w.sum*speed, w.weight*speed
	}
	c.good, c.failed, c.late = c.good*counts, c.failed*counts, c.late*counts
	return c
}

// reduce returns the counts after the time elapsed.
func (c serviceCounts) reduce(elapsed clock.Millis) serviceCounts {
	factor := decay(elapsed, rateHalfLife)
	c.ended, c.rejected, c.began, c.offered = c.ended*factor, c.rejected*factor, c.began*factor, c.offered*factor
	return c
}

func (c contribution) encode() othersEntry {
	return othersEntry{
		inFlight: uint16(min(maxOthersInFlight, c.inFlight)), event: encodeMillis(c.event.mean()), first: encodeMillis(c.first.mean()),
		idle: encodeMillis(c.idle), call: encodeMillis(c.call.mean()), tallies: packTallies(c.good, c.failed, c.late),
	}
}
