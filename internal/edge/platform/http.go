package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 4 << 20
	// maxHeaderSize is the maximum size of the response headers, in bytes.
	maxHeaderSize = 64 << 10
	// maxErrorBody is the maximum size of the part of a response body that an
	// error contains, in bytes.
	maxErrorBody = 200
	// idleTimeout is the time after which an idle connection for reads is closed.
	idleTimeout = 10 * time.Second
)

// -----------------------------------------------------------------------------
// HTTP client.

// HTTPOptions are the settings of an HTTPService.
type HTTPOptions struct {
	// Address is the address of the platform.
	Address netip.AddrPort
	// TLS, if set, is used for all connections.
	TLS *tls.Config
	// Token, if set, is sent as a bearer token.
	Token string
}

// HTTPService implements Service over HTTP.
type HTTPService struct {
	baseURL    string
	token      string
	readClient *http.Client
	// writeClient opens a connection for each request. A reused connection may
	// have been closed or become unresponsive, and a request sent on it would
	// have an unknown outcome.
	writeClient *http.Client
	// readTransport is the transport of readClient.
	readTransport *http.Transport
}

// NewHTTPService returns a client of the platform at the options' address.
func NewHTTPService(options HTTPOptions) *HTTPService {
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	readTransport := newTransport(options)
	writeTransport := newTransport(options)
	writeTransport.DisableKeepAlives = true
	return &HTTPService{
		baseURL:       scheme + "://" + options.Address.String(),
		token:         options.Token,
		readClient:    newClient(readTransport),
		writeClient:   newClient(writeTransport),
		readTransport: readTransport,
	}
}

// newTransport returns a transport for HTTP/1.1: the empty TLSNextProto turns HTTP/2
// off.
func newTransport(options HTTPOptions) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        options.TLS,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

// newClient returns a client that does not follow redirects, since a redirect could
// send a write a second time.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &countingConn{Conn: conn}, nil
}

// -----------------------------------------------------------------------------
// Rows.

// wireRow is the JSON form of a row.
type wireRow struct {
	Table   string `json:"table,omitempty"`
	Key     string `json:"key"`
	Version string `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// wireRows is the JSON form of the request and the response of a transaction.
type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// ReadRow implements Service.
func (s *HTTPService) ReadRow(ctx context.Context, table, key string) (message.Row, error) {
	response, err := s.read(ctx, "/tables/"+url.PathEscape(table)+"/"+url.PathEscape(key))
	if err != nil {
		return message.Row{}, err
	}
	return message.Row{Table: table, Key: key, Version: response.version, Body: response.body}, nil
}

// ScanRows implements Service.
func (s *HTTPService) ScanRows(ctx context.Context, table, prefix string) ([]message.Row, error) {
	response, err := s.read(ctx, "/tables/"+url.PathEscape(table)+"?prefix="+url.QueryEscape(prefix))
	if err != nil {
		return nil, err
	}
	var listed []wireRow
	if err := json.Unmarshal(response.body, &listed); err != nil {
		return nil, undecodable(message.PlatformRefused, err)
	}
	rows := make([]message.Row, 0, len(listed))
	for _, row := range listed {
		rows = append(rows, message.Row{Table: table, Key: row.Key, Version: row.Version, Body: row.Body})
	}
	return rows, nil
}

// WriteRows implements Service.
func (s *HTTPService) WriteRows(ctx context.Context, rows []message.Row) ([]message.Row, error) {
	var request wireRows
	for _, row := range rows {
		request.Rows = append(request.Rows, wireRow(row))
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &OutcomeError{Outcome: message.PlatformUnreachable, Cause: errors.WithStack(err)}
	}
	response, err := s.exchange(ctx, s.writeClient, http.MethodPost, "/transact", body)
	if err != nil {
		return nil, err
	}
	switch response.status {
	case http.StatusOK:
		return decodeWrittenRows(rows, response.body)
	case http.StatusConflict:
		return decodeConflict(response)
	default:
		return nil, writeFailure(response)
	}
}

// decodeWrittenRows returns the written rows with their new versions. A response
// that cannot be decoded, or that names other rows, leaves the outcome unknown,
// although its status reports that the rows were changed.
func decodeWrittenRows(requested []message.Row, body []byte) ([]message.Row, error) {
	var response wireRows
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, undecodable(message.PlatformUnknown, err)
	}
	if len(response.Rows) != len(requested) {
		return nil, rowMismatch(requested, response)
	}
	rows := make([]message.Row, 0, len(requested))
	for i, row := range response.Rows {
		if row.Table != requested[i].Table || row.Key != requested[i].Key {
			return nil, rowMismatch(requested, response)
		}
		written := requested[i]
		written.Version = row.Version
		rows = append(rows, written)
	}
	return rows, nil
}

// decodeConflict returns the current rows, if the body can be decoded, with the
// error of the conflict. The status alone proves that nothing was changed.
func decodeConflict(response httpResponse) ([]message.Row, error) {
	conflict := &OutcomeError{Outcome: message.PlatformConflict, Cause: response.statusError()}
	var current wireRows
	if err := json.Unmarshal(response.body, &current); err != nil {
		return nil, conflict
	}
	var rows []message.Row
	for _, row := range current.Rows {
		rows = append(rows, message.Row(row))
	}
	return rows, conflict
}

func rowMismatch(requested []message.Row, response wireRows) error {
	return undecodable(message.PlatformUnknown, &RowMismatchError{Requested: len(requested), Returned: len(response.Rows)})
}

// -----------------------------------------------------------------------------
// Objects and instances.

// ReadObject implements Service.
func (s *HTTPService) ReadObject(ctx context.Context, name string) ([]byte, error) {
	response, err := s.read(ctx, "/objects/"+url.PathEscape(name))
	return response.body, err
}

// WriteObject implements Service.
func (s *HTTPService) WriteObject(ctx context.Context, name string, body []byte) error {
	response, err := s.exchange(ctx, s.writeClient, http.MethodPut, "/objects/"+url.PathEscape(name), body)
	if err != nil {
		return err
	}
	if response.status/100 != http.StatusOK/100 {
		return writeFailure(response)
	}
	return nil
}

// wireInstance is the JSON form of a listed instance.
type wireInstance struct {
	Instance    model.InstanceID `json:"instance"`
	Zone        model.ZoneID     `json:"zone"`
	PeerAddress netip.AddrPort   `json:"peer"`
	Leaving     bool             `json:"leaving"`
}

// ListInstances implements Service.
func (s *HTTPService) ListInstances(ctx context.Context) ([]message.ListedInstance, error) {
	response, err := s.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	var listed []wireInstance
	if err := json.Unmarshal(response.body, &listed); err != nil {
		return nil, undecodable(message.PlatformRefused, err)
	}
	instances := make([]message.ListedInstance, 0, len(listed))
	for _, instance := range listed {
		instances = append(instances, message.ListedInstance(instance))
	}
	return instances, nil
}

// -----------------------------------------------------------------------------
// Requests.

// httpResponse is a completely received response of the platform.
type httpResponse struct {
	status  int
	version string
	body    []byte
}

func (r httpResponse) statusError() error {
	return &HTTPStatusError{Status: r.status, Body: string(r.body[:min(len(r.body), maxErrorBody)])}
}

// read sends a GET request and returns the response if its status is 200. Its errors
// are *OutcomeError.
func (s *HTTPService) read(ctx context.Context, path string) (httpResponse, error) {
	response, err := s.exchange(ctx, s.readClient, http.MethodGet, path, nil)
	if err != nil {
		// Other idle connections may be unresponsive too.
		s.readTransport.CloseIdleConnections()
		return httpResponse{}, err
	}
	switch response.status {
	case http.StatusOK:
		return response, nil
	case http.StatusNotFound:
		return httpResponse{}, &OutcomeError{Outcome: message.PlatformNotFound, Cause: response.statusError()}
	default:
		return httpResponse{}, &OutcomeError{Outcome: message.PlatformRefused, Cause: response.statusError()}
	}
}

// writeFailure returns the error of a write that was answered with an unexpected
// status. The outcome of a server error is unknown, since a gateway may return one
// although the platform behind it made the change. The outcome of an unexpected
// success status is unknown too.
func writeFailure(response httpResponse) error {
	outcome := message.PlatformRefused
	if response.status >= http.StatusInternalServerError || response.status/100 == http.StatusOK/100 {
		outcome = message.PlatformUnknown
	}
	return &OutcomeError{Outcome: outcome, Cause: response.statusError()}
}

// exchange sends one request and returns the complete response with any status. Its
// errors are *OutcomeError.
func (s *HTTPService) exchange(
	ctx context.Context, client *http.Client, method, path string, body []byte,
) (httpResponse, error) {
	var tracker sendTracker
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, tracker.clientTrace()), method, path, body)
	if err != nil {
		return httpResponse{}, &OutcomeError{Outcome: message.PlatformUnreachable, Cause: errors.WithStack(err)}
	}
	response, err := client.Do(request)
	if err != nil {
		return httpResponse{}, &OutcomeError{Outcome: outcomeWithoutResponse(&tracker), Cause: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return httpResponse{}, &OutcomeError{Outcome: message.PlatformUnknown, Cause: errors.WithStack(err)}
	}
	if len(content) > maxResponseSize {
		return httpResponse{}, &OutcomeError{Outcome: message.PlatformUnknown, Cause: &ResponseTooLargeError{Limit: maxResponseSize}}
	}
	return httpResponse{status: response.StatusCode, version: versionOf(response), body: content}, nil
}

func (s *HTTPService) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	var content io.Reader
	if method != http.MethodGet {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, content)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody, the transport cannot send the body a second time.
	request.GetBody = nil
	if s.token != "" {
		request.Header.Set("Authorization", "Bearer "+s.token)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// outcomeWithoutResponse returns the outcome of a request that got no response:
// message.PlatformUnreachable if it is certain that nothing was sent, otherwise
// message.PlatformUnknown.
func outcomeWithoutResponse(tracker *sendTracker) message.PlatformResult {
	if tracker.isUnsent() {
		return message.PlatformUnreachable
	}
	return message.PlatformUnknown
}

// versionOf returns the row's version: the entity tag without its quotes.
func versionOf(response *http.Response) string {
	return strings.Trim(strings.TrimPrefix(response.Header.Get("ETag"), "W/"), `"`)
}

// undecodable returns the error of a response whose body cannot be used.
func undecodable(outcome message.PlatformResult, cause error) error {
	return &OutcomeError{Outcome: outcome, Cause: errors.WithStack(cause)}
}
