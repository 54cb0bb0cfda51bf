// Package yuccaconfig reads settings files in TOML and reports all problems of a
// file at once. A settings type is a struct that implements Validator. The
// caller sets it to the defaults, and Load overwrites the values that the file
// contains:
//
//	s := Settings{Wait: yuccaconfig.Duration(time.Second)} // the defaults
//	err := yuccaconfig.Load("entry.toml", &s)
package yuccaconfig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yuccawell.example/core/yuccaerror"
)

// Problem is one mistake in a settings file.
type Problem struct {
	// Key is the dotted path of the setting, or "file" if no key is known.
	Key string
	// Message says what is wrong.
	Message string
	// Allowed says which values are valid.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", p.Key, p.Message, p.Allowed)
}

// Validator is a settings type that checks its own values.
type Validator interface {
	// Validate returns all problems of the values, or none if they are valid.
	Validate() []Problem
}

// Duration is a time.Duration that a settings file holds as text such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration such as "1m30s", as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration so that UnmarshalText can parse it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Load reads the file at path into s, which the caller has set to the defaults.
// The error is of kind Invalid and names the file and all problems found.
func Load(path string, s Validator) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return yuccaerror.New(yuccaerror.Invalid, "read settings: %w", err)
	}
	return Parse(path, text, s)
}

// Parse reads settings from text into s, as Load does. The name appears in errors
// only. Unknown keys and wrong types are reported without the problems that
// Validate would find.
func Parse(name string, text []byte, s Validator) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if problems := decodeProblems(d.Decode(s)); len(problems) > 0 {
		return invalidError(name, problems)
	}
	if problems := s.Validate(); len(problems) > 0 {
		return invalidError(name, problems)
	}
	return nil
}

// decodeProblems returns the problems that an error of the TOML decoder describes.
func decodeProblems(err error) []Problem {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		problems := make([]Problem, 0, len(strict.Errors))
		for i := range strict.Errors {
			key := strings.Join(strict.Errors[i].Key(), ".")
			problems = append(problems, Problem{key, "unknown key", "a key listed by the settings command"})
		}
		return problems
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = "file"
		}
		return []Problem{{key, fmt.Sprintf("line %d column %d: %s", row, column, decodeErr.Error()), "valid TOML of the setting's type"}}
	}
	return []Problem{{"file", err.Error(), "valid TOML of the setting's type"}}
}

// invalidError returns an error of kind Invalid with one line for each problem.
func invalidError(name string, problems []Problem) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = name + ": " + p.String()
	}
	return yuccaerror.New(yuccaerror.Invalid, "%s", strings.Join(lines, "\n"))
}
