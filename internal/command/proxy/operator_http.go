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

// httpInstance asks an instance over HTTP and tells its failures apart.
type httpInstance struct {
	address netip.AddrPort
	client  *operator.Client
}

func newHTTPInstance(address netip.AddrPort, token string) *httpInstance {
	return &httpInstance{address: address, client: operator.NewClient(address, token)}
}

// Status implements instance.
func (h *httpInstance) Status(ctx context.Context) (report status.Status, err error) {
	body, err := h.client.Status(ctx)
	return report, h.decode(body, err, &report)
}

// Logbook implements instance.
func (h *httpInstance) Logbook(ctx context.Context, group string) (report status.Logbook, err error) {
	body, err := h.client.Logbook(ctx, group)
	return report, h.decode(body, err, &report)
}

// Manifest implements instance.
func (h *httpInstance) Manifest(ctx context.Context) (report status.Manifest, err error) {
	body, err := h.client.Manifest(ctx)
	return report, h.decode(body, err, &report)
}

// Drain implements instance.
func (h *httpInstance) Drain(ctx context.Context) error {
	if err := h.client.Drain(ctx); err != nil {
		return h.changeFailure(err)
	}
	return nil
}

// Submit implements instance.
func (h *httpInstance) Submit(ctx context.Context, body []byte, expected uint64, who string) (uint64, error) {
	decision, err := h.client.Submit(ctx, body, expected, who)
	if err != nil {
		return 0, h.changeFailure(err)
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

// decode reads the answer to a question that changes nothing.
func (h *httpInstance) decode(body json.RawMessage, err error, result any) error {
	if err != nil {
		return h.questionFailure(err)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &InvalidResponseError{Reason: "the answer can't be read: " + err.Error()}
	}
	return nil
}

func (h *httpInstance) questionFailure(err error) error {
	if failure, found := answerFailure(err); found {
		return failure
	}
	return h.unreachable()
}

// changeFailure tells whether a change without an answer may have happened.
func (h *httpInstance) changeFailure(err error) error {
	if failure, found := answerFailure(err); found {
		return failure
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return h.unreachable()
	}
	return &OutcomeUnknownError{Reason: fmt.Sprintf("no answer from %s", h.address)}
}

func (h *httpInstance) unreachable() error {
	return &UnavailableError{Reason: fmt.Sprintf("no answer from %s", h.address)}
}

// answerFailure returns the failure that an instance's answer stands for.
func answerFailure(err error) (error, bool) {
	var answer *operator.StatusError
	if !errors.As(err, &answer) {
		return nil, false
	}
	switch answer.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return &InputError{Reason: "the instance does not take the token"}, true
	case http.StatusServiceUnavailable:
		return &UnavailableError{Reason: answer.Detail}, true
	case http.StatusOK:
		return &OutcomeUnknownError{Reason: "the instance's answer can't be read"}, true
	default:
		return &InvalidResponseError{Reason: answer.Error()}, true
	}
}
