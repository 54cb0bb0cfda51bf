package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccacommand"
	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// settings is the content of yuccactl's settings file.
type settings struct {
	// Store is the base address of the platform's object API.
	Store string `toml:"store"`
	// Operator is the name recorded as the author of applied rules. The default is
	// the value of the environment variable USER.
	Operator string `toml:"by"`
}

// Validate implements yuccaconfig.Validator.
func (s *settings) Validate() []yuccaconfig.Problem {
	if !strings.HasPrefix(s.Store, "http://") {
		return []yuccaconfig.Problem{{Key: "store", Message: "isn't an HTTP address", Allowed: "a base address such as http://127.0.0.1:7000"}}
	}
	return nil
}

// app holds the global flags, the output and the settings of a command.
type app struct {
	settingsPath string
	jsonOutput   bool
	out          io.Writer
	// settings is empty until openStore has read the settings file.
	settings settings
}

// newCommand returns the root command with all subcommands.
func newCommand() *cobra.Command {
	a := &app{}
	root := yuccacommand.New("yuccactl", "Check and apply rules files and show their effects")
	root.Long = "yuccactl checks and applies rules files and shows their effects.\n\nExit codes: 0 success, 1 rejected, 2 usage error, 3 platform or entries unreachable."
	root.Args = rejectUnknownCommand
	root.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	root.PersistentPreRun = func(c *cobra.Command, _ []string) { a.out = c.OutOrStdout() }
	root.PersistentFlags().StringVar(&a.settingsPath, "settings", "yuccactl.toml", "settings file")
	root.PersistentFlags().BoolVar(&a.jsonOutput, "json", false, "print JSON")
	root.AddCommand(a.checkCommand(), a.applyCommand(), a.showCommand(), a.diffCommand(), a.statusCommand(), a.planCommand(), a.reportCommand(), a.explainCommand(), a.causesCommand(), a.versionCommand())
	return root
}

// rejectUnknownCommand returns an error of kind Usage when there is an argument:
// the root command gets only names that aren't subcommands.
func rejectUnknownCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return yuccaerror.New(yuccaerror.Usage, "unknown command %q; %s --help lists them", args[0], c.Name())
}

// exactArgs is cobra.ExactArgs with errors of kind Usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return yuccaerror.Wrap(yuccaerror.Usage, cobra.ExactArgs(n)(c, args))
	}
}

// openStore loads the settings and returns a client of the platform's object API,
// which the caller must close.
func (a *app) openStore() (*yuccastore.HTTP, error) {
	if err := yuccaconfig.Load(a.settingsPath, &a.settings); err != nil {
		return nil, err
	}
	if a.settings.Operator == "" {
		a.settings.Operator = os.Getenv("USER")
	}
	return yuccastore.NewHTTP(a.settings.Store), nil
}

// output writes v as JSON when the flag --json is set. Else it calls text, which
// prints v in readable form.
func (a *app) output(v any, text func()) error {
	if !a.jsonOutput {
		text()
		return nil
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printf prints text to the command's output.
func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.out, format, args...)
}
