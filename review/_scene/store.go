package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, in the form of the published protocol.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

type stored struct {
	value   []byte
	ver     uint64
	removed bool
}

// store is the platform's table store.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	ver     uint64
	tables  map[string]map[string]*stored
	began   time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), tables: map[string]map[string]*stored{}, ver: 100, began: time.Now()}
}

// set writes or removes one row.
func (s *store) set(table, key string, value []byte, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(table, key, value, remove)
	s.notify()
}

func (s *store) put(table, key string, value []byte, remove bool) {
	if s.tables[table] == nil {
		s.tables[table] = map[string]*stored{}
	}
	s.tables[table][key] = &stored{value: value, ver: s.ver, removed: remove}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) version(table, key string) uint64 {
	if r := s.tables[table][key]; r != nil && !r.removed {
		return r.ver
	}
	return 0
}

// rows returns the rows of a table that changed after a version; the dropped ones only if
// withRemoved is set.
func (s *store) rows(table string, after uint64, withRemoved bool) []row {
	var result []row
	for key, r := range s.tables[table] {
		if r.ver <= after || r.removed && !withRemoved {
			continue
		}
		ver := r.ver
		result = append(result, row{Table: table, Key: key, Value: r.value, Ver: &ver, Removed: r.removed})
	}
	sort.Slice(result, func(i, j int) bool {
		if withRemoved {
			return *result[i].Ver < *result[j].Ver
		}
		return result[i].Key < result[j].Key
	})
	return result
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds(), "has_more": false})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	switch r.URL.Path {
	case words["path.get"]:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reply(w, http.StatusOK, s.rows(query.Get("table"), 0, false))
	case words["path.feed"]:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			rows, changed := s.rows(query.Get("table"), after, true), s.changed
			if len(rows) > 0 {
				s.reply(w, http.StatusOK, rows)
				s.mu.Unlock()
				return
			}
			s.mu.Unlock()
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timeout:
				s.mu.Lock()
				defer s.mu.Unlock()
				s.reply(w, http.StatusOK, nil)
				return
			}
		}
	case words["path.tx"]:
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected   []row `json:"expected"`
		SetKeys    []row `json:"set_keys"`
		DeleteKeys []row `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []row
	for _, e := range tx.Expected {
		ver := s.version(e.Table, e.Key)
		if e.Ver == nil || *e.Ver != ver {
			conflict = true
		}
		if ver > 0 {
			current = append(current, row{Table: e.Table, Key: e.Key, Value: s.tables[e.Table][e.Key].value, Ver: &ver})
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, e := range tx.SetKeys {
		s.put(e.Table, e.Key, e.Value, false)
	}
	for _, e := range tx.DeleteKeys {
		s.put(e.Table, e.Key, nil, true)
	}
	s.notify()
	s.reply(w, http.StatusOK, nil)
}
