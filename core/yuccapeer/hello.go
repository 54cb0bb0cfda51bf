package yuccapeer

import (
	"bufio"
	"io"

	"yuccawell.example/core/yuccaerror"
)

// The versions of the protocol that this build speaks.
const (
	lowestVersion  = 1
	highestVersion = 1
)

// negotiate returns the highest version that both sides speak.
func negotiate(a, b *Hello) (uint32, error) {
	version := min(a.Highest, b.Highest)
	if version < max(a.Lowest, b.Lowest) || version == 0 {
		return 0, yuccaerror.New(yuccaerror.Protocol, "peer %q speaks versions %d to %d, this entry %d to %d",
			b.Name, b.Lowest, b.Highest, a.Lowest, a.Highest)
	}
	return version, nil
}

// greet exchanges greetings and returns the other side's.
func greet(w io.Writer, r *bufio.Reader, own *Hello) (*Hello, error) {
	if err := writeMessage(w, own); err != nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "greeting: %w", err)
	}
	other := &Hello{}
	if err := readMessage(r, maxHello, other); err != nil {
		return nil, yuccaerror.New(readKind(err), "greeting: %w", err)
	}
	if other.Name == "" || other.Name == own.Name {
		return nil, yuccaerror.New(yuccaerror.Protocol, "greeting from %q", other.Name)
	}
	_, err := negotiate(own, other)
	return other, err
}
