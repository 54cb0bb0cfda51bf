package yuccaplan

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"yuccawell.example/core/yuccaerror"
)

// Encode returns the plan as gzip-compressed JSON, the form in which it is stored
// and sent to entries. The error is of kind Internal.
func (p Plan) Encode() ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(p); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	if err := z.Close(); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	return out.Bytes(), nil
}

// Decode parses a plan from gzip-compressed or plain JSON. The error is of kind
// Protocol.
func Decode(value []byte) (Plan, error) {
	var in io.Reader = bytes.NewReader(value)
	if !bytes.HasPrefix(value, []byte("{")) {
		z, err := gzip.NewReader(in)
		if err != nil {
			return Plan{}, yuccaerror.New(yuccaerror.Protocol, "decode plan: %w", err)
		}
		in = z
	}
	var p Plan
	if err := json.NewDecoder(in).Decode(&p); err != nil {
		return Plan{}, yuccaerror.New(yuccaerror.Protocol, "decode plan: %w", err)
	}
	return p, nil
}
