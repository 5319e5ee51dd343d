package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// maxBodyBytes is the maximum length of a request body, in bytes.
const maxBodyBytes = 16 << 20

// handler returns the handler of all paths. Faults do not affect the paths
// under /admin.
func (p *Platform) handler() http.Handler {
	service := http.NewServeMux()
	service.HandleFunc("GET /tables/{table}/{key...}", p.countRequests(&p.reads, p.getRow))
	service.HandleFunc("PUT /tables/{table}/{key...}", p.countRequests(&p.writes, p.putRow))
	service.HandleFunc("GET /tables/{table}", p.countRequests(&p.reads, p.scanRows))
	service.HandleFunc("POST /transact", p.countRequests(&p.writes, p.transact))
	service.HandleFunc("GET /objects/{name...}", p.countRequests(&p.reads, p.getObject))
	service.HandleFunc("PUT /objects/{name...}", p.countRequests(&p.writes, p.putObject))
	service.HandleFunc("GET /instances", p.countRequests(&p.reads, p.getInstances))
	root := http.NewServeMux()
	root.Handle("/", p.injectFaults(service))
	root.HandleFunc("POST /admin/fault", p.postFault)
	root.HandleFunc("PUT /admin/instances", p.putInstances)
	root.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return http.MaxBytesHandler(root, maxBodyBytes)
}

// counter is the method of atomic.Int64 that countRequests needs.
type counter interface{ Add(delta int64) int64 }

// countRequests counts each request before it is processed.
func (p *Platform) countRequests(requests counter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		next(w, r)
	}
}

// injectFaults applies the fault in force to each request.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
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
			// The change takes effect even if the client has closed the connection.
			next.ServeHTTP(discardWriter{}, r.WithContext(context.WithoutCancel(r.Context())))
			closeUnanswered()
		}
	})
}

// closeUnanswered aborts a handler so that its connection is closed without any
// byte of a response.
func closeUnanswered() { panic(http.ErrAbortHandler) }

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(body []byte) (int, error) { return len(body), nil }
func (discardWriter) WriteHeader(int)                {}

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

// expectedVersion returns the version that a conditional request expects, empty
// if the row must not exist. It returns false if the request is unconditional.
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
	writeJSON(w, http.StatusOK, rows)
}

// rowsBody is the JSON body of POST /transact and of its response.
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
	writeJSON(w, status, rowsBody{Rows: rows})
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
	writeJSON(w, http.StatusOK, p.visibleInstances())
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

// readJSON decodes the body of a request into value. It returns false if it has
// answered with status 400 because the body is invalid.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(r.Body).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
