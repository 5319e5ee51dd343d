// Package toml reads TOML documents strictly, and reports every error with its
// line.
//
// # What flows in and out
//
// The bytes of a document flow in. Typed values flow out of the accessors of
// Table; values that are missing, of the wrong type, out of range or unknown are
// reported as diagnostics. The package does not decode into structs, because such
// a decoder stops at the first wrong value and discards the line numbers, while
// an operator needs the complete list at once, including the checks that run
// later on the values. A document with a syntax error gets this one diagnostic,
// because nothing after the error can be read reliably.
//
// # Usage
//
//	root, err := toml.Parse(body)
//	if err != nil { ... }
//	root.Require("name")
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
	// path is the dotted path of the table with the index of each array of tables,
	// such as "group#0.database#1". name is the path without indexes, as messages
	// show it.
	path, name string
	values     map[string]any
	knownKeys  map[string]bool
}

type document struct {
	lineByPath  map[string]int
	tables      []*Table
	diagnostics []Diagnostic
}

// Parse parses body and returns its root table. Its error is a *ValidationError.
func Parse(body []byte) (*Table, error) {
	values := map[string]any{}
	if err := gotoml.Unmarshal(body, &values); err != nil {
		return nil, syntaxError(err)
	}
	doc := &document{lineByPath: indexLines(body)}
	return doc.newTable("", "", values), nil
}

func syntaxError(err error) error {
	diagnostic := Diagnostic{Line: 1, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *gotoml.DecodeError
	if errors.As(err, &decode) {
		diagnostic.Line, _ = decode.Position()
	}
	return &ValidationError{Diagnostics: []Diagnostic{diagnostic}}
}

func (d *document) newTable(path, name string, values map[string]any) *Table {
	table := &Table{document: d, path: path, name: name, values: values, knownKeys: map[string]bool{}}
	d.tables = append(d.tables, table)
	return table
}

// line returns the line of path, or that of the nearest enclosing table.
func (d *document) line(path string) int {
	for {
		if line, found := d.lineByPath[path]; found {
			return line
		}
		separator := strings.LastIndexAny(path, ".#")
		if separator < 0 {
			return 1
		}
		path = path[:separator]
	}
}

// Finish is called after all values have been read. It returns a *ValidationError
// with every error found, including those for keys that were never read, or nil.
func (t *Table) Finish() error {
	doc := t.document
	for _, table := range doc.tables {
		table.reportUnknown()
	}
	if len(doc.diagnostics) == 0 {
		return nil
	}
	SortDiagnostics(doc.diagnostics)
	return &ValidationError{Diagnostics: doc.diagnostics}
}

func (t *Table) reportUnknown() {
	known := make([]string, 0, len(t.knownKeys))
	for key := range t.knownKeys {
		known = append(known, key)
	}
	sort.Strings(known)
	for key := range t.values {
		if !t.knownKeys[key] {
			t.Errorf(key, "unknown key; the known keys are %s", strings.Join(known, ", "))
		}
	}
}

// -----------------------------------------------------------------------------
// Diagnostics of one table.

// Errorf reports that the value of key is invalid. An empty key selects the table
// itself.
func (t *Table) Errorf(key, format string, values ...any) {
	diagnostic := Diagnostic{Line: t.Line(key), Key: join(t.name, key), Message: fmt.Sprintf(format, values...)}
	t.document.diagnostics = append(t.document.diagnostics, diagnostic)
}

// Line returns the line of key, counted from 1. An empty key selects the table
// itself.
func (t *Table) Line(key string) int { return t.document.line(join(t.path, key)) }

// Require reports a diagnostic for each of keys that is missing.
func (t *Table) Require(keys ...string) {
	for _, key := range keys {
		t.knownKeys[key] = true
		if _, found := t.values[key]; !found {
			t.Errorf(key, "is missing")
		}
	}
}

// Has reports whether key is present, with a value of any type.
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

// indexLines maps the path of each key and table of body to its line. The body
// must be valid TOML.
func indexLines(body []byte) map[string]int {
	indexer := lineIndexer{body: body, lineByPath: map[string]int{}, arrayLengths: map[string]int{}}
	indexer.parser.Reset(body)
	for indexer.parser.NextExpression() {
		indexer.add(indexer.parser.Expression())
	}
	return indexer.lineByPath
}

type lineIndexer struct {
	body       []byte
	parser     unstable.Parser
	lineByPath map[string]int
	// arrayLengths holds the number of tables read so far of each array of tables,
	// by path. tablePath is the path of the current table.
	arrayLengths map[string]int
	tablePath    string
}

func (w *lineIndexer) add(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		w.tablePath, _ = w.recordLine("", node.Key())
	case unstable.ArrayTable:
		path, offset := w.recordLine("", node.Key())
		path = trimArrayIndex(path)
		w.tablePath = fmt.Sprintf("%s#%d", path, w.arrayLengths[path])
		w.arrayLengths[path]++
		w.lineByPath[w.tablePath] = w.lineOfOffset(offset)
	case unstable.KeyValue:
		w.recordLine(w.tablePath, node.Key())
	default:
	}
}

// recordLine records the line of a dotted key below base and of each of its
// prefixes. It returns the path of the key, in which each array of tables is
// followed by the index of its last table, and the key's offset.
func (w *lineIndexer) recordLine(base string, keys unstable.Iterator) (string, uint32) {
	path := base
	var offset uint32
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		offset = keys.Node().Raw.Offset
		if _, found := w.lineByPath[path]; !found {
			w.lineByPath[path] = w.lineOfOffset(offset)
		}
		if count := w.arrayLengths[path]; count > 0 {
			path = fmt.Sprintf("%s#%d", path, count-1)
		}
	}
	return path, offset
}

// trimArrayIndex removes the index that recordLine appended to the path of an
// array of tables.
func trimArrayIndex(path string) string {
	hash := strings.LastIndexByte(path, '#')
	if hash < strings.LastIndexByte(path, '.') || hash < 0 {
		return path
	}
	return path[:hash]
}

func (w *lineIndexer) lineOfOffset(offset uint32) int {
	return 1 + bytes.Count(w.body[:offset], []byte{'\n'})
}
