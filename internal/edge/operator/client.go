package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAnswer bounds an instance's answer, in bytes.
	maxAnswer = 16 << 20
	// clientTime is the longest time of a whole request.
	clientTime = 45 * time.Second
)

// -----------------------------------------------------------------------------
// The client.

// Client asks one instance. Its errors are *AnswerError, *SizeError, and those
// of the connection.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the instance at address. The token may be
// empty where nothing is changed.
func NewClient(address netip.AddrPort, token string) *Client {
	return &Client{
		base:  "http://" + address.String(),
		token: token,
		http:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTime},
	}
}

// Health asks whether the instance is alive.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.get(ctx, "/health")
	return err
}

// Ready asks whether the instance takes callers' work. Where it does not, the
// error is an *AnswerError with status 503.
func (c *Client) Ready(ctx context.Context) error {
	_, err := c.get(ctx, "/ready")
	return err
}

// Status returns the report on groups, databases, ranks and peers.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) { return c.get(ctx, "/status") }

// Logbook returns the promotions of a group, or of all where group is empty.
func (c *Client) Logbook(ctx context.Context, group string) (json.RawMessage, error) {
	return c.get(ctx, "/logbook?group="+url.QueryEscape(group))
}

// Manifest returns the manifest in force.
func (c *Client) Manifest(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/manifest")
}

// Vars returns the instance's counters.
func (c *Client) Vars(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/debug/vars")
}

// Drain asks the instance to finish its work and leave.
func (c *Client) Drain(ctx context.Context) error {
	status, body, err := c.do(ctx, http.MethodPost, "/drain", "", nil)
	if err == nil && status != http.StatusAccepted {
		err = answerError(status, body)
	}
	return err
}

// Submit asks for a manifest to be accepted, against the number that was
// reviewed. The decision says how it went, also where it was not accepted; the
// error tells that there is none.
func (c *Client) Submit(ctx context.Context, body []byte, expected uint64, who string) (SubmissionResult, error) {
	path := "/manifest?expected=" + strconv.FormatUint(expected, 10)
	status, answer, err := c.do(ctx, http.MethodPost, path, who, body)
	if err != nil {
		return SubmissionResult{}, err
	}
	var decision SubmissionResult
	if json.Unmarshal(answer, &decision) != nil || decision.Outcome == "" {
		return SubmissionResult{}, answerError(status, answer)
	}
	return decision, nil
}

// -----------------------------------------------------------------------------
// Requests.

func (c *Client) get(ctx context.Context, path string) (json.RawMessage, error) {
	status, body, err := c.do(ctx, http.MethodGet, path, "", nil)
	if err == nil && status != http.StatusOK {
		err = answerError(status, body)
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}

func (c *Client) do(ctx context.Context, method, path, who string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if who != "" {
		request.Header.Set(headerWho, who)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if len(answer) > maxAnswer {
		return 0, nil, &AnswerTooLargeError{Limit: maxAnswer}
	}
	return response.StatusCode, answer, nil
}

// answerError reads the explanation out of an answer.
func answerError(status int, body []byte) error {
	var answered failure
	if json.Unmarshal(body, &answered) != nil {
		answered.Detail = string(bytes.TrimSpace(body))
	}
	return &StatusError{Status: status, Detail: answered.Detail}
}
