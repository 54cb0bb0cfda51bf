package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["poison-slow"] = poisonSlow }

const (
	slowEntries = 7
	slowServers = 12
	slowReturns = 8
	slowPause   = time.Second
	// slowLimit is the time limit of the download, and slowRate how much of it the client
	// reads in a second, in pieces of slowPiece.
	slowLimit = 9 * time.Second
	slowRate  = 512 << 10
	slowPiece = 32 << 10
	// slowBuffer is the client's receive buffer.
	slowBuffer = 32 << 10
	// slowBytes is the length of the download, and slowCrashAt where its server crashes.
	slowBytes, slowCrashAt = 12 << 20, 8 << 20
)

// poisonSlow has one client that reads a large download slowly. Its server crashes midway.
func poisonSlow(w *world) int {
	services := []string{"archive"}
	do := func(r *http.Request, _ []byte) work {
		return work{takes: orderTime, bytes: slowBytes, crash: w.trouble, crashAt: slowCrashAt}
	}
	for n := range slowServers {
		w.addServer("archive", n, 6, do)
	}
	w.configure(3, services, route("archive", "download", "/archive/", slowLimit, services...))
	for n := range slowEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	sentAt := map[string]time.Time{}
	for n := range slowReturns {
		id := w.newID()
		e := w.entries[n%len(w.entries)]
		sentAt[id] = time.Now()
		w.recorder.note("the caller asks %s for the download as %s", e.name, id)
		got, err := w.download(e, id)
		w.recorder.note("the caller got %d bytes of %s, error %v", got, id, err)
		if !w.trouble && got < slowRate {
			w.recorder.note("broken: a sound download does not arrive")
			return broken
		}
		time.Sleep(slowPause)
	}
	return w.judgePoison(sentAt)
}

// download reads an answer slowly and returns how much of it came.
func (w *world) download(e *entry, id string) (got int, err error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
	}}
	c, err := dialer.Dial("tcp", e.front)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(slowLimit))
	_, err = fmt.Fprintf(c, "GET /archive/9 HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n\r\n", wire.Attempt, id, wire.Remaining, slowLimit.Milliseconds())
	if err != nil {
		return 0, err
	}
	piece := make([]byte, slowPiece)
	head := strings.Builder{}
	for got < slowBytes {
		n, err := c.Read(piece)
		if got += n; head.Len() == 0 {
			head.Write(piece[:n])
			if !strings.HasPrefix(head.String(), "HTTP/1.1 200 ") {
				return got, fmt.Errorf("answered %.12q", head.String())
			}
		}
		if err == io.EOF {
			return got, io.ErrUnexpectedEOF
		}
		if err != nil {
			return got, err
		}
		time.Sleep(time.Duration(n) * time.Second / slowRate)
	}
	return got, nil
}
