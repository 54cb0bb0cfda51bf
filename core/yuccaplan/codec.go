package yuccaplan

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"yuccawell.example/core/yuccafault"
)

// Key is where the platform keeps the plan.
const Key = "shared/plan"

// Encode returns the plan as it is kept and passed on.
func (p Plan) Encode() ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(p); err != nil {
		return nil, yuccafault.Wrap(yuccafault.Internal, err)
	}
	if err := z.Close(); err != nil {
		return nil, yuccafault.Wrap(yuccafault.Internal, err)
	}
	return out.Bytes(), nil
}

// Decode reads a plan. The error is of kind Protocol.
func Decode(value []byte) (Plan, error) {
	var p Plan
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Plan{}, yuccafault.New(yuccafault.Protocol, "plan: %w", err)
	}
	if err := json.NewDecoder(z).Decode(&p); err != nil {
		return Plan{}, yuccafault.New(yuccafault.Protocol, "plan: %w", err)
	}
	return p, nil
}
