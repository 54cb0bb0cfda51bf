// Command yucca-standin stands in for what lies around the system: the
// platform, backend servers, callers and the links between regions.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(yuccaerror.KindOf(err).Attributes().Exit)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "yucca-standin",
		Short:         "Stands in for the platform, backend servers, callers and links",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return yuccaerror.Wrap(yuccaerror.Usage, err) })
	root.AddCommand(
		part("store", "Serve the platform's object API and list of instances", &storeSettings{}, runStore),
		part("server", "Serve as backend servers", &serverSettings{}, runServers),
		part("link", "Pass connections on with delay, rate and faults", &linkSettings{}, runLinks),
		part("load", "Send load by schedule and count what comes of it", &loadSettings{}, runLoad),
		worldCommand(),
		sumCommand(),
		inforceCommand(),
		getCommand(),
		postCommand(),
		benchCommand(),
	)
	return root
}

// part returns a command that reads its settings and runs until told to stop.
func part[T yuccaconfig.Validator](name, short string, set T, run func(context.Context, T) error) *cobra.Command {
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
