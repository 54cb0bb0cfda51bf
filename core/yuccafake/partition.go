package yuccafake

import (
	"context"
	"net"
	"time"

	"yuccawell.example/core/yuccasleep"
)

// Partition is how a TCPProxy cuts off the connections of one source address.
type Partition uint8

// The kinds of partition.
const (
	// NotPartitioned means that connections work.
	NotPartitioned Partition = iota
	// PartitionHang holds all bytes back until the partition ends.
	PartitionHang
	// PartitionHangNew accepts new connections and holds all their bytes back until the
	// partition ends. Open ones work.
	PartitionHangNew
	// PartitionReset resets the open connections, and new ones as soon as they are
	// accepted.
	PartitionReset
	// PartitionRefuse resets new connections as soon as they are accepted. Open ones
	// work.
	PartitionRefuse
)

// partitionPollInterval is how often held bytes look for the end of a partition.
const partitionPollInterval = 5 * time.Millisecond

// SetPartition cuts off the connections from a source IP address, or ends that.
func (l *TCPProxy) SetPartition(source string, p Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions[source] = p
	if p != PartitionReset {
		return
	}
	for c, from := range l.conns {
		if from == source {
			resetConn(c)
		}
	}
}

// Sent returns the number of bytes that clients with a source IP address have sent.
func (l *TCPProxy) Sent(source string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[source]
}

func (l *TCPProxy) countSent(source string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[source] += n
}

// partition returns how the connections from a source are cut off now.
func (l *TCPProxy) partition(source string) Partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitions[source]
}

// awaitPath waits while the connections from a source hang: open ones, or one that has
// just been accepted. It returns false if ctx ends first.
func (l *TCPProxy) awaitPath(ctx context.Context, source string, accepted bool) bool {
	for p := l.partition(source); p == PartitionHang || accepted && p == PartitionHangNew; p = l.partition(source) {
		if !yuccasleep.For(ctx, partitionPollInterval) {
			return false
		}
	}
	return true
}

// resetConn closes a connection so that the other side gets an error.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// sourceOf returns the IP address that a connection comes from.
func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
