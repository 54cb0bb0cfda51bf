package yuccaburn

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// Encode returns the counts as an encoded WindowsMessage. It omits empty
// buckets.
func (w *Windows) Encode() ([]byte, error) {
	m := &WindowsMessage{}
	for k, s := range w.copy() {
		encoded := &Series{Service: k.Service, From: k.OriginRegion}
		for tier, ring := range s {
			for _, b := range ring {
				if b.index > 0 {
					encoded.Buckets = append(encoded.Buckets, encodeBucket(tier, b))
				}
			}
		}
		m.Series = append(m.Series, encoded)
	}
	return proto.Marshal(m)
}

// encodeBucket converts a bucket of the given tier, an index of tiers.
func encodeBucket(tier int, b bucket) *Bucket {
	return &Bucket{
		Tier:   uint32(tier),
		Index:  b.index,
		Total:  b.total,
		Shed:   b.shed,
		Late:   b.late,
		Broken: b.broken,
		Moving: b.moving,
	}
}

// DecodeWindows decodes the output of Encode. It rejects a bucket that starts
// more than one step of its tier after now, because that bucket would hide the
// ones that follow it. Its errors are of kind Protocol.
func DecodeWindows(body []byte, now time.Time) (*Windows, error) {
	m := &WindowsMessage{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "windows: decode message: %w", err)
	}
	w := NewWindows()
	for _, encoded := range m.Series {
		s := newSeries()
		for _, b := range encoded.Buckets {
			if err := decodeBucket(s, b, now); err != nil {
				return nil, err
			}
		}
		w.series[Key{encoded.Service, encoded.From}] = s
	}
	return w, nil
}

// decodeBucket validates a bucket and merges it into s.
func decodeBucket(s *series, b *Bucket, now time.Time) error {
	if int(b.Tier) >= len(tiers) {
		return yuccaerror.New(yuccaerror.Protocol, "windows: bucket has unknown tier %d", b.Tier)
	}
	if b.Index == 0 || b.Index > tiers[b.Tier].index(now)+1 {
		return yuccaerror.New(yuccaerror.Protocol, "windows: bucket %d of tier %d is out of range", b.Index, b.Tier)
	}
	s.mergeBucket(int(b.Tier), bucket{b.Index, b.Total, b.Shed, b.Late, b.Broken, b.Moving})
	return nil
}
