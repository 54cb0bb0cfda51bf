package yuccajson_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccajson"
)

// TestSplit takes documents apart. It guards against parts that take bytes of others with
// them, and against broken documents that look whole.
func TestSplit(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := []struct {
		name, document string
		// parts are the names and values of an object, or the elements of an array.
		parts []string
		err   string
	}{
		{"empty object", ` { } `, nil, ""},
		{"empty array", "[\n]", nil, ""},
		{"object", `{"a": 1, "b":"x" ,"c":{"d":[1,{}]}}`, []string{"a", "1", "b", `"x"`, "c", `{"d":[1,{}]}`}, ""},
		{"array", `[1, "a,]\"", {"]":"}"}, null ]`, []string{"1", `"a,]\""`, `{"]":"}"}`, "null"}, ""},
		{"name with an escape", `{"\u0061":1}`, []string{"a", "1"}, ""},
		{"deep part", `[1,` + deep + `,2]`, []string{"1", deep, "2"}, ""},
		{"part that is no JSON", `[1,tru,2]`, []string{"1", "tru", "2"}, ""},
		{"two members of a name", `{"a":1,"a":2}`, []string{"a", "2"}, ""},
		{"no comma", `[1 2]`, nil, "invalid JSON"},
		{"no value", `{"a":}`, nil, "invalid JSON"},
		{"comma at the end", `[1,]`, nil, "invalid JSON"},
		{"no name", `{1:2}`, nil, "invalid JSON"},
		{"no colon", `{"a" 1}`, nil, "invalid JSON"},
		{"more after the end", `[1]1`, nil, "invalid JSON"},
		{"cut array", `[1,2`, nil, "JSON ends early"},
		{"cut string", `["a`, nil, "JSON ends early"},
		{"cut escape", `["a\`, nil, "JSON ends early"},
		{"cut part", `{"a":[1`, nil, "JSON ends early"},
		{"nothing", ``, nil, "invalid JSON"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			parts, err := split(test.document)
			if test.err != "" {
				c.Assert(err, qt.ErrorMatches, test.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(strings.Join(parts, "|") == strings.Join(test.parts, "|"), qt.IsTrue)
		})
	}
}

// split returns the parts of a document with up to three members.
func split(document string) (parts []string, err error) {
	if strings.HasPrefix(strings.TrimSpace(document), "{") {
		members, err := yuccajson.Object([]byte(document))
		for _, name := range []string{"a", "b", "c"} {
			if value, ok := members[name]; ok {
				parts = append(parts, name, string(value))
			}
		}
		return parts, err
	}
	elements, err := yuccajson.Array([]byte(document))
	for _, e := range elements {
		parts = append(parts, string(e))
	}
	return parts, err
}

func TestDepth(t *testing.T) {
	tests := []struct {
		value string
		want  int
	}{{"1", 0}, {`"[["`, 0}, {"{}", 1}, {"[[],[[]]]", 3}, {`{"a":[{}]}`, 3}}
	for _, test := range tests {
		t.Run(test.value, func(t *testing.T) {
			qt.Assert(t, yuccajson.Depth([]byte(test.value)), qt.Equals, test.want)
		})
	}
}

// FuzzSplit compares the parts of valid documents with those of encoding/json.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1, "a", {"b": [null]}]`, `{"a": 1}`, `[`, `["\\"]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		elements, err := yuccajson.Array(data)
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		c.Assert(err, qt.IsNil)
		c.Assert(elements, qt.HasLen, len(want))
		for i, e := range elements {
			c.Assert(string(e), qt.Equals, string(want[i]))
		}
	})
}
