package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/operator"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// httpClient implements instanceClient over HTTP. It maps failures to the errors
// of this package.
type httpClient struct {
	address netip.AddrPort
	client  *operator.Client
}

func newHTTPClient(address netip.AddrPort, token string) *httpClient {
	return &httpClient{address: address, client: operator.NewClient(address, token)}
}

// Status implements instanceClient.
func (h *httpClient) Status(ctx context.Context) (report status.Status, err error) {
	body, err := h.client.Status(ctx)
	return report, h.decode(body, err, &report)
}

// Logbook implements instanceClient.
func (h *httpClient) Logbook(ctx context.Context, group string) (report status.Logbook, err error) {
	body, err := h.client.Logbook(ctx, group)
	return report, h.decode(body, err, &report)
}

// Manifest implements instanceClient.
func (h *httpClient) Manifest(ctx context.Context) (report status.Manifest, err error) {
	body, err := h.client.Manifest(ctx)
	return report, h.decode(body, err, &report)
}

// Drain implements instanceClient.
func (h *httpClient) Drain(ctx context.Context) error {
	if err := h.client.Drain(ctx); err != nil {
		return h.changeError(err)
	}
	return nil
}

// Submit implements instanceClient.
func (h *httpClient) Submit(ctx context.Context, body []byte, expected uint64, who string) (uint64, error) {
	decision, err := h.client.Submit(ctx, body, expected, who)
	if err != nil {
		return 0, h.changeError(err)
	}
	switch decision.Outcome {
	case message.SubmitOK.String():
		return decision.ManifestNumber, nil
	case message.SubmitInvalid.String():
		return 0, &InputError{Reason: decision.Detail}
	case message.SubmitConflict.String():
		return 0, &ConflictError{Reason: decision.Detail}
	case message.SubmitUnavailable.String():
		return 0, &UnavailableError{Reason: decision.Detail}
	default:
		return 0, &OutcomeUnknownError{Reason: decision.Detail}
	}
}

// decode decodes the response to a read-only request. err is the error of that
// request.
func (h *httpClient) decode(body json.RawMessage, err error, result any) error {
	if err != nil {
		return h.readError(err)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &InvalidResponseError{Reason: "the answer can't be read: " + err.Error()}
	}
	return nil
}

func (h *httpClient) readError(err error) error {
	if failure, found := responseError(err); found {
		return failure
	}
	return h.unreachableError()
}

// changeError returns the error of a request for a change. A request whose
// connection was never established changed nothing; one without a response may
// have changed something.
func (h *httpClient) changeError(err error) error {
	if failure, found := responseError(err); found {
		return failure
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return h.unreachableError()
	}
	return &OutcomeUnknownError{Reason: fmt.Sprintf("no answer from %s", h.address)}
}

func (h *httpClient) unreachableError() error {
	return &UnavailableError{Reason: fmt.Sprintf("no answer from %s", h.address)}
}

// responseError returns the error that corresponds to the status of an instance's
// response. It returns false if err is not from a response.
func responseError(err error) (error, bool) {
	var answer *operator.StatusError
	if !errors.As(err, &answer) {
		return nil, false
	}
	switch answer.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return &InputError{Reason: "the instance rejected the token"}, true
	case http.StatusServiceUnavailable:
		return &UnavailableError{Reason: answer.Detail}, true
	case http.StatusOK:
		return &OutcomeUnknownError{Reason: "the instance's answer can't be read"}, true
	default:
		return &InvalidResponseError{Reason: answer.Error()}, true
	}
}
