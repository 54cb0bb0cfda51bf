package yuccahead_test

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccahead"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// grammar matches a response head as RFC 9112 defines it, without folded lines, and with the
// statuses that RFC 9110 allows. It is independent of the code under test.
var grammar = regexp.MustCompile("^HTTP/1[.][01] [1-5][0-9]{2}( [\\t -~\\x80-\\xff]*)?\r\n" +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*\r\n)*\r\n$")

// latin1 returns a string with one character for each byte, so that the grammar sees bytes.
func latin1(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// heads are response heads, and whether they are valid.
var heads = []struct {
	head  string
	valid bool
}{
	{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", true},
	{"HTTP/1.0 200 OK\r\nA: b\r\n\r\n", true},
	{"HTTP/1.1 200\r\n\r\n", true},
	{"HTTP/1.1 200 \r\n\r\n", true},
	{"HTTP/1.1 503 Full \t\xe9\r\nA:\tb c\r\nB:\r\n\r\n", true},
	{"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", true},
	{"HTTP/1.1 599 Odd\r\n\r\n", true},
	{"HTTP/1.1 000 OK\r\n\r\n", false},
	{"HTTP/1.1 099 OK\r\n\r\n", false},
	{"HTTP/1.1 600 OK\r\n\r\n", false},
	{"HTTP/1.1 20 OK\r\n\r\n", false},
	{"HTTP/1.1 2000 OK\r\n\r\n", false},
	{"HTTP/1.1 2x0 OK\r\n\r\n", false},
	{"HTTP/1.1 +20 OK\r\n\r\n", false},
	{"HTTP/1.1  200 OK\r\n\r\n", false},
	{"HTTP/1.1\t200 OK\r\n\r\n", false},
	{"HTTP/1.1 200OK\r\n\r\n", false},
	{"HTTP/1.1 200\tOK\r\n\r\n", false},
	{"HTTP/1.2 200 OK\r\n\r\n", false},
	{"HTTP/2.0 200 OK\r\n\r\n", false},
	{"http/1.1 200 OK\r\n\r\n", false},
	{"\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	{"HTTP/1.1 200 O\x01K\r\n\r\n", false},
	{"HTTP/1.1 200 O\rK\r\n\r\n", false},
	{"HTTP/1.1 200 OK\nA: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA\x1f: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA: \x1bb\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nA\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\n: b\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
}

// TestResponseHeads guards against heads that a library's parser reads in another way than
// they were meant, such as a status of 000 that it takes for 200.
func TestResponseHeads(t *testing.T) {
	for _, test := range heads {
		t.Run(test.head, func(t *testing.T) {
			c := qt.New(t)
			err := yuccahead.PeekResponse(bufio.NewReader(strings.NewReader(test.head + "body")))
			c.Assert(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			c.Assert(!test.valid || grammar.MatchString(latin1([]byte(test.head))), qt.IsTrue)
			// A client that reads its connection itself sees the same.
			c.Assert(readThrough(t, "HTTP/1.1 100 Continue\r\n\r\n"+test.head) == nil, qt.Equals, test.valid)
		})
	}
}

// readThrough reads a response through a Conn, a few bytes at a time.
func readThrough(t *testing.T, response string) error {
	client, server := net.Pipe()
	group := &errgroup.Group{}
	group.Go(func() error {
		defer func() { _ = server.Close() }()
		_, _ = io.ReadFull(server, make([]byte, 1))
		_, _ = io.WriteString(server, response)
		return nil
	})
	conn := yuccahead.NewConn(client)
	_, err := conn.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	for err == nil {
		_, err = conn.Read(make([]byte, 3))
	}
	_ = client.Close()
	_ = group.Wait()
	if err == io.EOF {
		return nil
	}
	return err
}

// TestTrailers guards against trailer sections whose fields a parser reads in another way.
func TestTrailers(t *testing.T) {
	tests := []struct {
		section string
		valid   bool
	}{
		{"\r\n", true},
		{"Sum: 1\r\n\r\n", true},
		{"Sum: 1\r\nB: c\r\n\r\n", true},
		{"Sum : 1\r\n\r\n", false},
		{"Su m: 1\r\n\r\n", false},
		{"S\x01m: 1\r\n\r\n", false},
		{"Sum: \x001\r\n\r\n", false},
		{"Sum: 1\n\r\n", false},
		{"Sum: 1\r\n more\r\n\r\n", false},
		{"Sum\r\n\r\n", false},
		{"Sum: 1\r\n", false},
	}
	for _, test := range tests {
		err := yuccahead.PeekTrailer(bufio.NewReader(strings.NewReader(test.section)))
		qt.Check(t, err == nil, qt.Equals, test.valid, qt.Commentf("%q: %v", test.section, err))
	}
}

// FuzzResponseHead guards against heads that are accepted although the grammar has no place
// for them, in one part or in several.
func FuzzResponseHead(f *testing.F) {
	for _, h := range heads {
		f.Add([]byte(h.head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(strings.NewReader(string(data)), len(data)+16)
		if yuccahead.PeekResponse(r) != nil {
			return
		}
		end := strings.Index(string(data), "\r\n\r\n")
		if end < 0 || !grammar.MatchString(latin1(data[:end+4])) {
			t.Fatalf("%q is accepted", data)
		}
	})
}
