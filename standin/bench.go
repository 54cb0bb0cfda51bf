package main

import (
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccabench"
)

const (
	benchRequests = 5000
	benchLength   = 10 * time.Second
)

// benchCommand prints the comparison of ways to choose servers.
func benchCommand() *cobra.Command {
	o := yuccabench.Options{
		Deployments: yuccabench.Deployments(),
		Scenarios:   yuccabench.Scenarios(),
		Loads:       yuccabench.Loads(),
		Policies:    yuccabench.Policies(),
	}
	var full, places bool
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Compare ways to choose servers on virtual time",
		Example: "  yucca-standin bench --seed 1",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			if places {
				yuccabench.PrintOnTimeRatios(c.OutOrStdout(), yuccabench.Run(yuccabench.ObjectOptions(o.Seed, o.Requests, o.Length)))
				return
			}
			results := yuccabench.Run(o)
			if full {
				yuccabench.Print(c.OutOrStdout(), results)
				return
			}
			yuccabench.PrintComparisons(c.OutOrStdout(), results)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and work")
	c.Flags().IntVar(&o.Requests, "requests", benchRequests, "least number of requests in a run")
	c.Flags().DurationVar(&o.Length, "length", benchLength, "least virtual time of a run")
	c.Flags().BoolVar(&full, "full", false, "print one row for each policy")
	c.Flags().BoolVar(&places, "places", false, "compare placement where requests are about objects")
	return c
}
