package yuccarule

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Share is a part of a whole, in millionths.
type Share int64

// Common shares.
const (
	// Percent is 1%.
	Percent Share = 10_000
	// Whole is 100%.
	Whole Share = 100 * Percent
)

// Float returns the share as a fraction, 1 for Whole.
func (s Share) Float() float64 { return float64(s) / float64(Whole) }

// String prints the share in percent, such as 99.5%.
func (s Share) String() string {
	return strconv.FormatFloat(float64(s)/float64(Percent), 'f', -1, 64) + "%"
}

// Rate is a data rate in bits per second.
type Rate int64

// Units of rates.
const (
	// Kbit is 1000 bits per second.
	Kbit Rate = 1000
	// Mbit is 1000 Kbit.
	Mbit = 1000 * Kbit
	// Gbit is 1000 Mbit.
	Gbit = 1000 * Mbit
)

// BytesPerSecond returns the rate in bytes per second.
func (r Rate) BytesPerSecond() float64 { return float64(r) / 8 }

// String prints the rate with the largest unit that divides it, such as 4Gbit.
func (r Rate) String() string {
	for _, u := range rateUnits {
		if r%u.size == 0 {
			return strconv.FormatInt(int64(r/u.size), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(r), 10) + "bit"
}

// rateUnit is a unit in which rates are written.
type rateUnit struct {
	name string
	size Rate
}

// rateUnits are in descending order. Each unit comes before those that are a
// suffix of its name, as bit is of Gbit.
var rateUnits = []rateUnit{{"Gbit", Gbit}, {"Mbit", Mbit}, {"kbit", Kbit}, {"bit", 1}}

// parseRate reads a positive whole number of bits per second, with a unit.
func parseRate(text string) (Rate, error) {
	for _, u := range rateUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 1 || n > math.MaxInt64/int64(u.size) {
			return 0, fmt.Errorf("%q is not a rate", text)
		}
		return Rate(n) * u.size, nil
	}
	return 0, fmt.Errorf("%q is not a rate", text)
}

// parseShare reads a percentage above 0 and up to 100, rounded to a millionth.
func parseShare(text string) (Share, error) {
	digits, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, fmt.Errorf("%q is not a share", text)
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsNaN(f) || f <= 0 || f > 100 {
		return 0, fmt.Errorf("%q is not a share", text)
	}
	share := Share(math.Round(f * float64(Percent)))
	if share < 1 {
		return 0, fmt.Errorf("%q is not a share", text)
	}
	return share, nil
}

const (
	day = 24 * time.Hour
	// maxDuration is the longest duration in a rules file.
	maxDuration = 3650 * day
)

// parseDuration reads a positive duration, in days such as 30d or in the form of
// time.ParseDuration.
func parseDuration(text string) (time.Duration, error) {
	if digits, ok := strings.CutSuffix(text, "d"); ok {
		n, err := strconv.ParseInt(digits, 10, 32)
		if err != nil || n < 1 || time.Duration(n) > maxDuration/day {
			return 0, fmt.Errorf("%q is not a duration", text)
		}
		return time.Duration(n) * day, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDuration {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	return d, nil
}

// printDuration prints whole days as such, and else leaves out zero minutes and
// seconds at the end.
func printDuration(d time.Duration) string {
	if d%day == 0 {
		return strconv.FormatInt(int64(d/day), 10) + "d"
	}
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
