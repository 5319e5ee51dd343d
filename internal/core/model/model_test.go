package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseToken(t *testing.T) {
	cases := map[string]struct {
		text string
		want Token
		fail bool
	}{
		"group and position": {text: "ratings/7:120", want: Token{Group: "ratings", Position: Position{Term: 7, Offset: 120}}},
		"slash in group":     {text: "a/b/7:1", want: Token{Group: "a/b", Position: Position{Term: 7, Offset: 1}}},
		"no group":           {text: "/7:1", fail: true},
		"no position":        {text: "ratings/", fail: true},
		"negative offset":    {text: "ratings/7:-1", fail: true},
		"empty":              {text: "", fail: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := ParseToken(c.text)
			if (err != nil) != c.fail {
				t.Fatalf("ParseToken(%q) error = %v, want an error: %v", c.text, err, c.fail)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("ParseToken(%q) (-want +got):\n%s", c.text, diff)
			}
		})
	}
}

func TestPositionOrder(t *testing.T) {
	older := Position{Term: 1, Offset: 900}
	newer := Position{Term: 2, Offset: 1}
	if !older.Less(newer) || newer.Less(older) {
		t.Errorf("a position of a later term must be greater than any position of an earlier term")
	}
	if diff := cmp.Diff(newer, older.Max(newer)); diff != "" {
		t.Errorf("Max (-want +got):\n%s", diff)
	}
}
