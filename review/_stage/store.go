package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

type change struct {
	Expected   []row `json:"expected"`
	SetKeys    []row `json:"set_keys"`
	DeleteKeys []row `json:"delete_keys"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// tableStore is the table store. Its calls are linearizable and take hold.
type tableStore struct {
	mu      sync.Mutex
	changed chan struct{}
	ver     uint64
	rows    map[string]map[string]row
	history []row
	started time.Time
	hold    time.Duration
}

func newTableStore() *tableStore {
	return &tableStore{changed: make(chan struct{}), rows: map[string]map[string]row{}, started: time.Now(), hold: 4 * time.Millisecond}
}

func (s *tableStore) set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: value})
	s.notify()
}

func (s *tableStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[table][key]; !found {
		return
	}
	s.ver++
	s.drop(table, key)
	s.notify()
}

func (s *tableStore) put(r row) {
	ver := s.ver
	r.Ver = &ver
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]row{}
	}
	s.rows[r.Table][r.Key] = r
	s.history = append(s.history, r)
}

func (s *tableStore) drop(table, key string) {
	ver := s.ver
	delete(s.rows[table], key)
	s.history = append(s.history, row{Table: table, Key: key, Ver: &ver, Removed: true})
}

func (s *tableStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tableStore) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *tableStore) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["get"], s.get)
	mux.HandleFunc("GET "+names["feed"], s.feed)
	mux.HandleFunc("POST "+names["tx"], s.tx)
	_ = http.Serve(listener, mux)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *tableStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(s.hold / 2)
	s.mu.Lock()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 || limit <= 0 {
		limit = 500
	}
	result := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMS: s.now()}
	for _, found := range s.rows[q.Get("table")] {
		if found.Part == q.Get("part") && found.Key >= q.Get("from") && (q.Get("to") == "" || found.Key < q.Get("to")) {
			result.Rows = append(result.Rows, found)
		}
	}
	s.mu.Unlock()
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Key < result.Rows[j].Key })
	if len(result.Rows) > limit {
		result.Rows, result.HasMore = result.Rows[:limit], true
	}
	time.Sleep(s.hold / 2)
	answer(w, http.StatusOK, result)
}

func (s *tableStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		result := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMS: s.now()}
		for _, h := range s.history {
			if h.Table == q.Get("table") && *h.Ver > after {
				result.Rows = append(result.Rows, h)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(result.Rows) > 0 || left <= 0 {
			time.Sleep(s.hold / 2)
			answer(w, http.StatusOK, result)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// apply carries a transaction out and returns the status and the answer.
func (s *tableStore) apply(c change) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	present := []row{}
	for _, e := range c.Expected {
		current, found := s.rows[e.Table][e.Key]
		if found {
			present = append(present, current)
		}
		switch {
		case e.Ver == nil:
		case *e.Ver == 0:
			failed = failed || found
		default:
			failed = failed || !found || *current.Ver != *e.Ver
		}
	}
	if failed {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: present, Ver: s.ver, NowMS: s.now()}
	}
	s.ver++
	for _, r := range c.SetKeys {
		s.put(r)
	}
	for _, r := range c.DeleteKeys {
		s.drop(r.Table, r.Key)
	}
	s.notify()
	return http.StatusOK, rowsAnswer{Ver: s.ver, NowMS: s.now()}
}

func (s *tableStore) tx(w http.ResponseWriter, r *http.Request) {
	var c change
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.hold / 2)
	status, result := s.apply(c)
	time.Sleep(s.hold / 2)
	answer(w, status, result)
}
