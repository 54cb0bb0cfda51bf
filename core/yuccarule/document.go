package yuccarule

import (
	"encoding/json"
	"fmt"
	"time"

	"yuccawell.example/core/yuccafault"
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
}

// Encode returns the document as it is kept.
func (d Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// DecodeDocument reads a document and its rules. A document that does not hold
// valid rules gives an error of kind Protocol.
func DecodeDocument(value []byte) (Document, Rules, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, Rules{}, yuccafault.New(yuccafault.Protocol, "rules document: %w", err)
	}
	if d.Version == 0 {
		return d, Rules{}, yuccafault.New(yuccafault.Protocol, "rules document has no version")
	}
	rules, faults := Parse(fmt.Sprintf("version %d", d.Version), []byte(d.Text))
	if len(faults) > 0 {
		return d, Rules{}, yuccafault.New(yuccafault.Protocol, "rules document: %s", faults[0])
	}
	return d, rules, nil
}
