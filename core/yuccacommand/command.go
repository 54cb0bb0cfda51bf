// Package yuccacommand runs the root command of a program: signals end it, and the exit
// code tells the kind of its error.
//
//	func main() { yuccacommand.Main(yuccacommand.New("yucca-entry", "Relays requests")) }
package yuccacommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
)

// New returns a root command without subcommands. Its errors are printed by Main alone,
// and those of its flags are usage errors.
func New(name, short string) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return yuccaerror.Wrap(yuccaerror.Usage, err) })
	return root
}

// Main runs a command until it ends, or until SIGINT or SIGTERM ends its context. It prints
// an error and exits with the code of the error's kind.
func Main(root *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(yuccaerror.KindOf(err).Attributes().ExitCode)
}
