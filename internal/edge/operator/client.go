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
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 16 << 20
	// clientTimeout is the maximum duration of a request with its response.
	clientTimeout = 45 * time.Second
)

// -----------------------------------------------------------------------------
// Client.

// Client sends requests of an operator to one instance. Its errors are *StatusError,
// *ResponseTooLargeError, and those of the connection.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// NewClient returns a client of the instance at address. The token may be empty if
// neither Drain nor Submit is called.
func NewClient(address netip.AddrPort, token string) *Client {
	return &Client{
		baseURL:    "http://" + address.String(),
		token:      token,
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout},
	}
}

// Health returns an error unless the instance responds with status 200.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.get(ctx, "/health")
	return err
}

// Ready returns an error if the instance does not accept callers' requests. If the
// instance responds, the error is a *StatusError with status 503.
func (c *Client) Ready(ctx context.Context) error {
	_, err := c.get(ctx, "/ready")
	return err
}

// Status returns the status report on groups, databases, ranks and peers as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) { return c.get(ctx, "/status") }

// Logbook returns the promotion records of a group, or of all groups if group is
// empty, as JSON.
func (c *Client) Logbook(ctx context.Context, group string) (json.RawMessage, error) {
	return c.get(ctx, "/logbook?group="+url.QueryEscape(group))
}

// Manifest returns the manifest in force as JSON.
func (c *Client) Manifest(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/manifest")
}

// Vars returns the instance's counters as JSON.
func (c *Client) Vars(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/debug/vars")
}

// Drain makes the instance start draining. It returns as soon as the instance has
// accepted the request.
func (c *Client) Drain(ctx context.Context) error {
	status, body, err := c.do(ctx, http.MethodPost, "/drain", "", nil)
	if err == nil && status != http.StatusAccepted {
		err = newStatusError(status, body)
	}
	return err
}

// Submit submits body as the next manifest. expected is the number of the manifest
// against which the change was reviewed. A rejected submission is reported by the
// result, without an error. An error is returned if there is no result.
func (c *Client) Submit(ctx context.Context, body []byte, expected uint64, submitter string) (SubmissionResult, error) {
	path := "/manifest?expected=" + strconv.FormatUint(expected, 10)
	status, response, err := c.do(ctx, http.MethodPost, path, submitter, body)
	if err != nil {
		return SubmissionResult{}, err
	}
	var result SubmissionResult
	if json.Unmarshal(response, &result) != nil || result.Outcome == "" {
		return SubmissionResult{}, newStatusError(status, response)
	}
	return result, nil
}

// -----------------------------------------------------------------------------
// Requests.

func (c *Client) get(ctx context.Context, path string) (json.RawMessage, error) {
	status, body, err := c.do(ctx, http.MethodGet, path, "", nil)
	if err == nil && status != http.StatusOK {
		err = newStatusError(status, body)
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}

func (c *Client) do(ctx context.Context, method, path, submitter string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if submitter != "" {
		request.Header.Set(submitterHeader, submitter)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if len(content) > maxResponseSize {
		return 0, nil, &ResponseTooLargeError{Limit: maxResponseSize}
	}
	return response.StatusCode, content, nil
}

// newStatusError returns a *StatusError with the detail that the body contains.
func newStatusError(status int, body []byte) error {
	var errorBody detailBody
	if json.Unmarshal(body, &errorBody) != nil {
		errorBody.Detail = string(bytes.TrimSpace(body))
	}
	return &StatusError{Status: status, Detail: errorBody.Detail}
}
