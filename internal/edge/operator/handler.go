package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// maxManifest bounds a submitted manifest, in bytes, so that it fits
	// into one message between peers.
	maxManifest = 1_000_000
	// maxWho bounds the name of a submitter, in bytes.
	maxWho = 200
	// headerWho is the header with the submitter's name.
	headerWho = "Who"
)

// SubmissionResult is the answer to a submission.
type SubmissionResult struct {
	// ManifestNumber is that of the manifest now accepted.
	ManifestNumber uint64 `json:"number"`
	// Outcome names the outcome: "ok", "invalid", "conflict", "unavailable" or
	// "unknown".
	Outcome string `json:"error"`
	// Detail explains it.
	Detail string `json:"detail"`
}

// failure is the answer to other requests that failed.
type failure struct {
	Detail string `json:"detail"`
}

// decisionStatus is the HTTP status of each outcome of a submission.
var decisionStatus = map[message.SubmitErr]int{
	message.SubmitOK:          http.StatusOK,
	message.SubmitInvalid:     http.StatusBadRequest,
	message.SubmitConflict:    http.StatusConflict,
	message.SubmitUnavailable: http.StatusServiceUnavailable,
	message.SubmitUnknown:     http.StatusGatewayTimeout,
}

// -----------------------------------------------------------------------------
// Routes.

func (e *Server) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("GET /ready", e.ready)
	mux.HandleFunc("GET /status", e.report(message.TopicStatus))
	mux.HandleFunc("GET /logbook", e.report(message.TopicLogbook))
	mux.HandleFunc("GET /manifest", e.report(message.TopicManifest))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("POST /drain", e.authorized(e.drain))
	mux.HandleFunc("POST /manifest", e.authorized(e.submit))
	return mux
}

func (e *Server) health(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, failure{Detail: "alive"})
}

func (e *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.options.IsReady() {
		reply(w, http.StatusServiceUnavailable, failure{Detail: "not ready"})
		return
	}
	reply(w, http.StatusOK, failure{Detail: "ready"})
}

// report returns the handler of one report.
func (e *Server) report(topic message.ReportTopic) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		group := r.URL.Query().Get("group")
		answer, _ := e.put(r.Context(), func(ask uint64) message.Event {
			return message.ReportRequested{CorrelationID: ask, Topic: topic, Group: group}
		})
		reported, found := answer.(message.ReportAnswered)
		if !found {
			reply(w, http.StatusServiceUnavailable, failure{Detail: "the instance gave no report in time"})
			return
		}
		reply(w, http.StatusOK, reported.Body)
	}
}

func (e *Server) drain(w http.ResponseWriter, r *http.Request) {
	e.sink.Post(message.DrainRequested{})
	e.note(r, http.StatusAccepted)
	reply(w, http.StatusAccepted, failure{Detail: "draining"})
}

// -----------------------------------------------------------------------------
// Submissions.

func (e *Server) submit(w http.ResponseWriter, r *http.Request) {
	submitted, status, detail := readSubmission(w, r)
	if status != http.StatusOK {
		e.note(r, status)
		reply(w, status, SubmissionResult{Outcome: message.SubmitInvalid.String(), Detail: detail})
		return
	}
	answer, asked := e.put(r.Context(), func(ask uint64) message.Event {
		submitted.CorrelationID = ask
		return submitted
	})
	decided, found := answer.(message.ManifestDecided)
	switch {
	case !asked:
		decided = message.ManifestDecided{Err: message.SubmitUnavailable, Detail: "too many requests wait"}
	case !found:
		decided = message.ManifestDecided{Err: message.SubmitUnknown, Detail: "no decision in time"}
	}
	status = decisionStatus[decided.Err]
	e.note(r, status)
	reply(w, status, SubmissionResult{ManifestNumber: decided.Number, Outcome: decided.Err.String(), Detail: decided.Detail})
}

// readSubmission reads a request. Its status is 200, or that of a refusal with
// the detail.
func readSubmission(w http.ResponseWriter, r *http.Request) (submitted message.ManifestSubmitted, status int, detail string) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		return submitted, http.StatusBadRequest, "expected must be the number of the manifest that was reviewed, 0 for none"
	}
	who := r.Header.Get(headerWho)
	if who == "" || len(who) > maxWho {
		return submitted, http.StatusBadRequest, "the header Who must name the submitter in at most 200 bytes"
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifest))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return submitted, http.StatusRequestEntityTooLarge, "a manifest has at most 1000000 bytes"
	case err != nil:
		return submitted, http.StatusBadRequest, "the body could not be read"
	}
	return message.ManifestSubmitted{Body: body, ExpectedNumber: expected, Submitter: who}, http.StatusOK, ""
}

// -----------------------------------------------------------------------------
// All requests.

// authorized lets requests with the token pass. A browser sends no such header
// of its own, so that other pages can't act in an operator's name.
func (e *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if e.options.Token == "" || !found || !equal(token, e.options.Token) {
			e.log.Write(time.Now(), event.OperatorDenied,
				event.F("method", r.Method), event.F("path", r.URL.Path), event.F("from", r.RemoteAddr))
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, http.StatusUnauthorized, failure{Detail: "a valid bearer token is needed"})
			return
		}
		next(w, r)
	}
}

// equal compares in a time that tells nothing of the contents.
func equal(a, b string) bool {
	first, second := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(first[:], second[:]) == 1
}

func (e *Server) note(r *http.Request, status int) {
	e.log.Write(time.Now(), event.OperatorRequest,
		event.F("method", r.Method), event.F("path", r.URL.Path),
		event.F("who", r.Header.Get(headerWho)), event.F("status", status))
}

func reply(w http.ResponseWriter, status int, body any) {
	content, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		status, content = http.StatusInternalServerError, []byte(`{"detail": "the report can't be written as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that has gone away misses the answer.
	_, _ = w.Write(append(content, '\n'))
}
