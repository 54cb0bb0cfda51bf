package main

import (
	"fmt"
	"os"
	"strings"
)

// barWidth is the number of characters between the brackets of a bar.
const barWidth = 24

// usageBar returns a bar that shows which part of whole is used, such as
// [#####-----] 50%. With plain set it has only ASCII characters.
func usageBar(used, whole float64, plain bool) string {
	fraction := 0.0
	if whole > 0 {
		fraction = min(max(used/whole, 0), 1)
	}
	full, empty := "█", "░"
	if plain {
		full, empty = "#", "-"
	}
	filled := int(fraction*barWidth + 0.5)
	return "[" + strings.Repeat(full, filled) + strings.Repeat(empty, barWidth-filled) + fmt.Sprintf("] %3.0f%%", fraction*100)
}

// colorByUsage returns text with terminal colour codes: red from 90% of whole in
// use, yellow from 70%, else green. With plain set it returns text unchanged.
func colorByUsage(text string, used, whole float64, plain bool) string {
	if plain {
		return text
	}
	// The colours are ANSI codes (SGR parameters) for the foreground.
	const (
		red    = "31"
		yellow = "33"
		green  = "32"
	)
	colour := green
	switch {
	case used >= 0.9*whole:
		colour = red
	case used >= 0.7*whole:
		colour = yellow
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

// isPlain reports whether output must do without colours and block characters:
// when it isn't a terminal or the environment variable NO_COLOR is set.
func isPlain(out any) bool {
	f, ok := out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return true
	}
	info, err := f.Stat()
	return err != nil || info.Mode()&os.ModeCharDevice == 0
}
