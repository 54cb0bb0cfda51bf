package main

import (
	"fmt"
	"os"
	"strings"
)

const barWidth = 24

// bar draws how much of a whole is used, such as [#####-----] 50%. It uses
// characters of ASCII where plain is set.
func bar(used, whole float64, plain bool) string {
	part := 0.0
	if whole > 0 {
		part = min(max(used/whole, 0), 1)
	}
	full, empty := "█", "░"
	if plain {
		full, empty = "#", "-"
	}
	n := int(part*barWidth + 0.5)
	return "[" + strings.Repeat(full, n) + strings.Repeat(empty, barWidth-n) + fmt.Sprintf("] %3.0f%%", part*100)
}

// paint colours a bar by how much is used, unless plain is set.
func paint(text string, used, whole float64, plain bool) string {
	if plain {
		return text
	}
	const red, yellow, green = "31", "33", "32"
	colour := green
	switch {
	case used >= 0.9*whole:
		colour = red
	case used >= 0.7*whole:
		colour = yellow
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

// isPlain reports whether output goes without colours and blocks: when it is
// not a terminal or NO_COLOR is set.
func isPlain(out any) bool {
	f, ok := out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return true
	}
	info, err := f.Stat()
	return err != nil || info.Mode()&os.ModeCharDevice == 0
}
