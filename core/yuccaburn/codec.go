package yuccaburn

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// Encode returns the counts as a message for other entries. Empty buckets are
// left out.
func (w *Windows) Encode() ([]byte, error) {
	m := &WindowsMessage{}
	for k, s := range w.copy() {
		line := &Series{Service: k.Service, From: k.From}
		for i, r := range s {
			for _, b := range r {
				if b.index > 0 {
					line.Buckets = append(line.Buckets, encodeBucket(i, b))
				}
			}
		}
		m.Series = append(m.Series, line)
	}
	return proto.Marshal(m)
}

func encodeBucket(i int, b bucket) *Bucket {
	return &Bucket{
		Tier:   uint32(i),
		Index:  b.index,
		Total:  b.total,
		Shed:   b.shed,
		Late:   b.late,
		Broken: b.broken,
		Moving: b.moving,
	}
}

// DecodeWindows reads what Encode returned. Buckets later than now by more than
// the longest step are refused, since they would hide those that follow; the
// error is of kind Protocol.
func DecodeWindows(body []byte, now time.Time) (*Windows, error) {
	m := &WindowsMessage{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "windows: %w", err)
	}
	w := NewWindows()
	for _, line := range m.Series {
		s := newSeries()
		for _, b := range line.Buckets {
			if err := decodeBucket(s, b, now); err != nil {
				return nil, err
			}
		}
		w.all[Key{line.Service, line.From}] = s
	}
	return w, nil
}

func decodeBucket(s *series, b *Bucket, now time.Time) error {
	if int(b.Tier) >= len(tiers) {
		return yuccaerror.New(yuccaerror.Protocol, "windows: no tier %d", b.Tier)
	}
	if b.Index == 0 || b.Index > tiers[b.Tier].index(now)+1 {
		return yuccaerror.New(yuccaerror.Protocol, "windows: bucket %d of tier %d is out of range", b.Index, b.Tier)
	}
	s.put(int(b.Tier), bucket{b.Index, b.Total, b.Shed, b.Late, b.Broken, b.Moving})
	return nil
}
