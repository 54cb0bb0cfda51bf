package yuccarule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a run of characters without white space.
type word struct {
	text string
	// column is where the word starts, in characters counted from 1.
	column int
}

// line is one rule, split into words.
type line struct {
	// number counts from 1.
	number int
	words  []word
	// requester is the text after the #.
	requester string
}

// maxLineBytes is the length of the longest line that is accepted, in bytes.
const maxLineBytes = 4096

// splitLines splits a rules file into its rules. It skips lines without words.
func splitLines(file, text string) ([]line, []Problem) {
	var lines []line
	var problems []Problem
	for i, raw := range strings.Split(text, "\n") {
		l, problem := splitLine(file, i+1, strings.TrimSuffix(raw, "\r"))
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		if len(l.words) > 0 {
			lines = append(lines, l)
		}
	}
	return lines, problems
}

func splitLine(file string, number int, raw string) (line, *Problem) {
	l := line{number: number}
	if len(raw) > maxLineBytes {
		return l, &Problem{file, number, maxLineBytes, "line is too long", "a line of at most 4096 bytes"}
	}
	if !utf8.ValidString(raw) {
		return l, &Problem{file, number, 1, "line is not UTF-8", "UTF-8 text"}
	}
	code, comment, found := strings.Cut(raw, "#")
	l.words = splitWords(code)
	l.requester = strings.Join(strings.Fields(comment), " ")
	if len(l.words) == 0 {
		return l, nil
	}
	if !found || l.requester == "" {
		end := utf8.RuneCountInString(strings.TrimRight(raw, " \t")) + 1
		return l, &Problem{file, number, end, "nobody is named", "# and the name of who asked at the end of the line"}
	}
	return l, nil
}

func splitWords(code string) []word {
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
