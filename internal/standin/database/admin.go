package database

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Content is the data that a database holds. Measurements compare it with the
// acknowledged writes to count lost and duplicated ones.
type Content struct {
	KV map[string]string `json:"kv"`
	// Ledger holds the entries in commit order.
	Ledger []string `json:"ledger"`
	// Committed maps the idempotency key of each commit in the log to the
	// commit's position. Settled maps the key of each in-doubt commit that was
	// resolved as not committed to the position of the log entry that forbids it.
	Committed map[string]string `json:"committed"`
	Settled   map[string]string `json:"settled"`
}

// Content returns a copy of the applied content, and of the idempotency keys in
// the log, which may be ahead of the applied content.
func (d *Database) Content() Content { return d.node.copyContentAndKeys() }

func (n *node) copyContentAndKeys() Content {
	n.mu.Lock()
	defer n.mu.Unlock()
	visible := transactionView{base: &n.content}
	kv, _ := visible.copyKV()
	copied := Content{
		KV:        kv,
		Ledger:    append([]string{}, visible.ledgerEntries()...),
		Committed: map[string]string{},
		Settled:   map[string]string{},
	}
	for key, outcome := range n.log.keys {
		positions := copied.Settled
		if outcome.committed {
			positions = copied.Committed
		}
		positions[key] = outcome.position.String()
	}
	return copied
}

// -----------------------------------------------------------------------------
// HTTP.

// adminHandler returns the handler of the admin address, which tests and
// measurements use.
func (d *Database) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", d.postFault)
	mux.HandleFunc("PUT /lag", d.putLag)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, newStateBody(d.State()))
	})
	mux.HandleFunc("GET /content", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, d.Content())
	})
	return mux
}

// stateBody is the JSON form of a State, with its role and positions as text.
type stateBody struct {
	State
	Role     string `json:"role"`
	Received string `json:"received"`
	Applied  string `json:"applied"`
}

func newStateBody(state State) stateBody {
	return stateBody{
		State:    state,
		Role:     state.Role.String(),
		Received: state.Received.String(),
		Applied:  state.Applied.String(),
	}
}

func (d *Database) postFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, err := ParseFault(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.SetFault(fault)
}

// lagBody is the JSON body of PUT /lag. Lag is a duration such as "5ms".
type lagBody struct {
	Lag string `json:"lag"`
}

func (d *Database) putLag(w http.ResponseWriter, r *http.Request) {
	var body lagBody
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag, err := time.ParseDuration(body.Lag)
	if err != nil || lag < 0 {
		http.Error(w, "the lag is no duration", http.StatusBadRequest)
		return
	}
	d.SetLag(lag)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// -----------------------------------------------------------------------------
// Result row of the control statements.

var statusColumns = textColumns(
	"database", "role", "term", "nonce", "received", "applied",
	"source", "streaming", "leaving", "slots", "busy",
)

func textColumns(names ...string) []column {
	columns := make([]column, 0, len(names))
	for _, name := range names {
		columns = append(columns, column{name, oidText})
	}
	return columns
}

func statusRow(state State) []any {
	return []any{
		string(state.Name), state.Role.String(), formatTerm(state.Term), string(state.Nonce),
		state.Received.String(), state.Applied.String(), string(state.Source),
		formatBool(state.Streaming), formatBool(state.Leaving),
		formatInt(state.Slots), formatInt(state.Busy),
	}
}

func formatTerm(term model.Term) string { return formatInt(int(term)) }
