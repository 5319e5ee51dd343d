package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// bodyLimit is the greatest body that is accepted, in bytes.
const bodyLimit = 16 << 20

// handler routes the requests. The paths under /admin are out of reach of the
// faults.
func (p *Platform) handler() http.Handler {
	service := http.NewServeMux()
	service.HandleFunc("GET /tables/{table}/{key...}", p.counted(&p.reads, p.getRow))
	service.HandleFunc("PUT /tables/{table}/{key...}", p.counted(&p.writes, p.putRow))
	service.HandleFunc("GET /tables/{table}", p.counted(&p.reads, p.scanRows))
	service.HandleFunc("POST /transact", p.counted(&p.writes, p.transact))
	service.HandleFunc("GET /objects/{name...}", p.counted(&p.reads, p.getObject))
	service.HandleFunc("PUT /objects/{name...}", p.counted(&p.writes, p.putObject))
	service.HandleFunc("GET /instances", p.counted(&p.reads, p.getInstances))
	all := http.NewServeMux()
	all.Handle("/", p.faulty(service))
	all.HandleFunc("POST /admin/fault", p.postFault)
	all.HandleFunc("PUT /admin/instances", p.putInstances)
	all.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, p.Stats())
	})
	return http.MaxBytesHandler(all, bodyLimit)
}

// counter is the part of atomic.Int64 that counted needs.
type counter interface{ Add(delta int64) int64 }

func (p *Platform) counted(count counter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		next(w, r)
	}
}

// faulty lays the fault in force between a request and its answer.
func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch fault := p.currentFault().(type) {
		case FaultNone:
			next.ServeHTTP(w, r)
		case FaultOutage:
			closeUnanswered()
		case FaultSlow:
			if !task.Sleep(r.Context(), fault.Delay) {
				closeUnanswered()
			}
			next.ServeHTTP(w, r)
		case FaultDropResponse:
			if fault.WritesOnly && r.Method == http.MethodGet {
				next.ServeHTTP(w, r)
				return
			}
			// The change takes effect even if the client has gone.
			next.ServeHTTP(discard{}, r.WithContext(context.WithoutCancel(r.Context())))
			closeUnanswered()
		}
	})
}

// closeUnanswered ends a handler so that its connection is closed and no byte
// of an answer is sent.
func closeUnanswered() { panic(http.ErrAbortHandler) }

// discard is a ResponseWriter that keeps nothing.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(body []byte) (int, error) { return len(body), nil }
func (discard) WriteHeader(int)                {}

// -----------------------------------------------------------------------------
// Tables.

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row := p.store.row(r.PathValue("table"), r.PathValue("key"))
	if row.Version == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(row.Version))
	_, _ = w.Write(row.Body)
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(r)
	if !ok {
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	row := Row{Table: r.PathValue("table"), Key: r.PathValue("key"), Version: version, Body: body}
	rows, changed := p.store.transact([]Row{row})
	if !changed {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", strconv.Quote(rows[0].Version))
}

// expectedVersion reads the version from a conditional request, empty where
// the row must not exist.
func expectedVersion(r *http.Request) (string, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return "", true
	}
	version, err := strconv.Unquote(r.Header.Get("If-Match"))
	return version, err == nil && version != ""
}

func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	rows := p.store.scan(r.PathValue("table"), r.URL.Query().Get("prefix"))
	for i := range rows {
		rows[i].Table = ""
	}
	answerJSON(w, http.StatusOK, rows)
}

// rowsBody is the JSON body of a transaction and of its answer.
type rowsBody struct {
	Rows []Row `json:"rows"`
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var body rowsBody
	if !readJSON(w, r, &body) {
		return
	}
	rows, changed := p.store.transact(body.Rows)
	status := http.StatusOK
	if !changed {
		status = http.StatusConflict
	}
	answerJSON(w, status, rowsBody{Rows: rows})
}

// -----------------------------------------------------------------------------
// Objects and instances.

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, found := p.store.object(r.PathValue("name"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.store.putObject(r.PathValue("name"), body)
}

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, p.listInstances())
}

// -----------------------------------------------------------------------------
// Administration.

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !readJSON(w, r, &request) {
		return
	}
	fault, err := ParseFault(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(fault)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []Instance
	if readJSON(w, r, &instances) {
		p.SetInstances(instances)
	}
}

// -----------------------------------------------------------------------------
// JSON.

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(r.Body).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
