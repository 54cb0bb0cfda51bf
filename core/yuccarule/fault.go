package yuccarule

import (
	"fmt"
	"sort"
	"strings"

	"yuccawell.example/core/yuccaerror"
)

// Problem is one thing wrong in a rules file. Line and Column count from 1.
type Problem struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Message  string `json:"wrong"`
	Expected string `json:"right"`
}

// String prints the fault as file:line:column: wrong; want right.
func (f Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; want %s", f.File, f.Line, f.Column, f.Message, f.Expected)
}

// ProblemsError returns an error of kind Refused that lists the faults, nil when there
// are none.
func ProblemsError(faults []Problem) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return yuccaerror.New(yuccaerror.Invalid, "%s", strings.Join(lines, "\n"))
}

func sortFaults(faults []Problem) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Column < faults[j].Column
	})
}
