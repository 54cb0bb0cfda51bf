package yuccarule

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Document is one version of the rules file as it is stored on the platform.
type Document struct {
	// Version rises by one with every accepted change.
	Version uint64 `json:"version"`
	// ID identifies the submission, so that its sender can recognize it.
	ID string `json:"id"`
	// Author is the name of the operator who submitted it.
	Author string `json:"by"`
	// SubmittedAt is the time of the submission.
	SubmittedAt time.Time `json:"at"`
	// Text is the rules file as it was submitted.
	Text string `json:"text"`
	// Recent holds the IDs of up to 16 earlier versions, the latest last. With
	// them, a sender recognizes its submission after later ones have followed.
	Recent []string `json:"recent,omitempty"`
}

// maxRecent is the largest number of earlier IDs in a document.
const maxRecent = 16

// Next returns the version after d with the given content.
func (d Document) Next(id, by string, at time.Time, text string) Document {
	next := Document{Version: d.Version + 1, ID: id, Author: by, SubmittedAt: at, Text: text}
	if d.ID != "" {
		next.Recent = append(slices.Clone(d.Recent), d.ID)
	}
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	return next
}

// HasSubmission reports whether the submission with the given ID is this version
// or one of the Recent ones.
func (d Document) HasSubmission(id string) bool { return d.ID == id || slices.Contains(d.Recent, id) }

// Encode returns the document as JSON, the stored form.
func (d Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// DecodeDocument reads a stored document and parses its rules. It returns an error
// of kind Protocol when the document cannot be read, has version 0 or holds
// invalid rules.
func DecodeDocument(value []byte) (Document, Rules, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document: %w", err)
	}
	if d.Version == 0 {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document has no version")
	}
	rules, problems := Parse(fmt.Sprintf("version %d", d.Version), []byte(d.Text))
	if len(problems) > 0 {
		return d, Rules{}, yuccaerror.New(yuccaerror.Protocol, "rules document: %s", problems[0])
	}
	return d, rules, nil
}
