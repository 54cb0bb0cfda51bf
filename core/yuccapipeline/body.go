package yuccapipeline

import (
	"bytes"
	"strconv"
)

// bodyLength returns the length of the body that follows a request head, chunkedLength if it
// is chunked. It is unknown if the head is not clear about it.
func bodyLength(head []byte) (length int, known bool) {
	fields := 0
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		text := string(bytes.TrimSpace(value))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(text, 10, strconv.IntSize-1)
			if err != nil {
				return 0, false
			}
			length = int(n) // #nosec G115
			fields++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold([]byte(text), []byte("chunked")) {
				return 0, false
			}
			length = chunkedLength
			fields++
		}
	}
	return length, fields <= 1
}

// maxChunkDigits is the number of digits of the longest chunk size that is accepted.
const maxChunkDigits = 12

// chunkPart says what the next bytes of a chunked body belong to.
type chunkPart uint8

const (
	// chunkSize means that they belong to the size of a chunk.
	chunkSize chunkPart = iota
	// chunkExtension means that they belong to the rest of the line of the size.
	chunkExtension
	// chunkData means that they belong to the data of a chunk, or the line end behind it.
	chunkData
	// chunkTrailer means that they belong to the trailer section.
	chunkTrailer
)

// chunkScanner finds the end of a chunked body.
type chunkScanner struct {
	part chunkPart
	// size is the size of the chunk as far as it has been read, and digits the number of
	// its digits.
	size, digits int
	// left is the number of bytes that follow in part chunkData.
	left int
	// lineEnd is what the bytes so far of the trailer section end with.
	lineEnd lineEnd
}

// scan returns the number of bytes up to and including the end of the body, or all if it
// goes on. It is not valid if the bytes are no chunked body.
func (s *chunkScanner) scan(p []byte) (n int, ended, valid bool) {
	for n < len(p) {
		switch s.part {
		case chunkSize:
			if !s.addDigit(p[n]) {
				if s.digits == 0 {
					return 0, false, false
				}
				s.part = chunkExtension
				continue
			}
			n++
			if s.digits > maxChunkDigits {
				return 0, false, false
			}
		case chunkExtension:
			if p[n] == '\n' {
				s.startData()
			}
			n++
		case chunkData:
			taken := min(s.left, len(p)-n)
			n += taken
			if s.left -= taken; s.left == 0 {
				*s = chunkScanner{}
			}
		case chunkTrailer:
			taken, found := s.lineEnd.scan(p[n:])
			return n + taken, found, true
		}
	}
	return n, false, true
}

// startData follows the line of a chunk size. The chunk of size zero is the last one.
func (s *chunkScanner) startData() {
	s.part, s.left = chunkData, s.size+len("\r\n")
	if s.size == 0 {
		s.part, s.lineEnd = chunkTrailer, newLine
	}
}

// addDigit adds a hexadecimal digit to the size, and reports false for any other byte.
func (s *chunkScanner) addDigit(b byte) bool {
	digit := 0
	switch {
	case b >= '0' && b <= '9':
		digit = int(b - '0')
	case b >= 'a' && b <= 'f':
		digit = int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = int(b-'A') + 10
	default:
		return false
	}
	s.size = s.size<<4 | digit
	s.digits++
	return true
}
