package contract

import (
	"errors"
	"testing"
)

// FuzzSetting looks for settings that make ParseSetting panic, or that it accepts
// although a field is out of range.
func FuzzSetting(f *testing.F) {
	f.Add("teams/gaisma/routes/find", "collection = \"lessons\"\ndeadline = \"400ms\"\n")
	f.Add("teams/gaisma/limits", "weight = 10\n")
	f.Add("teams//routes/find", "collection = 1")
	f.Fuzz(func(t *testing.T, path, body string) {
		text, hash := Revision{Path: path, Body: body}.Encode()
		st, err := ParseSetting(path, 1, text)
		if err != nil {
			return
		}
		if st.Hash != hash {
			t.Fatalf("hash %s became %s", hash, st.Hash)
		}
		if st.Route != nil && st.Route.Validate() != nil {
			t.Fatal("accepted a route that is out of range")
		}
		if (st.Route == nil) == (st.Limits == nil) {
			t.Fatal("want either Route or Limits set")
		}
	})
}

// FuzzRevision looks for object values that make ParseSetting panic.
func FuzzRevision(f *testing.F) {
	f.Add(`{"path":"teams/a/limits","body":""}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, value string) {
		_, err := ParseSetting("teams/a/limits", 1, value)
		if err != nil && errors.Unwrap(err) == err {
			t.Fatal("error wraps itself")
		}
	})
}
