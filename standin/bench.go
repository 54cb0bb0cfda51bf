package main

import (
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccasim"
)

const (
	// benchRequests is the default minimum number of requests per run.
	benchRequests = 5000
	// benchLength is the default minimum virtual time of a run.
	benchLength = 10 * time.Second
)

// benchCommand returns the command that compares load balancing policies in a
// simulation and prints the results as a Markdown table.
func benchCommand() *cobra.Command {
	o := yuccasim.Options{
		Deployments: yuccasim.Deployments(),
		Scenarios:   yuccasim.Scenarios(),
		Loads:       yuccasim.Loads(),
		Policies:    yuccasim.Policies(),
	}
	var full, objects, ablation bool
	var entries, seeds int
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Compare load balancing policies in a simulation on virtual time",
		Example: "  yucca-standin bench --seed 1",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			if ablation {
				yuccasim.PrintAblation(c.OutOrStdout(), yuccasim.Ablate(o.Seed, seeds, entries, o.Length))
				return
			}
			if objects {
				yuccasim.PrintOnTimeRatios(c.OutOrStdout(), yuccasim.Run(yuccasim.ObjectOptions(o.Seed, o.Requests, o.Length)))
				return
			}
			if entries > 0 {
				yuccasim.PrintOverload(c.OutOrStdout(), yuccasim.Run(yuccasim.OverloadOptions(o.Seed, entries, o.Length)))
				return
			}
			results := yuccasim.Run(o)
			if full {
				yuccasim.PrintResults(c.OutOrStdout(), results)
				return
			}
			yuccasim.PrintComparisons(c.OutOrStdout(), results)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	c.Flags().IntVar(&o.Requests, "requests", benchRequests, "minimum number of requests per run")
	c.Flags().DurationVar(&o.Length, "length", benchLength, "minimum virtual time of a run")
	c.Flags().BoolVar(&full, "full", false, "print one row for each run")
	c.Flags().BoolVar(&objects, "places", false, "compare object placement with other policies")
	c.Flags().BoolVar(&ablation, "ablate", false, "simulate the overload of --overload entries with one mechanism after the other switched off")
	c.Flags().IntVar(&seeds, "seeds", 5, "number of seeds of --ablate")
	c.Flags().IntVar(&entries, "overload", 0, "simulate overload with that many entries")
	return c
}
