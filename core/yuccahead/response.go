// Package yuccahead checks the heads of HTTP/1.1 messages by a strict grammar. The parsers of
// libraries read more than that: a status of 000 as 200, a field whose name holds a blank as
// another one. What they make of such bytes is not what the sender meant.
//
// PeekResponse and PeekTrailer check what a reader brings next, without consuming it. Conn
// does so for a client that reads its connection itself.
package yuccahead

import (
	"bufio"
	"bytes"
	"errors"
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// The versions that a response may have.
const (
	version10 = "HTTP/1.0 "
	version11 = "HTTP/1.1 "
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

// PeekResponse checks a response head, interim or final, up to its end. An error of the reader
// is returned as it is, and ErrTooLong for a head that does not fit its buffer.
func PeekResponse(r *bufio.Reader) error {
	return peek(r, func(read []byte) (done bool, err error) {
		if end := bytes.Index(read, headEnd); end >= 0 {
			return true, checkResponse(read[:end+len(lineEnd)])
		}
		return false, checkLineEnds(read)
	})
}

// PeekTrailer checks a trailer section, which may be empty, up to its end.
func PeekTrailer(r *bufio.Reader) error {
	return peek(r, func(read []byte) (done bool, err error) {
		if bytes.HasPrefix(read, lineEnd) {
			return true, nil
		}
		if end := bytes.Index(read, headEnd); end >= 0 {
			return true, checkTrailer(read[:end+len(lineEnd)])
		}
		return false, checkLineEnds(read)
	})
}

// peek calls check with more and more of what the reader brings, until it is done.
func peek(r *bufio.Reader, check func(read []byte) (done bool, err error)) error {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				err = ErrTooLong
			}
			return err
		}
		read, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if done, err := check(read); done || err != nil {
			return err
		}
	}
}

// checkLineEnds rejects line feeds without a carriage return, with which other parsers end a
// line.
func checkLineEnds(read []byte) error {
	if bytes.Count(read, []byte("\n")) != bytes.Count(read, lineEnd) {
		return ErrField
	}
	return nil
}

// checkResponse checks a whole response head without the empty line at its end.
func checkResponse(head []byte) error {
	line, rest, _ := bytes.Cut(head, lineEnd)
	if !isStatusLine(line) {
		return ErrStatusLine
	}
	if hasControl(rest) {
		return ErrField
	}
	f, err := checkFields(rest)
	if err == nil && f.transferEncodings > 0 && bytes.HasPrefix(line, []byte(version10)) {
		// Such a sender does not know chunks; its framing cannot be trusted.
		err = ErrFraming
	}
	return err
}

// checkTrailer checks a whole trailer section without the empty line at its end.
func checkTrailer(section []byte) error {
	if hasControl(section) {
		return ErrField
	}
	_, err := checkFields(section)
	return err
}

// isStatusLine reports whether a line is a version, a status from 100 to 599 and, optionally,
// a reason.
func isStatusLine(line []byte) bool {
	rest, found := bytes.CutPrefix(line, []byte(version11))
	if !found {
		rest, found = bytes.CutPrefix(line, []byte(version10))
	}
	if !found || len(rest) < statusDigits {
		return false
	}
	status, reason := rest[:statusDigits], rest[statusDigits:]
	if !isDigits(status) || status[0] < '1' || status[0] > '5' {
		return false
	}
	return len(reason) == 0 || reason[0] == ' ' && !hasControl(reason) && !bytes.ContainsAny(reason, "\r\n")
}

// hasControl reports whether lines hold a control character that no field value may have.
func hasControl(lines []byte) bool {
	for _, b := range lines {
		if b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 0x7f {
			return true
		}
	}
	return false
}

// isInterim reports whether a head with a valid status line is one of an interim response.
func isInterim(head []byte) bool { return head[len(version11)] == '1' }
