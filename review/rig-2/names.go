package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var nameList string

// names maps a short name to a name of the platform's pages.
var names = parseNames(nameList)

func parseNames(text string) map[string]string {
	all := map[string]string{}
	for line := range strings.Lines(text) {
		if short, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			all[short] = name
		}
	}
	return all
}
