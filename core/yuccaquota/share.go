package yuccaquota

const (
	// usableRate is the part of a rate that is handed out. The rest pays for what is
	// admitted twice until the two sides of a partition notice it.
	usableRate = 0.94
	// burstShare, rateShare and stockMargin give how many tokens all entries together may
	// hold: burstShare x burst + rateShare x rate + stockMargin.
	burstShare  = 1.1
	rateShare   = 0.08
	stockMargin = 19.5
	// maxFloor is how many tokens an entry may hold whatever the others claim, so that
	// the first requests of an account need no message.
	maxFloor = 2
	// holderShare is the fraction of the tokens that is kept as single tokens at some
	// entries if there are too few for all of them.
	holderShare = 0.3
	// scarceShare is the fraction of the shared tokens that are given one by one if there
	// are too few for all claimants.
	scarceShare = 0.7
	// scatterMargin covers that the number of these entries is random.
	scatterMargin = 2
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
	// floor is how many tokens the entry may hold in any case.
	floor float64
	// shared is how many tokens the claimants may hold in addition, in proportion to
	// their parts of the rate.
	shared float64
	// scarce is set if there are fewer tokens than entries.
	scarce bool
}

// stockOf divides the tokens of a limit among a number of entries. The hash is of the
// names of the account and of the entry.
func stockOf(limit Limit, entries int, hash uint64) stock {
	total := burstShare*limit.Burst + rateShare*limit.Rate + stockMargin
	if each := Evenly(total, entries); each >= 1 {
		floor := min(each, maxFloor)
		return stock{floor: floor, shared: total - floor*float64(entries)}
	}
	s := stock{shared: total * (1 - scatterMargin*holderShare), scarce: true}
	if float64(hash>>11)/(1<<53)*float64(entries) < holderShare*total {
		s.floor = 1
	}
	return s
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}
