package yuccareplica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestContact follows the contact with the platform over responses, a failed call
// and a silence.
func TestContact(t *testing.T) {
	c := qt.New(t)
	var contact contact
	c.Assert(contact.duration(start), qt.Equals, time.Duration(0))
	contact.responded(start)
	contact.responded(start.Add(4 * time.Second))
	c.Assert(contact.duration(start.Add(5*time.Second)), qt.Equals, 5*time.Second)
	contact.lost()
	c.Assert(contact.duration(start.Add(5*time.Second)), qt.Equals, time.Duration(0))
	contact.responded(start.Add(6 * time.Second))
	c.Assert(contact.duration(start.Add(7*time.Second)), qt.Equals, time.Second)
	silent := start.Add(6*time.Second + contactTimeout + 1)
	c.Assert(contact.duration(silent), qt.Equals, time.Duration(0))
	contact.responded(silent)
	c.Assert(contact.duration(silent.Add(time.Second)), qt.Equals, time.Second)
}
