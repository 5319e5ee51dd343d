// Package toml reads TOML documents strictly, and reports every fault with its
// line.
//
// # What flows in and out
//
// The bytes of a document flow in. Typed values flow out by the accessors of
// Table; what is missing, of the wrong type, out of range or unknown flows out
// as faults. A decoder into structs stops at the first wrong value and knows no
// lines afterwards; an operator wants the whole list at once, also of the
// checks that run later on the values. A document that is no TOML at all has
// one fault, since nothing after it can be read reliably.
//
// # Usage
//
//	root, err := toml.Read(body)
//	if err != nil { ... }
//	root.Need("name")
//	name, found := root.Text("name")
//	for _, rank := range root.Tables("rank") { ... }
//	err = root.Finish()
package toml

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"

	gotoml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// -----------------------------------------------------------------------------
// Reading.

// Table is one table of a document.
type Table struct {
	document *document
	// path locates the table with the index of each array of tables; name is
	// the same without indexes, as operators write it.
	path, name string
	values     map[string]any
	known      map[string]bool
}

type document struct {
	lines  map[string]int
	tables []*Table
	faults []Diagnostic
}

// Parse parses body and returns its root table. Its error is a *ValidationError.
func Parse(body []byte) (*Table, error) {
	values := map[string]any{}
	if err := gotoml.Unmarshal(body, &values); err != nil {
		return nil, syntaxError(err)
	}
	doc := &document{lines: readLines(body)}
	return doc.open("", "", values), nil
}

func syntaxError(err error) error {
	fault := Diagnostic{Line: 1, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *gotoml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, _ = decode.Position()
	}
	return &ValidationError{Diagnostics: []Diagnostic{fault}}
}

func (d *document) open(path, name string, values map[string]any) *Table {
	table := &Table{document: d, path: path, name: name, values: values, known: map[string]bool{}}
	d.tables = append(d.tables, table)
	return table
}

// line returns the line of path, or that of the nearest table around it.
func (d *document) line(path string) int {
	for {
		if line, found := d.lines[path]; found {
			return line
		}
		cut := strings.LastIndexAny(path, ".#")
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

// Finish ends the reading. It returns a *ValidationError with every fault found,
// keys that nobody asked for included, or nil.
func (t *Table) Finish() error {
	doc := t.document
	for _, table := range doc.tables {
		table.reportUnknown()
	}
	if len(doc.faults) == 0 {
		return nil
	}
	SortDiagnostics(doc.faults)
	return &ValidationError{Diagnostics: doc.faults}
}

func (t *Table) reportUnknown() {
	known := make([]string, 0, len(t.known))
	for key := range t.known {
		known = append(known, key)
	}
	sort.Strings(known)
	for key := range t.values {
		if !t.known[key] {
			t.Errorf(key, "unknown key; the keys here are %s", strings.Join(known, ", "))
		}
	}
}

// -----------------------------------------------------------------------------
// Faults of one table.

// Errorf reports that the value of key is wrong. An empty key stands for the
// table.
func (t *Table) Errorf(key, format string, values ...any) {
	fault := Diagnostic{Line: t.Line(key), Key: join(t.name, key), Message: fmt.Sprintf(format, values...)}
	t.document.faults = append(t.document.faults, fault)
}

// Line returns the line of key, from 1. An empty key stands for the table.
func (t *Table) Line(key string) int { return t.document.line(join(t.path, key)) }

// Require reports each of keys that is missing.
func (t *Table) Require(keys ...string) {
	for _, key := range keys {
		t.known[key] = true
		if _, found := t.values[key]; !found {
			t.Errorf(key, "is missing")
		}
	}
}

// Has tells whether key is there, of whatever type.
func (t *Table) Has(key string) bool {
	_, found := t.values[key]
	return found
}

func join(path, key string) string {
	if path == "" || key == "" {
		return path + key
	}
	return path + "." + key
}

// -----------------------------------------------------------------------------
// Lines.

// readLines maps the path of each key and table of body to its line. The body
// is known to be valid.
func readLines(body []byte) map[string]int {
	walk := lineWalk{body: body, lines: map[string]int{}, counts: map[string]int{}}
	walk.parser.Reset(body)
	for walk.parser.NextExpression() {
		walk.add(walk.parser.Expression())
	}
	return walk.lines
}

type lineWalk struct {
	body   []byte
	parser unstable.Parser
	lines  map[string]int
	// counts holds the number of tables of each array; base is the path of
	// the table that the document is in.
	counts map[string]int
	base   string
}

func (w *lineWalk) add(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		w.base, _ = w.place("", node.Key())
	case unstable.ArrayTable:
		path, offset := w.place("", node.Key())
		path = unindexed(path)
		w.base = fmt.Sprintf("%s#%d", path, w.counts[path])
		w.counts[path]++
		w.lines[w.base] = w.lineAt(offset)
	case unstable.KeyValue:
		w.place(w.base, node.Key())
	default:
	}
}

// place notes the line of a dotted key below base and returns its path, with
// the index of the last table of each array on the way.
func (w *lineWalk) place(base string, keys unstable.Iterator) (string, uint32) {
	path := base
	var offset uint32
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		offset = keys.Node().Raw.Offset
		if _, found := w.lines[path]; !found {
			w.lines[path] = w.lineAt(offset)
		}
		if count := w.counts[path]; count > 0 {
			path = fmt.Sprintf("%s#%d", path, count-1)
		}
	}
	return path, offset
}

// unindexed drops the index that place put at the end of an array's own path.
func unindexed(path string) string {
	hash := strings.LastIndexByte(path, '#')
	if hash < strings.LastIndexByte(path, '.') || hash < 0 {
		return path
	}
	return path[:hash]
}

func (w *lineWalk) lineAt(offset uint32) int {
	return 1 + bytes.Count(w.body[:offset], []byte{'\n'})
}
