// Command yucca-standin simulates the surroundings of the system for local
// runs: the platform, backend servers, callers and the network links between
// regions. Its other commands generate settings files, evaluate results and
// benchmark load balancing policies. An entry is a proxy instance of the system.
//
//	yucca-standin world archive --dir world
//	yucca-standin store --settings world/store.toml
//	yucca-standin load --settings world/load.toml
//	yucca-standin get http://127.0.0.3:7900/total > world/total.json
//	yucca-standin sum --result world/result.json --total world/total.json
package main

import (
	"context"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccacommand"
	"yuccawell.example/core/yuccaconfig"
)

func main() {
	yuccacommand.Main(command())
}

// command returns the root command.
func command() *cobra.Command {
	root := yuccacommand.New("yucca-standin", "Simulate the platform, backend servers, callers and network links")
	root.AddCommand(
		serviceCommand("store", "Run a fake platform: its object API and list of instances", &storeSettings{}, runStore),
		serviceCommand("server", "Run fake backend servers", &serverSettings{}, runServers),
		serviceCommand("link", "Run TCP proxies that add delay, rate limits and faults", &linkSettings{}, runLinks),
		serviceCommand("load", "Send requests on a fixed schedule and count their outcomes", &loadSettings{}, runLoad),
		worldCommand(),
		sumCommand(),
		inforceCommand(),
		getCommand(),
		postCommand(),
		benchCommand(),
	)
	return root
}

// serviceCommand returns a command that reads its settings file into set and
// calls run, which serves until its context ends.
func serviceCommand[T yuccaconfig.Validator](name, short string, set T, run func(context.Context, T) error) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  yucca-standin world archive --dir world\n  yucca-standin " + name + " --settings world/" + name + ".toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := yuccaconfig.Load(path, set); err != nil {
				return err
			}
			return run(c.Context(), set)
		},
	}
	c.Flags().StringVar(&path, "settings", name+".toml", "settings file")
	return c
}
