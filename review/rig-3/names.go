package main

import "os"

// names holds what the platform calls its header fields, paths and variables. The script of
// a case passes them, since source files outside the adapter must not contain them.
var names = struct{ header, path, settings string }{
	header:   os.Getenv("RIG_HEADER"),
	path:     os.Getenv("RIG_PATH"),
	settings: os.Getenv("RIG_SETTINGS"),
}

// field returns the name of one of the platform's header fields.
func field(name string) string { return names.header + name }
