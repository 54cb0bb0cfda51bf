package yuccarule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a run of characters without space, with its column counted from 1 in
// characters.
type word struct {
	text   string
	column int
}

// line is one rule as words, with the name behind its #.
type line struct {
	number int
	words  []word
	who    string
}

// maxLine is the longest line in bytes.
const maxLine = 4096

func lex(file, text string) ([]line, []Problem) {
	var lines []line
	var faults []Problem
	for i, raw := range strings.Split(text, "\n") {
		l, fault := lexLine(file, i+1, strings.TrimSuffix(raw, "\r"))
		if fault != nil {
			faults = append(faults, *fault)
			continue
		}
		if len(l.words) > 0 {
			lines = append(lines, l)
		}
	}
	return lines, faults
}

func lexLine(file string, number int, raw string) (line, *Problem) {
	l := line{number: number}
	if len(raw) > maxLine {
		return l, &Problem{file, number, maxLine, "line is too long", "a line of at most 4096 bytes"}
	}
	if !utf8.ValidString(raw) {
		return l, &Problem{file, number, 1, "line is not UTF-8", "UTF-8 text"}
	}
	code, comment, found := strings.Cut(raw, "#")
	l.words = split(code)
	l.who = strings.Join(strings.Fields(comment), " ")
	if len(l.words) == 0 {
		return l, nil
	}
	if !found || l.who == "" {
		end := utf8.RuneCountInString(strings.TrimRight(raw, " \t")) + 1
		return l, &Problem{file, number, end, "nobody is named", "# and the name of who asked at the end of the line"}
	}
	return l, nil
}

func split(code string) []word {
	var words []word
	var text []rune
	column, start := 0, 0
	flush := func() {
		if len(text) > 0 {
			words = append(words, word{string(text), start})
			text = nil
		}
	}
	for _, r := range code {
		column++
		if unicode.IsSpace(r) {
			flush()
			continue
		}
		if len(text) == 0 {
			start = column
		}
		text = append(text, r)
	}
	flush()
	return words
}
