package yuccaidempotency

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// toProto returns the record as it is stored and sent.
func (r Record) toProto() *RecordObject {
	return &RecordObject{Id: r.ID[:], Fingerprint: r.Fingerprint, Attempt: r.Attempt[:], Entry: r.Entry, At: r.At.UnixNano()}
}

// recordFromProto reverts toProto. The error is of kind Protocol when the ID or
// the attempt has the wrong length.
func recordFromProto(o *RecordObject) (Record, error) {
	r := Record{Fingerprint: o.GetFingerprint(), Entry: o.GetEntry(), At: time.Unix(0, o.GetAt())}
	if len(o.GetId()) != len(r.ID) || len(o.GetAttempt()) != len(r.Attempt) {
		return Record{}, yuccaerror.New(yuccaerror.Protocol, "record has an ID of %d bytes and an attempt of %d bytes, expected 16 each", len(o.GetId()), len(o.GetAttempt()))
	}
	copy(r.ID[:], o.GetId())
	copy(r.Attempt[:], o.GetAttempt())
	return r, nil
}

func recordsToProto(records []Record) []*RecordObject {
	list := make([]*RecordObject, len(records))
	for i, r := range records {
		list[i] = r.toProto()
	}
	return list
}

func recordsFromProto(objects []*RecordObject) ([]Record, error) {
	list := make([]Record, len(objects))
	for i, o := range objects {
		r, err := recordFromProto(o)
		if err != nil {
			return nil, err
		}
		list[i] = r
	}
	return list, nil
}

// encodeShard returns the value of a shard object in the store.
func encodeShard(open []Record, parts []Part) ([]byte, error) {
	o := &ShardObject{Open: recordsToProto(open)}
	for _, p := range parts {
		o.Parts = append(o.Parts, &PartRef{Key: p.Key, Last: p.Last.UnixNano()})
	}
	return proto.Marshal(o)
}

// decodeShard reverts encodeShard. The error is of kind Protocol.
func decodeShard(value []byte) ([]Record, []Part, error) {
	var o ShardObject
	if err := proto.Unmarshal(value, &o); err != nil {
		return nil, nil, yuccaerror.New(yuccaerror.Protocol, "decode shard object: %w", err)
	}
	var parts []Part
	for _, p := range o.GetParts() {
		parts = append(parts, Part{Key: p.GetKey(), Last: time.Unix(0, p.GetLast())})
	}
	open, err := recordsFromProto(o.GetOpen())
	return open, parts, err
}

// encodePart returns the value of a part object in the store.
func encodePart(records []Record) ([]byte, error) {
	return proto.Marshal(&PartObject{Records: recordsToProto(records)})
}

// decodePart reverts encodePart. The error is of kind Protocol.
func decodePart(value []byte) ([]Record, error) {
	var o PartObject
	if err := proto.Unmarshal(value, &o); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode part object: %w", err)
	}
	return recordsFromProto(o.GetRecords())
}

// responseToProto returns a response as it is sent between entries.
func responseToProto(id ID, a *Response) *CachedResponse {
	h := &CachedResponse{Id: id[:], Status: int32(a.Status), Body: a.Body}
	for _, f := range a.Header {
		h.Header = append(h.Header, &HeaderField{Name: f.Name, Value: f.Value})
	}
	return h
}

// responseFromProto reverts responseToProto, without the ID.
func responseFromProto(h *CachedResponse) *Response {
	a := &Response{Status: int(h.GetStatus()), Body: h.GetBody()}
	for _, f := range h.GetHeader() {
		a.Header = append(a.Header, Field{f.GetName(), f.GetValue()})
	}
	return a
}
