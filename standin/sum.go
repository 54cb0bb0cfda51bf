package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
)

// sumCommand returns the command that prints the results of a load as a table.
// It fails if a guarantee was violated.
func sumCommand() *cobra.Command {
	var result, total string
	c := &cobra.Command{
		Use:     "sum",
		Short:   "Print the results of a load; fail if a request was lost, run twice or corrupted",
		Example: "  yucca-standin sum --result result.json --total total.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := readRows(result)
			if err != nil {
				return err
			}
			t, err := readTotal(total)
			if err != nil {
				return err
			}
			printRows(c.OutOrStdout(), rows, t)
			return checkGuarantees(rows, t)
		},
	}
	c.Flags().StringVar(&result, "result", "result.json", "file that the load command wrote")
	c.Flags().StringVar(&total, "total", "total.json", "file with the response of the server command's /total")
	return c
}

// readRows reads a file with one JSON row per line.
func readRows(path string) ([]row, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Usage, err)
	}
	defer f.Close()
	var rows []row
	for d := json.NewDecoder(f); ; {
		var r row
		err := d.Decode(&r)
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, yuccaerror.Wrap(yuccaerror.Invalid, err)
		}
		rows = append(rows, r)
	}
}

// readTotal reads the summary of the servers' execution log.
func readTotal(path string) (yuccafake.Total, error) {
	var t yuccafake.Total
	text, err := os.ReadFile(path)
	if err != nil {
		return t, yuccaerror.Wrap(yuccaerror.Usage, err)
	}
	return t, yuccaerror.Wrap(yuccaerror.Invalid, json.Unmarshal(text, &t))
}

// printRows prints the rows as a table, followed by the servers' summary.
func printRows(out io.Writer, rows []row, t yuccafake.Total) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "PHASE\tSERVICE\tWHOLE\tREFUSED\tUNSURE\tLOST\tCUT\tP50 MS\tP99 MS\tMAX MS\tHEADROOM\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t\n", r.Phase, r.Service, r.Succeeded, r.Rejected, r.Indeterminate, r.Lost, r.Corrupted, r.P50, r.P99, r.Max, r.Headroom*100)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "requests that ran: %d, doubled: %d\n", t.Tokens, t.DuplicatePosts)
}

// checkGuarantees returns an error if a request was lost, run twice or answered
// with a corrupted body, or if none succeeded.
func checkGuarantees(rows []row, t yuccafake.Total) error {
	lost, corrupted, succeeded := 0, 0, 0
	for _, r := range rows {
		lost += r.Lost
		corrupted += r.Corrupted
		succeeded += r.Succeeded
	}
	if lost > 0 || corrupted > 0 || t.DuplicatePosts > 0 || succeeded == 0 {
		return yuccaerror.New(yuccaerror.Invalid, "requests succeeded: %d (want at least 1), lost: %d, corrupted: %d, run twice: %d (want 0 each)", succeeded, lost, corrupted, t.DuplicatePosts)
	}
	return nil
}
