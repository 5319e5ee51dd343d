package platform

import (
	"sort"
	"strconv"
	"strings"
	"sync"
)

// Row is one row of a table, and its form in JSON bodies.
type Row struct {
	Table string `json:"table,omitempty"`
	Key   string `json:"key"`
	// Version is opaque and changes with each change of the row. It is empty
	// for a row that does not exist.
	Version string `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// rowID identifies a row among all tables.
type rowID struct{ table, key string }

// store holds the tables and objects.
type store struct {
	mu          sync.Mutex
	lastVersion uint64
	rows        map[rowID]Row
	objects     map[string][]byte
}

func newStore() *store {
	return &store{rows: map[rowID]Row{}, objects: map[string][]byte{}}
}

// -----------------------------------------------------------------------------
// Tables.

// row returns a row, with an empty version if it does not exist.
func (s *store) row(table, key string) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(rowID{table, key})
}

// current returns a row. It requires that mu is locked.
func (s *store) current(id rowID) Row {
	row, found := s.rows[id]
	if !found {
		return Row{Table: id.table, Key: id.key}
	}
	return row
}

// scan returns the rows of a table whose keys start with prefix, ordered by
// key.
func (s *store) scan(table, prefix string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for id, row := range s.rows {
		if id.table == table && strings.HasPrefix(id.key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// transact writes all rows if each has the current version of its row, and
// returns them with their new versions and without bodies. Otherwise it writes
// none, and returns false and the current rows.
func (s *store) transact(rows []Row) ([]Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	currentRows := make([]Row, 0, len(rows))
	matches := true
	for _, row := range rows {
		current := s.current(rowID{row.Table, row.Key})
		currentRows = append(currentRows, current)
		matches = matches && current.Version == row.Version
	}
	if !matches {
		return currentRows, false
	}
	return s.writeRows(rows), true
}

// writeRows writes rows and returns them with their new versions. It requires that
// mu is locked.
func (s *store) writeRows(rows []Row) []Row {
	written := make([]Row, 0, len(rows))
	for _, row := range rows {
		s.lastVersion++
		row.Version = strconv.FormatUint(s.lastVersion, 10)
		s.rows[rowID{row.Table, row.Key}] = row
		written = append(written, Row{Table: row.Table, Key: row.Key, Version: row.Version})
	}
	return written
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
