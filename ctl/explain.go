package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaexplain"
)

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE]",
		Short: "Show what happened to a request, from the entries' logs",
		Long: "explain reads log lines from a file, or from standard input, finds those of a\n" +
			"request and says what each means, together with what the same entry logged\n" +
			"about the state of the system around that time.",
		Example: "  yuccactl explain 9c41d07be2a35f68 entries.log",
		Args: func(c *cobra.Command, args []string) error {
			return yuccaerror.Wrap(yuccaerror.Usage, cobra.RangeArgs(1, 2)(c, args))
		},
		RunE: func(c *cobra.Command, args []string) error {
			in, closeInput, err := openInput(c, args[1:])
			if err != nil {
				return err
			}
			defer closeInput()
			return a.explain(in, args[0])
		},
	}
}

// openInput opens the file that the only argument names, or standard input if there is none.
// The caller calls closeInput when it has read the input.
func openInput(c *cobra.Command, args []string) (in io.Reader, closeInput func(), err error) {
	if len(args) == 0 {
		return c.InOrStdin(), func() {}, nil
	}
	f, err := os.Open(args[0])
	if err != nil {
		return nil, nil, yuccaerror.Wrap(yuccaerror.Invalid, err)
	}
	return f, func() { _ = f.Close() }, nil
}

// explain prints the explanation of the request with the given ID from the log
// lines that it reads. It fails with kind NotFound if no line names the request.
func (a *app) explain(in io.Reader, id string) error {
	events, err := yuccaexplain.Read(in)
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Invalid, err)
	}
	a.printf("%s", yuccaexplain.Explain(events, id))
	if !yuccaexplain.Mentions(events, id) {
		return yuccaerror.New(yuccaerror.NotFound, "no line names request %s", id)
	}
	return nil
}
