package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the table store.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

type page struct {
	Rows    []row  `json:"rows"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
	HasMore bool   `json:"has_more"`
}

// tables is the platform's metadata store: linearizable rows, atomic transactions with
// conditions, and a feed of changes.
type tables struct {
	mu      sync.Mutex
	changed *sync.Cond
	version uint64
	rows    map[string]map[string]row
	address string
}

// transactionTime is how long a transaction takes.
const transactionTime = 4 * time.Millisecond

func startTables() *tables {
	t := &tables{rows: map[string]map[string]row{}}
	t.changed = sync.NewCond(&t.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.PathTx, t.transact)
	mux.HandleFunc("GET "+names.PathGet, t.get)
	mux.HandleFunc("GET "+names.PathFeed, t.feed)
	t.address = serveHTTP(mux)
	return t
}

// serveHTTP serves a handler on a free loopback port and returns its address.
func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("listening: " + err.Error())
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// put writes a row, as the operator and the databases do.
func (t *tables) put(table, key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.set(row{Table: table, Key: key, Value: value}, t.version)
	t.changed.Broadcast()
}

func (t *tables) set(r row, version uint64) {
	r.Ver = &version
	if t.rows[r.Table] == nil {
		t.rows[r.Table] = map[string]row{}
	}
	t.rows[r.Table][r.Key] = r
}

func (t *tables) transact(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expected   []row `json:"expected"`
		SetKeys    []row `json:"set_keys"`
		DeleteKeys []row `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&change) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, expected := range change.Expected {
		version := uint64(0)
		if known, found := t.rows[expected.Table][expected.Key]; found && !known.Removed {
			version = *known.Ver
		}
		if expected.Ver == nil || version != *expected.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(page{Rows: []row{}, Ver: t.version})
			return
		}
	}
	t.version++
	for _, changed := range change.SetKeys {
		t.set(changed, t.version)
	}
	for _, deleted := range change.DeleteKeys {
		deleted.Removed, deleted.Value = true, nil
		t.set(deleted, t.version)
	}
	t.changed.Broadcast()
	t.reply(w, []row{}, false)
}

// reply sends rows. The caller holds the lock.
func (t *tables) reply(w http.ResponseWriter, rows []row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page{Rows: rows, Ver: t.version, NowMS: sinceStart().Milliseconds(), HasMore: hasMore})
}

func (t *tables) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []row{}
	for _, known := range t.rows[query.Get("table")] {
		if !known.Removed && known.Part == query.Get("part") && known.Key >= query.Get("from") {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	t.reply(w, rows, hasMore)
}

func (t *tables) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), t.changed.Broadcast)
	defer timer.Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		rows := []row{}
		for _, known := range t.rows[query.Get("table")] {
			if *known.Ver > after {
				rows = append(rows, known)
			}
		}
		if len(rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			slices.SortFunc(rows, func(a, b row) int { return int(int64(*a.Ver) - int64(*b.Ver)) })
			t.reply(w, rows, false)
			return
		}
		t.changed.Wait()
	}
}

// startCloud serves the promotion call: promoteDelay after the call the named database
// leads the next term. It doesn't check the fence.
func startCloud(g *group) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.PathPromote, func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		note("platform", "promote "+body.ID+" holder "+r.Header.Get(names.HeaderHolder)+" token "+r.Header.Get(names.HeaderToken))
		if !g.promote(body.ID) {
			w.WriteHeader(http.StatusConflict)
		}
	})
	return serveHTTP(mux)
}
