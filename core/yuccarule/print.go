package yuccarule

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// String prints the rules in canonical form: one rule a line, grouped by keyword.
// Parsing the result returns the same rules.
func (r Rules) String() string {
	var b strings.Builder
	for _, l := range r.lines() {
		b.WriteString(l.text)
		b.WriteByte('\n')
	}
	return b.String()
}

// canonicalLine is a rule in canonical form.
type canonicalLine struct {
	// id identifies the rule in all versions of the file.
	id string
	// text is the line without its line break.
	text string
}

func (r Rules) lines() []canonicalLine {
	var all []canonicalLine
	all = appendLines(all, r.Regions, printRegion)
	all = appendLines(all, r.Links, printLink)
	all = appendLines(all, r.Services, printService)
	all = appendLines(all, r.ShiftLimits, printShiftLimit)
	all = appendLines(all, r.Shifts, printShift)
	all = appendLines(all, r.Drains, printDrain)
	all = appendLines(all, r.Peaks, printPeak)
	all = appendLines(all, r.Goals, printGoal)
	all = appendLines(all, r.Sites, printSite)
	return appendLines(all, r.Blocks, printBlock)
}

func appendLines[T any](all []canonicalLine, list []T, format func(T) (string, Source)) []canonicalLine {
	for _, v := range list {
		text, source := format(v)
		all = append(all, canonicalLine{identities(v)[0], text + "  # " + source.Requester})
	}
	return all
}

func printRegion(v Region) (string, Source) {
	return fmt.Sprintf("region  %s domains=%s", v.Name, strings.Join(v.Domains, ",")), v.Source
}

func printLink(v Link) (string, Source) {
	return fmt.Sprintf("link    %s %s cap=%s", v.A, v.B, v.Bandwidth), v.Source
}

func printService(v Service) (string, Source) {
	text := fmt.Sprintf("service %s host=%s regions=%s", v.Name, strings.Join(v.Hosts, ","), strings.Join(v.Regions, ","))
	if v.Priority != 1 {
		text += " weight=" + strconv.Itoa(v.Priority)
	}
	return text, v.Source
}

func printShiftLimit(v ShiftLimit) (string, Source) {
	return fmt.Sprintf("cap     %s step=%s every=%s", v.Service, v.Step, printDuration(v.Window)), v.Source
}

func printShift(v Shift) (string, Source) {
	return fmt.Sprintf("shift   %s from=%s to=%s share=%s", v.Service, v.From, v.To, v.Share), v.Source
}

func printDrain(v Drain) (string, Source) {
	return fmt.Sprintf("drain   %s %s", v.Kind, v.Name), v.Source
}

func printPeak(v Peak) (string, Source) {
	factor := strconv.FormatFloat(v.Factor, 'g', -1, 64)
	return fmt.Sprintf("event   %s service=%s start=%s lead=%s length=%s factor=%s", v.Name, v.Service,
		v.Start.Format(time.RFC3339Nano), printDuration(v.Lead), printDuration(v.Length), factor), v.Source
}

func printGoal(v Goal) (string, Source) {
	return fmt.Sprintf("goal    %s latency=%s share=%s window=%s", v.Service, printDuration(v.Latency), v.Share, printDuration(v.Window)), v.Source
}

func printSite(v Site) (string, Source) {
	return fmt.Sprintf("site    %s region=%s", v.Name, v.Region), v.Source
}

func printBlock(v CIDRBlock) (string, Source) {
	return fmt.Sprintf("block   %s site=%s", v.Prefix, v.Site), v.Source
}
