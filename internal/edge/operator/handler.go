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
	// maxManifestSize is the maximum size of a submitted manifest, in bytes, so
	// that it fits into one message between peers, whose frames have a maximum size
	// (maxFrame in package peer).
	maxManifestSize = 1_000_000
	// maxSubmitterSize is the maximum length of a submitter's name, in bytes.
	maxSubmitterSize = 200
	// submitterHeader is the header with the submitter's name.
	submitterHeader = "Who"
)

// SubmissionResult is the response to a submission.
type SubmissionResult struct {
	// ManifestNumber is the number of the latest accepted manifest. It is 0 if the
	// submission could not be read, could not be passed on, or got no decision in
	// time.
	ManifestNumber uint64 `json:"number"`
	// Outcome is "ok", "invalid", "conflict", "unavailable" or "unknown".
	Outcome string `json:"error"`
	// Detail explains the outcome.
	Detail string `json:"detail"`
}

// detailBody is the body of responses that contain neither a report nor a
// SubmissionResult.
type detailBody struct {
	Detail string `json:"detail"`
}

// submissionStatus maps each outcome of a submission to its HTTP status.
var submissionStatus = map[message.SubmitResult]int{
	message.SubmitOK:          http.StatusOK,
	message.SubmitInvalid:     http.StatusBadRequest,
	message.SubmitConflict:    http.StatusConflict,
	message.SubmitUnavailable: http.StatusServiceUnavailable,
	message.SubmitUnknown:     http.StatusGatewayTimeout,
}

// -----------------------------------------------------------------------------
// Routes.

func (s *Server) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", s.report(message.TopicStatus))
	mux.HandleFunc("GET /logbook", s.report(message.TopicLogbook))
	mux.HandleFunc("GET /manifest", s.report(message.TopicManifest))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("POST /drain", s.requireToken(s.drain))
	mux.HandleFunc("POST /manifest", s.requireToken(s.submit))
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, detailBody{Detail: "alive"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.options.IsReady() {
		writeJSON(w, http.StatusServiceUnavailable, detailBody{Detail: "not ready"})
		return
	}
	writeJSON(w, http.StatusOK, detailBody{Detail: "ready"})
}

// report returns the handler of requests for the report on topic.
func (s *Server) report(topic message.ReportTopic) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		group := r.URL.Query().Get("group")
		answer, _ := s.query(r.Context(), func(id uint64) message.Event {
			return message.ReportRequested{CorrelationID: id, Topic: topic, Group: group}
		})
		report, found := answer.(message.ReportAnswered)
		if !found {
			writeJSON(w, http.StatusServiceUnavailable, detailBody{Detail: "the instance gave no report in time"})
			return
		}
		writeJSON(w, http.StatusOK, report.Body)
	}
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.sink.Post(message.DrainRequested{})
	s.logRequest(r, http.StatusAccepted)
	writeJSON(w, http.StatusAccepted, detailBody{Detail: "draining"})
}

// -----------------------------------------------------------------------------
// Submissions.

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	submission, status, detail := readSubmission(w, r)
	if status != http.StatusOK {
		s.logRequest(r, status)
		writeJSON(w, status, SubmissionResult{Outcome: message.SubmitInvalid.String(), Detail: detail})
		return
	}
	answer, posted := s.query(r.Context(), func(id uint64) message.Event {
		submission.CorrelationID = id
		return submission
	})
	decision, found := answer.(message.ManifestDecided)
	switch {
	case !posted:
		decision = message.ManifestDecided{Result: message.SubmitUnavailable, Detail: "too many requests wait"}
	case !found:
		decision = message.ManifestDecided{Result: message.SubmitUnknown, Detail: "no decision in time"}
	}
	status = submissionStatus[decision.Result]
	s.logRequest(r, status)
	writeJSON(w, status, SubmissionResult{ManifestNumber: decision.Number, Outcome: decision.Result.String(), Detail: decision.Detail})
}

// readSubmission reads a submission from a request. The returned status is 200, or
// that of the rejection, which detail explains.
func readSubmission(w http.ResponseWriter, r *http.Request) (submission message.ManifestSubmitted, status int, detail string) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		return submission, http.StatusBadRequest, "expected must be the number of the manifest that was reviewed, 0 for none"
	}
	submitter := r.Header.Get(submitterHeader)
	if submitter == "" || len(submitter) > maxSubmitterSize {
		return submission, http.StatusBadRequest, "the header Who must name the submitter in at most 200 bytes"
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestSize))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return submission, http.StatusRequestEntityTooLarge, "a manifest has at most 1000000 bytes"
	case err != nil:
		return submission, http.StatusBadRequest, "the body could not be read"
	}
	return message.ManifestSubmitted{Body: body, ExpectedNumber: expected, Submitter: submitter}, http.StatusOK, ""
}

// -----------------------------------------------------------------------------
// Helpers for all handlers.

// requireToken returns a handler that rejects requests without the bearer token. This
// also prevents cross-site request forgery, since a browser does not add the token
// to requests on its own.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.options.Token == "" || !found || !constantTimeEqual(token, s.options.Token) {
			s.log.Write(time.Now(), event.OperatorDenied,
				event.F("method", r.Method), event.F("path", r.URL.Path), event.F("from", r.RemoteAddr))
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, detailBody{Detail: "a valid bearer token is needed"})
			return
		}
		next(w, r)
	}
}

// constantTimeEqual reports whether a equals b. Its duration does not depend on how
// much of them is equal.
func constantTimeEqual(a, b string) bool {
	first, second := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(first[:], second[:]) == 1
}

func (s *Server) logRequest(r *http.Request, status int) {
	s.log.Write(time.Now(), event.OperatorRequest,
		event.F("method", r.Method), event.F("path", r.URL.Path),
		event.F("who", r.Header.Get(submitterHeader)), event.F("status", status))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		status, content = http.StatusInternalServerError, []byte(`{"detail": "the report can't be written as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(append(content, '\n'))
}
