package caller

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestParseHint reads comments. An empty fault says that the text is taken.
func TestParseHint(t *testing.T) {
	cases := []struct {
		text  string
		want  hint
		fault string
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
		var known *HintError
		if errors.As(err, &known) {
			fault = known.Name
		}
		if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(hint{})); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
		if diff := cmp.Diff(test.fault, fault); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
	}
}

// FuzzHint reads any text: no key may hold what would end the literal that it
// is sent in, and reading is the same the second time.
func FuzzHint(f *testing.F) {
	for _, text := range []string{"select 1 /*kind='a',key='b'*/", "/*/**/*/", "/*", "*/", "/*key='\\'*/", "/*key='%27'*/ x", "--\n/*kind='a'*/;;"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := parseHint(text)
		again, _ := parseHint(text)
		if h != again {
			t.Error("read differently a second time")
		}
		for i := range len(h.key) {
			if h.key[i] == '\'' || h.key[i] == '\\' || h.key[i] < ' ' {
				t.Errorf("key %q", h.key)
			}
		}
		if err != nil && h != (hint{}) {
			t.Error("a hint beside an error")
		}
		parseCommand(text, scan(text))
	})
}

// TestScan reads what matters of a statement's text.
func TestScan(t *testing.T) {
	cases := []struct {
		text string
		want traits
	}{
		{"", traits{}},
		{"select 1", traits{first: "SELECT", second: "1"}},
		{" /* a /* b */ */ -- c\n (SELECT 1)", traits{first: "SELECT", second: "1"}},
		{"begin", traits{first: "BEGIN"}},
		{"START TRANSACTION READ ONLY", traits{first: "START", second: "TRANSACTION"}},
		{"COMMIT", traits{first: "COMMIT", commits: true}},
		{"begin; insert into a values (1); end", traits{first: "BEGIN", commits: true, several: true}},
		{"update a set b = 1", traits{first: "UPDATE", second: "A"}},
		{"set a = 1", traits{first: "SET", second: "A", leavesState: true}},
		{"select 1; set a = 1", traits{first: "SELECT", second: "1", leavesState: true, several: true}},
		{"select set_config('a', 'b', false)", traits{first: "SELECT", second: "SET_CONFIG", leavesState: true}},
		{"select pg_advisory_lock(1)", traits{first: "SELECT", second: "PG_ADVISORY_LOCK", leavesState: true}},
		{"create temp table a ()", traits{first: "CREATE", second: "TEMP", leavesState: true}},
		{"select 'x; set'", traits{first: "SELECT", second: "X", leavesState: true, several: true}},
	}
	for _, test := range cases {
		if diff := cmp.Diff(test.want, scan(test.text), cmp.AllowUnexported(traits{})); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
	}
}
