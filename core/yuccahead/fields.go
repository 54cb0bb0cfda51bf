package yuccahead

import (
	"bytes"
	"errors"
	"strings"
)

// The reasons for which a head is rejected.
var (
	ErrField      = errors.New("header line is not a valid field")
	ErrFraming    = errors.New("body length is ambiguous: expected one valid Content-Length or Transfer-Encoding: chunked")
	ErrHost       = errors.New("request does not have exactly one Host header")
	ErrStatusLine = errors.New("first line of a response is not a valid status line")
	ErrTooLong    = errors.New("response header is longer than the read buffer")
)

// fields counts the header fields that matter for the framing of a message.
type fields struct{ contentLengths, transferEncodings, hosts int }

// CheckRequest checks the header lines of a request.
func CheckRequest(raw []byte) error {
	f, err := checkFields(raw)
	if err == nil && f.hosts != 1 {
		err = ErrHost
	}
	return err
}

// checkFields rejects header lines that another HTTP parser could read
// differently, which allows request smuggling: folded lines, bare line feeds,
// repeated lengths, a length beside a transfer coding, and transfer codings
// other than chunked.
func checkFields(raw []byte) (f fields, err error) {
	for len(raw) > 0 {
		line, rest, ok := bytes.Cut(raw, []byte("\r\n"))
		raw = rest
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !ok || !found || !isToken(name) || bytes.ContainsAny(line, "\r\n\x00") {
			return f, ErrField
		}
		value = bytes.Trim(value, " \t")
		switch strings.ToLower(string(name)) {
		case "content-length":
			f.contentLengths++
			if !isDigits(value) {
				return f, ErrFraming
			}
		case "transfer-encoding":
			f.transferEncodings++
			if !strings.EqualFold(string(value), "chunked") {
				return f, ErrFraming
			}
		case "host":
			f.hosts++
		}
	}
	if f.contentLengths+f.transferEncodings > 1 {
		return f, ErrFraming
	}
	return f, nil
}

func isDigits(b []byte) bool {
	return len(b) > 0 && strings.Trim(string(b), "0123456789") == ""
}

// isToken reports whether b is a token as defined by RFC 9110.
func isToken(b []byte) bool {
	for _, c := range b {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}
