package yuccaidempotency

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

func (r Record) object() *RecordObject {
	return &RecordObject{Id: r.ID[:], Fingerprint: r.Fingerprint, Attempt: r.Attempt[:], Entry: r.Entry, At: r.At.UnixNano()}
}

func recordOf(o *RecordObject) (Record, error) {
	r := Record{Fingerprint: o.GetFingerprint(), Entry: o.GetEntry(), At: time.Unix(0, o.GetAt())}
	if len(o.GetId()) != len(r.ID) || len(o.GetAttempt()) != len(r.Attempt) {
		return Record{}, yuccaerror.New(yuccaerror.Protocol, "record with an id of %d and a try of %d bytes", len(o.GetId()), len(o.GetAttempt()))
	}
	copy(r.ID[:], o.GetId())
	copy(r.Attempt[:], o.GetAttempt())
	return r, nil
}

func objectsOf(records []Record) []*RecordObject {
	list := make([]*RecordObject, len(records))
	for i, r := range records {
		list[i] = r.object()
	}
	return list
}

func recordsOf(objects []*RecordObject) ([]Record, error) {
	list := make([]Record, len(objects))
	for i, o := range objects {
		r, err := recordOf(o)
		if err != nil {
			return nil, err
		}
		list[i] = r
	}
	return list, nil
}

func encodeRange(open []Record, parts []Part) ([]byte, error) {
	o := &ShardObject{Open: objectsOf(open)}
	for _, p := range parts {
		o.Parts = append(o.Parts, &PartRef{Key: p.Key, Last: p.Last.UnixNano()})
	}
	return proto.Marshal(o)
}

func decodeRange(value []byte) ([]Record, []Part, error) {
	var o ShardObject
	if err := proto.Unmarshal(value, &o); err != nil {
		return nil, nil, yuccaerror.New(yuccaerror.Protocol, "range object: %w", err)
	}
	var parts []Part
	for _, p := range o.GetParts() {
		parts = append(parts, Part{Key: p.GetKey(), Last: time.Unix(0, p.GetLast())})
	}
	open, err := recordsOf(o.GetOpen())
	return open, parts, err
}

func encodePart(records []Record) ([]byte, error) {
	return proto.Marshal(&PartObject{Records: objectsOf(records)})
}

func decodePart(value []byte) ([]Record, error) {
	var o PartObject
	if err := proto.Unmarshal(value, &o); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "part object: %w", err)
	}
	return recordsOf(o.GetRecords())
}

func heldOf(id ID, a *Response) *CachedResponse {
	h := &CachedResponse{Id: id[:], Status: int32(a.Status), Body: a.Body}
	for _, f := range a.Header {
		h.Header = append(h.Header, &HeaderField{Name: f.Name, Value: f.Value})
	}
	return h
}

func answerOf(h *CachedResponse) *Response {
	a := &Response{Status: int(h.GetStatus()), Body: h.GetBody()}
	for _, f := range h.GetHeader() {
		a.Header = append(a.Header, Field{f.GetName(), f.GetValue()})
	}
	return a
}
