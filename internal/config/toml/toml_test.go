package toml

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sample = `name = "a"
[limits]
slots = 3
odd = 1

[[group]]
name = "g1"
[[group.database]]
name = "d1"
[[group.database]]
name = 2

[[group]]
name = "g2"
wrong.deep = 1
[[group.database]]
address = "localhost:1"
`

func TestDiagnosticsHaveLines(t *testing.T) {
	root, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	root.Require("name", "zone")
	root.Table("limits").Int("slots")
	for _, group := range root.Tables("group") {
		group.Text("name")
		for _, database := range group.Tables("database") {
			database.Require("name")
			database.Text("name")
			database.Address("address")
		}
	}
	want := []Diagnostic{
		{Line: 1, Key: "zone", Message: "is missing"},
		{Line: 4, Key: "limits.odd", Message: "unknown key; the known keys are slots"},
		{Line: 11, Key: "group.database.name", Message: "must be a string"},
		{Line: 15, Key: "group.wrong", Message: "unknown key; the known keys are database, name"},
		{Line: 16, Key: "group.database.name", Message: "is missing"},
		{Line: 17, Key: "group.database.address", Message: `"localhost:1" is not an IP address with a port, such as "10.1.0.11:5432"`},
	}
	var validationErr *ValidationError
	if !errors.As(root.Finish(), &validationErr) {
		t.Fatal("Finish returned no *ValidationError")
	}
	if diff := cmp.Diff(want, validationErr.Diagnostics); diff != "" {
		t.Errorf("diagnostics (-want +got):\n%s", diff)
	}
}

func TestSyntaxErrorHasLine(t *testing.T) {
	_, err := Parse([]byte("a = 1\nb = \n"))
	var validationErr *ValidationError
	if !errors.As(err, &validationErr) || validationErr.Diagnostics[0].Line != 2 {
		t.Fatalf("Parse error = %v, want one diagnostic on line 2", err)
	}
}
