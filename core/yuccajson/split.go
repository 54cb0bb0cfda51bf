// Package yuccajson takes JSON documents apart without decoding their parts. One part
// that cannot be decoded then does not cost the others.
//
// Splitting uses constant memory besides its result, whatever the nesting, and checks only
// what it needs to find the ends of values. The parts have to be decoded with
// encoding/json, which checks the rest.
package yuccajson

import (
	"encoding/json"
	"errors"
)

var (
	errSyntax    = errors.New("invalid JSON")
	errTruncated = errors.New("JSON ends early")
)

// Object returns the values of the members of a JSON object by name. Of members with the
// same name, the last one counts. The values are parts of data.
func Object(data []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	s := scanner{data: data}
	err := s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		members[name] = value
		return err
	})
	return members, err
}

// Array returns the elements of a JSON array. They are parts of data.
func Array(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	s := scanner{data: data}
	err := s.list('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// Depth returns how deeply the arrays and objects of a JSON value are nested.
func Depth(data []byte) int {
	s := scanner{data: data}
	_, _ = s.value()
	return s.depth
}

// scanner finds the ends of values.
type scanner struct {
	data []byte
	// at is the index of the next byte.
	at int
	// depth is the deepest nesting seen.
	depth int
}

// list reads values between two brackets, which read reads, and the end of the document.
func (s *scanner) list(opening, closing byte, read func() error) error {
	if s.next() != opening {
		return errSyntax
	}
	s.at++
	for first := true; s.next() != closing; first = false {
		if !first {
			if s.next() != ',' {
				return s.unexpected()
			}
			s.at++
		}
		if err := read(); err != nil {
			return err
		}
	}
	s.at++
	if s.next() != 0 {
		return errSyntax
	}
	return nil
}

// name reads the name of a member and the colon after it.
func (s *scanner) name() (string, error) {
	if s.next() != '"' {
		return "", s.unexpected()
	}
	raw, err := s.value()
	if err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(raw, &name); err != nil {
		return "", err
	}
	if s.next() != ':' {
		return "", s.unexpected()
	}
	s.at++
	return name, nil
}

// value reads one value.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch b := s.data[s.at]; b {
		case '"':
			if !s.skipString() {
				return nil, errTruncated
			}
			if depth == 0 {
				return s.data[start:s.at], nil
			}
			continue
		case '{', '[':
			depth++
			s.depth = max(s.depth, depth)
		case '}', ']', ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.scalar(start)
			}
			if b == '}' || b == ']' {
				depth--
			}
			if depth == 0 {
				s.at++
				return s.data[start:s.at], nil
			}
		}
		s.at++
	}
	if depth > 0 {
		return nil, errTruncated
	}
	return s.scalar(start)
}

// scalar returns the number or word from start to the next byte.
func (s *scanner) scalar(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, s.unexpected()
	}
	return s.data[start:s.at], nil
}

// skipString moves behind the string that begins at the next byte and reports whether it
// ends.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// next skips white space and returns the next byte without reading it, zero at the end.
func (s *scanner) next() byte {
	for ; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.data[s.at]
		}
	}
	return 0
}

// unexpected returns the error for the next byte.
func (s *scanner) unexpected() error {
	if s.at >= len(s.data) {
		return errTruncated
	}
	return errSyntax
}
