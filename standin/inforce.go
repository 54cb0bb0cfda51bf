package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
)

// inforceCommand returns the command that computes from the entries' logs how
// long rules versions took from submission to being in force.
func inforceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "inforce LOG...",
		Short:   "Print how long rules versions took to be in force, from the entries' logs",
		Example: "  yucca-standin inforce world/archive/entry-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var delays []time.Duration
			for _, path := range args {
				found, err := readDelays(path)
				if err != nil {
					return yuccaerror.Wrap(yuccaerror.Invalid, err)
				}
				delays = append(delays, found...)
			}
			return printDelays(c.OutOrStdout(), delays)
		},
	}
}

// rulesInForce matches a log line that reports a rules version in force. Its
// groups are the time of the log line and the time of submission.
var rulesInForce = regexp.MustCompile(`^time=(\S+) .*event=rules_in_force at=(\S+) .*`)

// readDelays returns, for each version that a log reports in force, the time
// from its submission until then.
func readDelays(path string) ([]time.Duration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var delays []time.Duration
	for s := bufio.NewScanner(f); s.Scan(); {
		m := rulesInForce.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		inForceAt, err1 := time.Parse(time.RFC3339Nano, m[1])
		submitted, err2 := time.Parse(time.RFC3339Nano, m[2])
		if err1 == nil && err2 == nil {
			delays = append(delays, inForceAt.Sub(submitted))
		}
	}
	return delays, nil
}

// printDelays sorts the delays and prints their number, p50, p99 and maximum. It
// returns an error if there are none.
func printDelays(w io.Writer, delays []time.Duration) error {
	if len(delays) == 0 {
		return yuccaerror.New(yuccaerror.Invalid, "no rules_in_force event in the logs")
	}
	slices.Sort(delays)
	quantile := func(q float64) time.Duration { return delays[int(q*float64(len(delays)-1))].Round(time.Millisecond) }
	_, err := fmt.Fprintf(w, "in force at an entry: %d times, p50 %s, p99 %s, longest %s\n", len(delays), quantile(0.5), quantile(0.99), quantile(1))
	return err
}
