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
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 4 << 20
	// maxHeaders bounds the headers of an answer, in bytes.
	maxHeaders = 64 << 10
	// maxStatusText bounds what an error repeats of an answer, in bytes.
	maxStatusText = 200
	// idleTimeout is how long an unused connection for reads is kept.
	idleTimeout = 10 * time.Second
)

// -----------------------------------------------------------------------------
// The client.

// HTTPOptions are the settings of an HTTPPort.
type HTTPOptions struct {
	// Address is where the platform listens.
	Address netip.AddrPort
	// TLS, where set, secures the connections.
	TLS *tls.Config
	// Token, where set, goes along as a bearer token.
	Token string
}

// HTTPService is the platform's service over HTTP.
type HTTPService struct {
	base  string
	token string
	reads *http.Client
	// writes opens a connection for each request: one left over may have
	// been closed or gone silent, and then it can't be told whether the
	// change was made.
	writes *http.Client
	idle   *http.Transport
}

// NewHTTPService returns a port to the platform's service.
func NewHTTPService(options HTTPOptions) *HTTPService {
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	idle := newTransport(options)
	once := newTransport(options)
	once.DisableKeepAlives = true
	return &HTTPService{
		base:   scheme + "://" + options.Address.String(),
		token:  options.Token,
		reads:  newClient(idle),
		writes: newClient(once),
		idle:   idle,
	}
}

func newTransport(options HTTPOptions) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        options.TLS,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaders,
	}
}

// newClient returns a client that follows no redirect: that would send a
// change a second time.
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
	return &countedConn{Conn: conn}, nil
}

// -----------------------------------------------------------------------------
// Rows.

// wireRow is a row in JSON.
type wireRow struct {
	Table   string `json:"table,omitempty"`
	Key     string `json:"key"`
	Version string `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// wireRows is the question and the answer of a transaction.
type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// ReadRow implements Port.
func (p *HTTPService) ReadRow(ctx context.Context, table, key string) (message.Row, error) {
	answer, err := p.read(ctx, "/tables/"+url.PathEscape(table)+"/"+url.PathEscape(key))
	if err != nil {
		return message.Row{}, err
	}
	return message.Row{Table: table, Key: key, Version: answer.version, Body: answer.body}, nil
}

// ScanRows implements Port.
func (p *HTTPService) ScanRows(ctx context.Context, table, prefix string) ([]message.Row, error) {
	answer, err := p.read(ctx, "/tables/"+url.PathEscape(table)+"?prefix="+url.QueryEscape(prefix))
	if err != nil {
		return nil, err
	}
	var listed []wireRow
	if err := json.Unmarshal(answer.body, &listed); err != nil {
		return nil, unreadable(message.PlatformRefused, err)
	}
	rows := make([]message.Row, 0, len(listed))
	for _, row := range listed {
		rows = append(rows, message.Row{Table: table, Key: row.Key, Version: row.Version, Body: row.Body})
	}
	return rows, nil
}

// WriteRows implements Port.
func (p *HTTPService) WriteRows(ctx context.Context, rows []message.Row) ([]message.Row, error) {
	var question wireRows
	for _, row := range rows {
		question.Rows = append(question.Rows, wireRow(row))
	}
	body, err := json.Marshal(question)
	if err != nil {
		return nil, &OutcomeError{Outcome: message.PlatformUnreachable, Cause: errors.WithStack(err)}
	}
	answer, err := p.exchange(ctx, p.writes, http.MethodPost, "/transact", body)
	if err != nil {
		return nil, err
	}
	switch answer.status {
	case http.StatusOK:
		return readWritten(rows, answer.body)
	case http.StatusConflict:
		return readConflict(answer)
	default:
		return nil, writeFailure(answer)
	}
}

// readWritten reads the new versions of rows. The rows were changed, so that
// an answer that can't be read leaves the outcome unknown.
func readWritten(asked []message.Row, body []byte) ([]message.Row, error) {
	var answer wireRows
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, unreadable(message.PlatformUnknown, err)
	}
	if len(answer.Rows) != len(asked) {
		return nil, mismatch(asked, answer)
	}
	rows := make([]message.Row, 0, len(asked))
	for i, row := range answer.Rows {
		if row.Table != asked[i].Table || row.Key != asked[i].Key {
			return nil, mismatch(asked, answer)
		}
		written := asked[i]
		written.Version = row.Version
		rows = append(rows, written)
	}
	return rows, nil
}

// readConflict reads the rows as they stand. The status alone proves that
// nothing changed.
func readConflict(answer answer) ([]message.Row, error) {
	conflict := &OutcomeError{Outcome: message.PlatformConflict, Cause: answer.failure()}
	var standing wireRows
	if err := json.Unmarshal(answer.body, &standing); err != nil {
		return nil, conflict
	}
	var rows []message.Row
	for _, row := range standing.Rows {
		rows = append(rows, message.Row(row))
	}
	return rows, conflict
}

func mismatch(asked []message.Row, answer wireRows) error {
	return unreadable(message.PlatformUnknown, &RowMismatchError{Requested: len(asked), Returned: len(answer.Rows)})
}

// -----------------------------------------------------------------------------
// Objects and instances.

// ReadObject implements Port.
func (p *HTTPService) ReadObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := p.read(ctx, "/objects/"+url.PathEscape(name))
	return answer.body, err
}

// WriteObject implements Port.
func (p *HTTPService) WriteObject(ctx context.Context, name string, body []byte) error {
	answer, err := p.exchange(ctx, p.writes, http.MethodPut, "/objects/"+url.PathEscape(name), body)
	if err != nil {
		return err
	}
	if answer.status/100 != http.StatusOK/100 {
		return writeFailure(answer)
	}
	return nil
}

// wireInstance is one listed instance in JSON.
type wireInstance struct {
	Instance    model.InstanceID `json:"instance"`
	Zone        model.ZoneID     `json:"zone"`
	PeerAddress netip.AddrPort   `json:"peer"`
	Leaving     bool             `json:"leaving"`
}

// ListInstances implements Port.
func (p *HTTPService) ListInstances(ctx context.Context) ([]message.ListedInstance, error) {
	answer, err := p.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	var listed []wireInstance
	if err := json.Unmarshal(answer.body, &listed); err != nil {
		return nil, unreadable(message.PlatformRefused, err)
	}
	instances := make([]message.ListedInstance, 0, len(listed))
	for _, instance := range listed {
		instances = append(instances, message.ListedInstance(instance))
	}
	return instances, nil
}

// -----------------------------------------------------------------------------
// Requests.

// answer is a whole answer of the platform.
type answer struct {
	status  int
	version string
	body    []byte
}

func (a answer) failure() error {
	return &HTTPStatusError{Status: a.status, Body: string(a.body[:min(len(a.body), maxStatusText)])}
}

// read asks without a change.
func (p *HTTPService) read(ctx context.Context, path string) (answer, error) {
	got, err := p.exchange(ctx, p.reads, http.MethodGet, path, nil)
	if err != nil {
		// Others among the connections kept may have gone silent like this
		// one.
		p.idle.CloseIdleConnections()
		return answer{}, err
	}
	switch got.status {
	case http.StatusOK:
		return got, nil
	case http.StatusNotFound:
		return answer{}, &OutcomeError{Outcome: message.PlatformNotFound, Cause: got.failure()}
	default:
		return answer{}, &OutcomeError{Outcome: message.PlatformRefused, Cause: got.failure()}
	}
}

// writeFailure tells what a status means for a change. A server error may come
// from a gateway, with the change made behind it.
func writeFailure(got answer) error {
	outcome := message.PlatformRefused
	if got.status >= http.StatusInternalServerError || got.status/100 == http.StatusOK/100 {
		outcome = message.PlatformUnknown
	}
	return &OutcomeError{Outcome: outcome, Cause: got.failure()}
}

// exchange sends one request and reads the whole answer, whatever its status.
func (p *HTTPService) exchange(
	ctx context.Context, client *http.Client, method, path string, body []byte,
) (answer, error) {
	var sent sending
	request, err := p.newRequest(httptrace.WithClientTrace(ctx, sent.trace()), method, path, body)
	if err != nil {
		return answer{}, &OutcomeError{Outcome: message.PlatformUnreachable, Cause: errors.WithStack(err)}
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, &OutcomeError{Outcome: lost(&sent), Cause: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return answer{}, &OutcomeError{Outcome: message.PlatformUnknown, Cause: errors.WithStack(err)}
	}
	if len(content) > maxAnswer {
		return answer{}, &OutcomeError{Outcome: message.PlatformUnknown, Cause: &ResponseTooLargeError{Limit: maxAnswer}}
	}
	return answer{status: response.StatusCode, version: versionOf(response), body: content}, nil
}

func (p *HTTPService) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	var content io.Reader
	if method != http.MethodGet {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, p.base+path, content)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without it, the transport has no way to send a body a second time.
	request.GetBody = nil
	if p.token != "" {
		request.Header.Set("Authorization", "Bearer "+p.token)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func lost(sent *sending) message.PlatformErr {
	if sent.isUnsent() {
		return message.PlatformUnreachable
	}
	return message.PlatformUnknown
}

// versionOf is the row's version: the entity tag without its quotes.
func versionOf(response *http.Response) string {
	return strings.Trim(strings.TrimPrefix(response.Header.Get("ETag"), "W/"), `"`)
}

func unreadable(outcome message.PlatformErr, cause error) error {
	return &OutcomeError{Outcome: outcome, Cause: errors.WithStack(cause)}
}
