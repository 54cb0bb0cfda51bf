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

// inforceCommand works out from entries' logs how long changes of the rules took
// to be in force.
func inforceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "inforce LOG...",
		Short:   "Print from entries' logs how long after its acceptance a version was in force",
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

var inForce = regexp.MustCompile(`^time=(\S+) .*event=rules_in_force at=(\S+) .*`)

// readDelays returns, for each version that a log names, the time from its
// submission to its being in force.
func readDelays(path string) ([]time.Duration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var delays []time.Duration
	for s := bufio.NewScanner(f); s.Scan(); {
		m := inForce.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		then, err1 := time.Parse(time.RFC3339Nano, m[1])
		submitted, err2 := time.Parse(time.RFC3339Nano, m[2])
		if err1 == nil && err2 == nil {
			delays = append(delays, then.Sub(submitted))
		}
	}
	return delays, nil
}

func printDelays(w io.Writer, delays []time.Duration) error {
	if len(delays) == 0 {
		return yuccaerror.New(yuccaerror.Invalid, "no version in the logs")
	}
	slices.Sort(delays)
	at := func(q float64) time.Duration { return delays[int(q*float64(len(delays)-1))].Round(time.Millisecond) }
	_, err := fmt.Fprintf(w, "in force at an entry: %d times, p50 %s, p99 %s, longest %s\n", len(delays), at(0.5), at(0.99), at(1))
	return err
}
