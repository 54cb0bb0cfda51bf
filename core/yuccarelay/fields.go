package yuccarelay

import (
	"bufio"
	"bytes"
	"errors"
	"strings"

	"yuccawell.example/core/yuccaerror"
)

var (
	errField   = errors.New("header line is not a field")
	errFraming = errors.New("body length is ambiguous")
	errHost    = errors.New("not exactly one Host")
	errHead    = errors.New("head is too long")
)

// checkFields refuses header lines that another reader could understand in
// another way: folded lines, bare line feeds, several lengths, a length beside
// chunks and other codings than chunked.
func checkFields(raw []byte, request bool) error {
	lengths, codings, hosts := 0, 0, 0
	for len(raw) > 0 {
		line, rest, ok := bytes.Cut(raw, []byte("\r\n"))
		raw = rest
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !ok || !found || !token(name) || bytes.ContainsAny(line, "\r\n\x00") {
			return errField
		}
		value = bytes.Trim(value, " \t")
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if !digits(value) {
				return errFraming
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return errFraming
			}
		case "host":
			hosts++
		}
	}
	if lengths+codings > 1 {
		return errFraming
	}
	if request && hosts != 1 {
		return errHost
	}
	return nil
}

func digits(b []byte) bool {
	return len(b) > 0 && strings.Trim(string(b), "0123456789") == ""
}

func token(b []byte) bool {
	for _, c := range b {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// checkHead reads ahead to the end of an answer's head and checks it.
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

// checkRequest refuses a request that could be understood in two ways.
func checkRequest(raw []byte) error {
	return yuccaerror.Wrap(yuccaerror.Malformed, checkFields(raw, true))
}
