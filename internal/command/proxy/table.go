package proxy

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
)

// -----------------------------------------------------------------------------
// Printing.

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table collects rows that are printed in aligned columns.
type table struct {
	rows [][]string
}

func newTable(columns ...string) *table {
	return &table{rows: [][]string{columns}}
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(console *Console) {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		_, _ = fmt.Fprintf(writer, "  %s\n", strings.Join(row, "\t"))
	}
	_ = writer.Flush()
	console.printf("%s", text.String())
}

func printJSON(console *Console, value any) error {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return &InvalidResponseError{Reason: err.Error()}
	}
	console.printf("%s\n", body)
	return nil
}

// printAny prints a decoded JSON value: a list of objects as a table, any other
// value as JSON.
func printAny(console *Console, value any) {
	list, _ := value.([]any)
	columns := map[string]bool{}
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			list = nil
			break
		}
		for key := range object {
			columns[key] = true
		}
	}
	if len(list) == 0 {
		body, _ := json.Marshal(value)
		console.printf("  %s\n", body)
		return
	}
	printObjects(console, list, columns)
}

func printObjects(console *Console, list []any, columns map[string]bool) {
	keys := make([]string, 0, len(columns))
	for key := range columns {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	table := newTable(keys...)
	for _, entry := range list {
		object := entry.(map[string]any)
		cells := make([]any, len(keys))
		for i, key := range keys {
			cells[i] = object[key]
		}
		table.add(cells...)
	}
	table.print(console)
}
