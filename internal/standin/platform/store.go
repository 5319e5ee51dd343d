package platform

import (
	"sort"
	"strconv"
	"strings"
	"sync"
)

// Row is one row of a table, in the form of the JSON bodies.
type Row struct {
	Table string `json:"table,omitempty"`
	Key   string `json:"key"`
	// Version is opaque and changes with each change of the row. It is empty
	// for a row that does not exist.
	Version string `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// rowID names a row over all tables.
type rowID struct{ table, key string }

// store holds the tables and objects.
type store struct {
	mu      sync.Mutex
	changes uint64
	rows    map[rowID]Row
	objects map[string][]byte
}

func newStore() *store {
	return &store{rows: map[rowID]Row{}, objects: map[string][]byte{}}
}

// -----------------------------------------------------------------------------
// Tables.

// row returns a row as it stands, with an empty version where there is none.
func (s *store) row(table, key string) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(rowID{table, key})
}

func (s *store) current(id rowID) Row {
	row, found := s.rows[id]
	if !found {
		return Row{Table: id.table, Key: id.key}
	}
	return row
}

// scan returns the rows of a table whose keys begin with prefix, ordered by
// key.
func (s *store) scan(table, prefix string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Row{}
	for id, row := range s.rows {
		if id.table == table && strings.HasPrefix(id.key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// transact changes all rows or none. It returns the rows with their new
// versions, or, where a version did not match, false and the rows as they
// stand.
func (s *store) transact(rows []Row) ([]Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := make([]Row, 0, len(rows))
	matches := true
	for _, row := range rows {
		current := s.current(rowID{row.Table, row.Key})
		standing = append(standing, current)
		matches = matches && current.Version == row.Version
	}
	if !matches {
		return standing, false
	}
	return s.change(rows), true
}

func (s *store) change(rows []Row) []Row {
	changed := make([]Row, 0, len(rows))
	for _, row := range rows {
		s.changes++
		row.Version = strconv.FormatUint(s.changes, 10)
		s.rows[rowID{row.Table, row.Key}] = row
		changed = append(changed, Row{Table: row.Table, Key: row.Key, Version: row.Version})
	}
	return changed
}

// -----------------------------------------------------------------------------
// Objects.

func (s *store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, found := s.objects[name]
	return body, found
}

func (s *store) putObject(name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = body
}
