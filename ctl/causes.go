package main

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaexplain"
)

// defaultPeriod is the default length of the periods of the command causes.
const defaultPeriod = 2 * time.Second

// causesCommand returns the command causes.
func (a *app) causesCommand() *cobra.Command {
	period := defaultPeriod
	c := &cobra.Command{
		Use:   "causes [FILE]",
		Short: "Show why answers were late and where requests were refused, from the entries' logs",
		Long: "causes reads log lines from a file, or from standard input, and adds up what the\n" +
			"entries say about the servers that they chose, by service and over time.",
		Example: "  yuccactl causes entries.log\n  yuccactl causes --every 10s --json entries.log",
		Args: func(c *cobra.Command, args []string) error {
			return yuccaerror.Wrap(yuccaerror.Usage, cobra.MaximumNArgs(1)(c, args))
		},
		RunE: func(c *cobra.Command, args []string) error {
			if period <= 0 {
				return yuccaerror.New(yuccaerror.Usage, "--every must be above 0, is %v", period)
			}
			in, closeInput, err := openInput(c, args)
			if err != nil {
				return err
			}
			defer closeInput()
			events, err := yuccaexplain.Read(in)
			if err != nil {
				return yuccaerror.Wrap(yuccaerror.Invalid, err)
			}
			all := yuccaexplain.CountCauses(events, period)
			if len(all.Services) == 0 {
				return yuccaerror.New(yuccaerror.NotFound, "no line says how servers were chosen")
			}
			return a.output(all, func() { a.printCauses(all) })
		},
	}
	c.Flags().DurationVar(&period, "every", defaultPeriod, "length of a period")
	return c
}

// printCauses prints a table by service and one by period, with a bar for the late answers.
func (a *app) printCauses(all yuccaexplain.Causes) {
	causes, most := lateCauses(all)
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	header := append([]string{"PLACED", "REFUSED", "LATE"}, causes...)
	row := func(first string, cells []string, bar string) {
		_, _ = w.Write([]byte(strings.Join(append(append([]string{first}, cells...), bar), "\t") + "\n"))
	}
	row("SERVICE", header, "")
	for _, s := range all.Services {
		row(s.Service, countCells(s.Counts, causes), "")
	}
	row("", nil, "")
	row("FROM", header, "")
	for _, p := range all.Periods {
		row(p.Start.UTC().Format("15:04:05"), countCells(p.Counts, causes), lateBar(p.LateCount(), most))
	}
}

// lateCauses returns the sorted causes, and the most late answers of a period.
func lateCauses(all yuccaexplain.Causes) (causes []string, most int) {
	names := map[string]bool{}
	for _, s := range all.Services {
		for cause := range s.Late {
			names[cause] = true
		}
	}
	for _, p := range all.Periods {
		most = max(most, p.LateCount())
	}
	return slices.Sorted(maps.Keys(names)), most
}

// countCells returns the cells of a row, the late answers by cause last.
func countCells(c yuccaexplain.Counts, causes []string) []string {
	cells := []string{strconv.Itoa(c.Placed), strconv.Itoa(c.Refused), strconv.Itoa(c.LateCount())}
	for _, cause := range causes {
		cells = append(cells, strconv.Itoa(c.Late[cause]))
	}
	return cells
}

// maxBarLength is the length of the bar of the period with the most late answers, in
// characters.
const maxBarLength = 30

// lateBar returns a bar whose length is in proportion to a number of late answers.
func lateBar(late, most int) string {
	return strings.Repeat("#", late*maxBarLength/max(1, most))
}
