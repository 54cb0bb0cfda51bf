package yuccapeer

import (
	"bufio"
	"io"

	"yuccawell.example/core/yuccaerror"
)

// The range of protocol versions that this build supports.
const (
	// lowestVersion is the lowest supported version.
	lowestVersion = 1
	// highestVersion is the highest supported version.
	highestVersion = 2
	// strongGatewaysVersion is the version from which entries choose gateways among the
	// strong ones. The format of the messages is that of version 1.
	strongGatewaysVersion = 2
)

// negotiate returns the highest version that both sides support; a is this
// entry's Hello and b the peer's. The error is of kind Protocol.
func negotiate(a, b *Hello) (uint32, error) {
	version := min(a.Highest, b.Highest)
	if version < max(a.Lowest, b.Lowest) || version == 0 {
		return 0, yuccaerror.New(yuccaerror.Protocol, "peer %q supports protocol versions %d to %d, this entry %d to %d",
			b.Name, b.Lowest, b.Highest, a.Lowest, a.Highest)
	}
	return version, nil
}

// exchangeHello sends this entry's Hello and returns that of the other side. It
// fails when the other side's name is empty or this entry's own, or when there
// is no common protocol version.
func exchangeHello(w io.Writer, r *bufio.Reader, own *Hello) (*Hello, error) {
	if err := writeMessage(w, own); err != nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "send hello: %w", err)
	}
	other := &Hello{}
	if err := readMessage(r, maxHelloBytes, other); err != nil {
		return nil, yuccaerror.New(readErrorKind(err), "receive hello: %w", err)
	}
	if other.Name == "" || other.Name == own.Name {
		return nil, yuccaerror.New(yuccaerror.Protocol, "received hello with the name %q, which is empty or this entry's own", other.Name)
	}
	_, err := negotiate(own, other)
	return other, err
}
