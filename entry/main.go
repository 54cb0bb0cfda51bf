// Command yucca-entry is the daemon of one entry, a proxy instance of the system.
// It answers the lookups of callers that ask which entries to use, and relays
// requests to backend servers.
//
//	yucca-entry settings > entry.toml
//	yucca-entry run --settings entry.toml
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccacommand"
	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccalog"
)

func main() {
	yuccacommand.Main(command())
}

// command returns the root command with all subcommands.
func command() *cobra.Command {
	root := yuccacommand.New("yucca-entry", "Answers lookups and relays requests to backend servers")
	root.AddCommand(runCommand(), settingsCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:     "run",
		Short:   "Run the entry until SIGINT or SIGTERM",
		Example: "  yucca-entry settings > entry.toml\n  yucca-entry run --settings entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := defaultSettings()
			if err := yuccaconfig.Load(path, &cfg); err != nil {
				return err
			}
			return run(c.Context(), cfg, yuccalog.New(os.Stderr, cfg.Log))
		},
	}
	c.Flags().StringVar(&path, "settings", "entry.toml", "settings file")
	return c
}

func settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print example settings",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprint(c.OutOrStdout(), exampleSettings) },
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
	}
}

// version returns the module version, followed by the commit if it is known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
