package yuccaquota

import "math"

const (
	// usableRate is the part of a rate that is handed out, and burstShare x burst +
	// rateShare x rate + stockMargin is the number of tokens that all entries together may
	// hold. In 5 s they admit 4.7 x rate and these tokens, which leaves 0.2 x rate below
	// the bound (rate x 5 + burst) x 1.1 + 20 for the moments in which entries join or
	// hear one another again.
	usableRate  = 0.94
	burstShare  = 1.1
	rateShare   = 0.6
	stockMargin = 19.5
	// sharedRate is how many seconds of the rate the entries with claims hold at least.
	// With less, tokens are lost between two requests of a busy entry.
	sharedRate = 0.05
)

// fairShare returns the part of one claimant in a whole that is divided by max-min
// fairness: no claimant gets more than it claims while another one has less than it
// claims and than the first. What nobody claims is divided evenly among the claimants.
func fairShare(own float64, others []float64, whole float64) float64 {
	if own <= 0 {
		return 0
	}
	total, claimants := own, 1
	for _, claim := range others {
		if claim > 0 {
			total += claim
			claimants++
		}
	}
	if total <= whole {
		return own + (whole-total)/float64(claimants)
	}
	level := 0.0
	for {
		rest, sharing := whole, claimants
		if own <= level {
			rest, sharing = rest-own, sharing-1
		}
		for _, claim := range others {
			if claim > 0 && claim <= level {
				rest, sharing = rest-claim, sharing-1
			}
		}
		if sharing == 0 {
			return own
		}
		next := rest / float64(sharing)
		if next <= level*(1+1e-9) {
			return min(own, next)
		}
		level = next
	}
}

// stock is how the tokens that all entries may hold are divided.
type stock struct {
	// floor is how many tokens each entry may hold, or each of the holders.
	floor float64
	// holders is how many entries may hold a token if there are fewer tokens than
	// entries, otherwise zero.
	holders int
	// shared is how many tokens the claimants may hold in addition, in proportion to
	// their parts of the rate.
	shared float64
}

// stockOf divides the tokens of a limit among a number of entries. Where there are
// enough, each entry may hold one at least, so that the first requests of an account need
// no message.
func stockOf(limit Limit, entries int) stock {
	total := burstShare*limit.Burst + rateShare*limit.Rate + stockMargin
	least := sharedRate * limit.Rate
	if Evenly(total-least, entries) < 1 {
		holders := math.Floor(total - least)
		return stock{floor: 1, holders: int(holders), shared: total - holders}
	}
	floor := max(1, Evenly(total-least-burstShare*limit.Burst, entries))
	return stock{floor: floor, shared: total - floor*float64(max(1, entries))}
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}
