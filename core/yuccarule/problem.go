package yuccarule

import (
	"fmt"
	"sort"
	"strings"

	"yuccawell.example/core/yuccaerror"
)

// Problem is one error in a rules file.
type Problem struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line, counted from 1.
	Line int `json:"line"`
	// Column is the column in characters, counted from 1.
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"wrong"`
	// Expected says what belongs there instead.
	Expected string `json:"right"`
}

// String prints the problem as FILE:LINE:COLUMN: MESSAGE; want EXPECTED.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; want %s", p.File, p.Line, p.Column, p.Message, p.Expected)
}

// ProblemsError returns an error of kind Invalid that lists the problems, one a
// line. It returns nil when there are none.
func ProblemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return yuccaerror.New(yuccaerror.Invalid, "%s", strings.Join(lines, "\n"))
}

// sortProblems sorts by line and column.
func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Column < problems[j].Column
	})
}
