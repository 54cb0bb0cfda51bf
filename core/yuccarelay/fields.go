package yuccarelay

import (
	"bufio"
	"bytes"
	"errors"
	"strings"

	"yuccawell.example/core/yuccaerror"
)

var (
	errField   = errors.New("header line is not a valid field")
	errFraming = errors.New("body length is ambiguous: expected one valid Content-Length or Transfer-Encoding: chunked")
	errHost    = errors.New("request does not have exactly one Host header")
	errHead    = errors.New("response header is longer than the read buffer")
)

// checkFields rejects header lines that another HTTP parser could read
// differently, which allows request smuggling: folded lines, bare line feeds,
// repeated lengths, a length beside a transfer coding, and transfer codings
// other than chunked.
func checkFields(raw []byte, request bool) error {
	contentLengths, transferEncodings, hosts := 0, 0, 0
	for len(raw) > 0 {
		line, rest, ok := bytes.Cut(raw, []byte("\r\n"))
		raw = rest
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !ok || !found || !isToken(name) || bytes.ContainsAny(line, "\r\n\x00") {
			return errField
		}
		value = bytes.Trim(value, " \t")
		switch strings.ToLower(string(name)) {
		case "content-length":
			contentLengths++
			if !isDigits(value) {
				return errFraming
			}
		case "transfer-encoding":
			transferEncodings++
			if !strings.EqualFold(string(value), "chunked") {
				return errFraming
			}
		case "host":
			hosts++
		}
	}
	if contentLengths+transferEncodings > 1 {
		return errFraming
	}
	if request && hosts != 1 {
		return errHost
	}
	return nil
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

// checkHead peeks at a response header up to its end and checks its fields.
func checkHead(r *bufio.Reader) error {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				err = errHead
			}
			return err
		}
		head, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			_, fields, _ := bytes.Cut(head[:end+2], []byte("\r\n"))
			return checkFields(fields, false)
		}
		if bytes.Contains(head, []byte("\n\n")) {
			return errField
		}
	}
}

// checkRequest rejects a request whose header is ambiguous.
func checkRequest(raw []byte) error {
	return yuccaerror.Wrap(yuccaerror.Malformed, checkFields(raw, true))
}
