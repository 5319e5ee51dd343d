package caller

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestParseHint parses comments. If hintName is empty, the text must be
// accepted.
func TestParseHint(t *testing.T) {
	cases := []struct {
		text     string
		want     hint
		hintName string
	}{
		{"select 1", hint{}, ""},
		{"select 1 /*kind='post'*/", hint{kind: "post"}, ""},
		{"select 1 /*kind='post'*/ ; ", hint{kind: "post"}, ""},
		{"/*kind='post'*/ select 1", hint{kind: "post"}, ""},
		{"/*kind='post'*/ select 1 /*key='a'*/", hint{kind: "post", key: "a"}, ""},
		{"select 1 /* kind = 'post' , deadline = '1s' */", hint{kind: "post", deadline: time.Second}, ""},
		{"select 1 /*token='g%2F7:1'*/", hint{token: model.Token{Group: "g", Position: model.Position{Term: 7, Offset: 1}}}, ""},
		{"select 1 /*kind='it\\'s'*/", hint{kind: "it's"}, ""},
		{"select 1 /*app='a,kind=b'*/", hint{}, ""},
		{"select '/*kind=1*/' from a", hint{}, ""},
		{"select 1 /* roaming='on' */", hint{}, ""},
		{"select 1 /* kind of */", hint{}, ""},
		{"select 1 /*+ kind=1 */", hint{}, ""},
		{"select 1 /*kind=post*/", hint{}, "kind"},
		{"select 1 /*kind=''*/", hint{}, "kind"},
		{"select 1 /*kind='a'b'*/", hint{}, "kind"},
		{"select 1 /*kind='a',kind='a'*/", hint{}, "kind"},
		{"/*kind='a'*/ select 1 /*kind='a'*/", hint{}, "kind"},
		{"select 1 /*kind='%zz'*/", hint{}, "kind"},
		{"select 1 /*key='a b'*/", hint{}, "key"},
		{"select 1 /*key='a%27b'*/", hint{}, "key"},
		{"select 1 /*token='7:1'*/", hint{}, "token"},
		{"select 1 /*deadline='200'*/", hint{}, "deadline"},
		{"select 1 /*deadline='-1s'*/", hint{}, "deadline"},
	}
	for _, test := range cases {
		got, err := parseHint(test.text)
		fault := ""
		var hintErr *HintError
		if errors.As(err, &hintErr) {
			fault = hintErr.Name
		}
		if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(hint{})); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
		if diff := cmp.Diff(test.hintName, fault); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
	}
}

// FuzzHint parses arbitrary text. A key must not contain characters that end
// the literal in which it is sent, and parsing must be deterministic.
func FuzzHint(f *testing.F) {
	for _, text := range []string{"select 1 /*kind='a',key='b'*/", "/*/**/*/", "/*", "*/", "/*key='\\'*/", "/*key='%27'*/ x", "--\n/*kind='a'*/;;"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := parseHint(text)
		second, _ := parseHint(text)
		if h != second {
			t.Error("a second parse gives another result")
		}
		for i := range len(h.key) {
			if h.key[i] == '\'' || h.key[i] == '\\' || h.key[i] < ' ' {
				t.Errorf("key %q contains a character that is not allowed", h.key)
			}
		}
		if err != nil && h != (hint{}) {
			t.Error("a hint is returned with an error")
		}
		parseCommand(text, scanTraits(text))
	})
}

// TestScan determines the traits of statement texts.
func TestScan(t *testing.T) {
	cases := []struct {
		text string
		want traits
	}{
		{"", traits{}},
		{"select 1", traits{firstWord: "SELECT", secondWord: "1"}},
		{" /* a /* b */ */ -- c\n (SELECT 1)", traits{firstWord: "SELECT", secondWord: "1"}},
		{"begin", traits{firstWord: "BEGIN"}},
		{"START TRANSACTION READ ONLY", traits{firstWord: "START", secondWord: "TRANSACTION"}},
		{"COMMIT", traits{firstWord: "COMMIT", commits: true}},
		{"begin; insert into a values (1); end", traits{firstWord: "BEGIN", commits: true, multipleStatements: true}},
		{"update a set b = 1", traits{firstWord: "UPDATE", secondWord: "A"}},
		{"set a = 1", traits{firstWord: "SET", secondWord: "A", leavesState: true}},
		{"select 1; set a = 1", traits{firstWord: "SELECT", secondWord: "1", leavesState: true, multipleStatements: true}},
		{"select set_config('a', 'b', false)", traits{firstWord: "SELECT", secondWord: "SET_CONFIG", leavesState: true}},
		{"select pg_advisory_lock(1)", traits{firstWord: "SELECT", secondWord: "PG_ADVISORY_LOCK", leavesState: true}},
		{"create temp table a ()", traits{firstWord: "CREATE", secondWord: "TEMP", leavesState: true}},
		{"select 'x; set'", traits{firstWord: "SELECT", secondWord: "X", leavesState: true, multipleStatements: true}},
	}
	for _, test := range cases {
		if diff := cmp.Diff(test.want, scanTraits(test.text), cmp.AllowUnexported(traits{})); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
	}
}
