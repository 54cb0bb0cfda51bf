package main

import (
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccasim"
)

const (
	benchRequests = 5000
	benchLength   = 10 * time.Second
)

// benchCommand prints the comparison of ways to choose servers.
func benchCommand() *cobra.Command {
	o := yuccasim.Options{
		Deployments: yuccasim.Deployments(),
		Scenarios:   yuccasim.Scenarios(),
		Loads:       yuccasim.Loads(),
		Policies:    yuccasim.Policies(),
	}
	var full, places bool
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Compare ways to choose servers on virtual time",
		Example: "  yucca-standin bench --seed 1",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			if places {
				yuccasim.PrintOnTimeRatios(c.OutOrStdout(), yuccasim.Run(yuccasim.ObjectOptions(o.Seed, o.Requests, o.Length)))
				return
			}
			results := yuccasim.Run(o)
			if full {
				yuccasim.Print(c.OutOrStdout(), results)
				return
			}
			yuccasim.PrintComparisons(c.OutOrStdout(), results)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and work")
	c.Flags().IntVar(&o.Requests, "requests", benchRequests, "least number of requests in a run")
	c.Flags().DurationVar(&o.Length, "length", benchLength, "least virtual time of a run")
	c.Flags().BoolVar(&full, "full", false, "print one row for each policy")
	c.Flags().BoolVar(&places, "places", false, "compare placement where requests are about objects")
	return c
}
