package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// settings is the content of the command's settings file.
type settings struct {
	// Store is the base address of the platform's object API.
	Store string `toml:"store"`
	// Operator names the operator in what is applied.
	Operator string `toml:"by"`
}

// Validate implements yuccaconfig.Validator.
func (s *settings) Validate() []yuccaconfig.Problem {
	if !strings.HasPrefix(s.Store, "http://") {
		return []yuccaconfig.Problem{{Key: "store", Message: "not an address", Allowed: "a base address such as http://127.0.0.1:7000"}}
	}
	return nil
}

// app is what every command needs.
type app struct {
	path string
	json bool
	out  io.Writer
	set  settings
}

func command() *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use:           "yuccactl",
		Short:         "Check and apply rules, and see what they do",
		Long:          "yuccactl checks and applies rules files and shows what they do.\n\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          noCommand,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
		PersistentPreRun: func(c *cobra.Command, _ []string) {
			a.out = c.OutOrStdout()
		},
	}
	root.PersistentFlags().StringVar(&a.path, "settings", "yuccactl.toml", "settings file")
	root.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return yuccaerror.Wrap(yuccaerror.Usage, err) })
	root.AddCommand(a.checkCommand(), a.applyCommand(), a.showCommand(), a.diffCommand(), a.statusCommand(), a.planCommand(), a.reportCommand(), a.explainCommand(), a.versionCommand())
	return root
}

// noCommand refuses a word that is not a command.
func noCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return yuccaerror.New(yuccaerror.Usage, "unknown command %q; %s --help lists them", args[0], c.Name())
}

// exactly is cobra.ExactArgs with an error of kind Usage.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return yuccaerror.Wrap(yuccaerror.Usage, cobra.ExactArgs(n)(c, args))
	}
}

func (a *app) store() (*yuccastore.HTTP, error) {
	if err := yuccaconfig.Load(a.path, &a.set); err != nil {
		return nil, err
	}
	if a.set.Operator == "" {
		a.set.Operator = os.Getenv("USER")
	}
	return yuccastore.NewHTTP(a.set.Store), nil
}

// print writes v as JSON where that is asked for and as text otherwise.
func (a *app) show(v any, text func()) error {
	if !a.json {
		text()
		return nil
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.out, format, args...)
}
