package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// answerLimit is the greatest answer that is read, in bytes.
const answerLimit = 16 << 20

// httpInstance asks an instance over HTTP.
type httpInstance struct {
	address netip.AddrPort
	token   string
}

// Status implements instance.
func (h *httpInstance) Status(ctx context.Context) (report status.Status, err error) {
	err = h.call(ctx, http.MethodGet, "/status", nil, nil, &report)
	return report, err
}

// Logbook implements instance.
func (h *httpInstance) Logbook(ctx context.Context, group string) (report status.Logbook, err error) {
	err = h.call(ctx, http.MethodGet, "/logbook", url.Values{"group": {group}}, nil, &report)
	return report, err
}

// Manifest implements instance.
func (h *httpInstance) Manifest(ctx context.Context) (report status.Manifest, err error) {
	err = h.call(ctx, http.MethodGet, "/manifest", nil, nil, &report)
	return report, err
}

// Submit implements instance.
func (h *httpInstance) Submit(ctx context.Context, body []byte, expected uint64, who string) (uint64, error) {
	query := url.Values{"expected": {strconv.FormatUint(expected, 10)}, "who": {who}}
	var accepted status.Manifest
	err := h.call(ctx, http.MethodPost, "/manifest", query, body, &accepted)
	return accepted.Number, err
}

// Drain implements instance.
func (h *httpInstance) Drain(ctx context.Context) error {
	return h.call(ctx, http.MethodPost, "/drain", nil, nil, nil)
}

// call sends one request and decodes the answer into result, where it is not
// nil. Its errors are failures.
func (h *httpInstance) call(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	target := url.URL{Scheme: "http", Host: h.address.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return &UsageError{Why: err.Error()}
	}
	if h.token != "" {
		request.Header.Set("Authorization", "Bearer "+h.token)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return h.lost(method, err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, answerLimit))
	if err != nil {
		return h.lost(method, err)
	}
	if answer.StatusCode/100 != 2 {
		return answerFailure(answer.StatusCode, strings.TrimSpace(string(text)))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(text, result); err != nil {
		return &AnswerError{Why: "the answer can't be read: " + err.Error()}
	}
	return nil
}

// lost tells whether a call without an answer may have changed something.
func (h *httpInstance) lost(method string, err error) error {
	why := fmt.Sprintf("no answer from %s", h.address)
	var network *net.OpError
	dialing := errors.As(err, &network) && network.Op == "dial"
	if method == http.MethodGet || dialing {
		return &UnavailableError{Why: why}
	}
	return &UnknownError{Why: why}
}

func answerFailure(code int, why string) error {
	switch code {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return &InputError{Why: why}
	case http.StatusUnauthorized, http.StatusForbidden:
		return &InputError{Why: "the instance refuses the token"}
	case http.StatusConflict:
		return &ConflictError{Why: why}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Why: why}
	case http.StatusGatewayTimeout:
		return &UnknownError{Why: why}
	default:
		return &AnswerError{Why: fmt.Sprintf("%d %s: %s", code, http.StatusText(code), why)}
	}
}
