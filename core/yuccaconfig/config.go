// Package yuccaconfig reads settings files written in TOML and reports every fault
// of a file at once.
//
//	var s Settings
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

// Problem is one thing wrong in a settings file.
type Problem struct {
	// Key is the dotted path of the setting.
	Key string
	// Message says what is wrong.
	Message string
	// Allowed says what would be right.
	Allowed string
}

// String returns the fault as one line.
func (f Problem) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", f.Key, f.Message, f.Allowed)
}

// Validator is implemented by settings that check their own values.
type Validator interface {
	// Validate returns every fault of the values.
	Validate() []Problem
}

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration such as "1m30s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText prints the duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Load reads the file at path into s, which holds the defaults beforehand. The
// error is of kind Refused and names the file and every fault found.
func Load(path string, s Validator) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return yuccaerror.New(yuccaerror.Invalid, "read settings: %w", err)
	}
	return Parse(path, text, s)
}

// Parse reads settings from text. The name is used in errors only.
func Parse(name string, text []byte, s Validator) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if faults := decodeFaults(d.Decode(s)); len(faults) > 0 {
		return refuse(name, faults)
	}
	if faults := s.Validate(); len(faults) > 0 {
		return refuse(name, faults)
	}
	return nil
}

func decodeFaults(err error) []Problem {
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]Problem, 0, len(missing.Errors))
		for i := range missing.Errors {
			key := strings.Join(missing.Errors[i].Key(), ".")
			faults = append(faults, Problem{key, "unknown key", "a key listed by the settings command"})
		}
		return faults
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, column := bad.Position()
		key := strings.Join(bad.Key(), ".")
		if key == "" {
			key = "file"
		}
		return []Problem{{key, fmt.Sprintf("line %d column %d: %s", row, column, bad.Error()), "valid TOML of the setting's type"}}
	}
	return []Problem{{"file", err.Error(), "valid TOML of the setting's type"}}
}

func refuse(name string, faults []Problem) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = name + ": " + f.String()
	}
	return yuccaerror.New(yuccaerror.Invalid, "%s", strings.Join(lines, "\n"))
}
