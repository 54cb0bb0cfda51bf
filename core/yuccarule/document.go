package yuccarule

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Document is a rules file as it is kept on the platform.
type Document struct {
	// Version rises by one with every accepted change.
	Version uint64 `json:"version"`
	// ID is unique to the submission, so that its sender can recognize it.
	ID string `json:"id"`
	// By names the operator.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Text is the rules file as it was given.
	Text string `json:"text"`
	// Recent holds the ids of the versions before, the latest last, so that a
	// sender recognizes its own after others have followed.
	Recent []string `json:"recent,omitempty"`
}

// maxRecent is how many ids of earlier versions a document holds.
const maxRecent = 16

// Next returns the version after d with the given content.
func (d Document) Next(id, by string, at time.Time, text string) Document {
	next := Document{Version: d.Version + 1, ID: id, By: by, At: at, Text: text}
	if d.ID != "" {
		next.Recent = append(slices.Clone(d.Recent), d.ID)
	}
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	return next
}

// HasSubmission reports whether the submission with the given id is this version or one
// of the last before it.
func (d Document) HasSubmission(id string) bool { return d.ID == id || slices.Contains(d.Recent, id) }

// Encode returns the document as it is kept.
func (d Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// DecodeDocument reads a document and its rules. A document that does not hold
// valid rules gives an error of kind Protocol.
func DecodeDocument(value []byte) (Document, Rules, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document: %w", err)
	}
	if d.Version == 0 {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document has no version")
	}
	rules, faults := Parse(fmt.Sprintf("version %d", d.Version), []byte(d.Text))
	if len(faults) > 0 {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document: %s", faults[0])
	}
	return d, rules, nil
}
