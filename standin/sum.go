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

// sumCommand prints the table of a load's result and fails when a promise was
// broken.
func sumCommand() *cobra.Command {
	var result, total string
	c := &cobra.Command{
		Use:     "sum",
		Short:   "Print a load's result; fail when a request was lost, doubled or cut",
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
			return verdict(rows, t)
		},
	}
	c.Flags().StringVar(&result, "result", "result.json", "what load wrote")
	c.Flags().StringVar(&total, "total", "total.json", "what the servers' /total gave")
	return c
}

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

func readTotal(path string) (yuccafake.Total, error) {
	var t yuccafake.Total
	text, err := os.ReadFile(path)
	if err != nil {
		return t, yuccaerror.Wrap(yuccaerror.Usage, err)
	}
	return t, yuccaerror.Wrap(yuccaerror.Invalid, json.Unmarshal(text, &t))
}

func printRows(out io.Writer, rows []row, t yuccafake.Total) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "PHASE\tSERVICE\tWHOLE\tREFUSED\tUNSURE\tLOST\tCUT\tP50 MS\tP99 MS\tMAX MS\tHEADROOM\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t\n", r.Phase, r.Service, r.Whole, r.Refused, r.Indeterminate, r.Lost, r.Corrupted, r.P50, r.P99, r.Max, r.Headroom*100)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "requests that ran: %d, doubled: %d\n", t.Tokens, t.Doubled)
}

func verdict(rows []row, t yuccafake.Total) error {
	lost, cut, served := 0, 0, 0
	for _, r := range rows {
		lost += r.Lost
		cut += r.Corrupted
		served += r.Whole
	}
	if lost > 0 || cut > 0 || t.Doubled > 0 || served == 0 {
		return yuccaerror.New(yuccaerror.Invalid, "whole %d, lost %d, cut %d, doubled %d", served, lost, cut, t.Doubled)
	}
	return nil
}
