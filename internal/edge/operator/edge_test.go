package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/operator"
)

// unreachedTimeout is a timeout that does not expire in a passing test.
const unreachedTimeout = time.Minute

// fakeCore responds to events with the actions of answer, and records the events.
type fakeCore struct {
	server *operator.Server
	answer func(event message.Event) []message.Action
	events chan message.Event
}

func (c *fakeCore) Post(event message.Event) {
	c.events <- event
	for _, action := range c.answer(event) {
		c.server.HandleAction(action)
	}
}

func noAnswer(message.Event) []message.Action { return nil }

func start(t *testing.T, options operator.Options, answer func(message.Event) []message.Action) (*fakeCore, *operator.Client) {
	t.Helper()
	c := &fakeCore{answer: answer, events: make(chan message.Event, 1000)}
	c.server = operator.NewServer(options, c, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	stopped, err := c.server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return c, operator.NewClient(c.server.Address(), "secret")
}

// receivedEvents returns the events that were posted so far. It does not block.
func (c *fakeCore) receivedEvents() []message.Event {
	var events []message.Event
	for len(c.events) > 0 {
		events = append(events, <-c.events)
	}
	return events
}

// -----------------------------------------------------------------------------
// Client and server.

func TestSubmissions(t *testing.T) {
	cases := []struct {
		name    string
		decided message.ManifestDecided
		want    operator.SubmissionResult
	}{
		{"accepted", message.ManifestDecided{Number: 5}, operator.SubmissionResult{ManifestNumber: 5, Outcome: "ok"}},
		{
			"invalid",
			message.ManifestDecided{Number: 4, Result: message.SubmitInvalid, Detail: "line 3"},
			operator.SubmissionResult{ManifestNumber: 4, Outcome: "invalid", Detail: "line 3"},
		},
		{
			"conflict",
			message.ManifestDecided{Number: 6, Result: message.SubmitConflict, Detail: "6, not 4"},
			operator.SubmissionResult{ManifestNumber: 6, Outcome: "conflict", Detail: "6, not 4"},
		},
		{"unavailable", message.ManifestDecided{Result: message.SubmitUnavailable}, operator.SubmissionResult{Outcome: "unavailable"}},
		{"unknown", message.ManifestDecided{Result: message.SubmitUnknown}, operator.SubmissionResult{Outcome: "unknown"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core, client := start(t, operator.Options{Token: "secret", AnswerTimeout: unreachedTimeout}, func(event message.Event) []message.Action {
				decided := c.decided
				decided.CorrelationID = event.(message.ManifestSubmitted).CorrelationID
				return []message.Action{message.ManifestDecided{CorrelationID: decided.CorrelationID + 1000}, decided, decided}
			})
			got, err := client.Submit(context.Background(), []byte("service = 'x'"), 4, "pipeline")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			want := []message.Event{message.ManifestSubmitted{CorrelationID: 1, Body: []byte("service = 'x'"), ExpectedNumber: 4, Submitter: "pipeline"}}
			if diff := cmp.Diff(want, core.receivedEvents()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReports(t *testing.T) {
	core, client := start(t, operator.Options{AnswerTimeout: unreachedTimeout}, func(event message.Event) []message.Action {
		request := event.(message.ReportRequested)
		return []message.Action{message.ReportAnswered{CorrelationID: request.CorrelationID, Body: map[string]any{"topic": request.Topic}}}
	})
	ctx := context.Background()
	queries := []func() (json.RawMessage, error){
		func() (json.RawMessage, error) { return client.Status(ctx) },
		func() (json.RawMessage, error) { return client.Logbook(ctx, "a b&c") },
		func() (json.RawMessage, error) { return client.Manifest(ctx) },
	}
	var topics []int
	for _, query := range queries {
		body, err := query()
		if err != nil {
			t.Fatal(err)
		}
		var answer struct{ Topic int }
		if err := json.Unmarshal(body, &answer); err != nil {
			t.Fatal(err)
		}
		topics = append(topics, answer.Topic)
	}
	if diff := cmp.Diff([]int{0, 1, 2}, topics); diff != "" {
		t.Error(diff)
	}
	want := []message.Event{
		message.ReportRequested{CorrelationID: 1, Topic: message.TopicStatus},
		message.ReportRequested{CorrelationID: 2, Topic: message.TopicLogbook, Group: "a b&c"},
		message.ReportRequested{CorrelationID: 3, Topic: message.TopicManifest},
	}
	if diff := cmp.Diff(want, core.receivedEvents()); diff != "" {
		t.Error(diff)
	}
}

func TestHealthReadinessDrainAndCounters(t *testing.T) {
	ready := false
	core, client := start(t, operator.Options{Token: "secret", IsReady: func() bool { return ready }}, noAnswer)
	ctx := context.Background()
	if err := client.Health(ctx); err != nil {
		t.Error(err)
	}
	var statusErr *operator.StatusError
	if err := client.Ready(ctx); !errors.As(err, &statusErr) || statusErr.Status != http.StatusServiceUnavailable {
		t.Errorf("not ready: %v", err)
	}
	ready = true
	if err := client.Ready(ctx); err != nil {
		t.Error(err)
	}
	if err := client.Drain(ctx); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]message.Event{message.DrainRequested{}}, core.receivedEvents()); diff != "" {
		t.Error(diff)
	}
	vars, err := client.Vars(ctx)
	if err != nil || !strings.Contains(string(vars), `"events"`) {
		t.Errorf("counters: %v", err)
	}
}

func TestBindsLoopbackByDefault(t *testing.T) {
	core, _ := start(t, operator.Options{}, noAnswer)
	if diff := cmp.Diff(true, core.server.Address().Addr().IsLoopback()); diff != "" {
		t.Error(diff)
	}
}

// -----------------------------------------------------------------------------
// Invalid requests, and a core that does not answer.

func TestFaultyRequests(t *testing.T) {
	bearer := "Bearer secret"
	cases := []struct {
		name, method, path, authorization, who, body string
		noToken                                      bool
		status                                       int
	}{
		{name: "drain without a token", method: "POST", path: "/drain", status: 401},
		{name: "drain with another token", method: "POST", path: "/drain", authorization: "Bearer secre", status: 401},
		{name: "drain with another scheme", method: "POST", path: "/drain", authorization: "Basic secret", status: 401},
		{name: "drain without a configured token", method: "POST", path: "/drain", authorization: "Bearer ", noToken: true, status: 401},
		{name: "drain by GET", method: "GET", path: "/drain", authorization: bearer, status: 405},
		{name: "submit without a token", method: "POST", path: "/manifest?expected=1", who: "me", status: 401},
		{name: "submit without a number", method: "POST", path: "/manifest", authorization: bearer, who: "me", status: 400},
		{name: "submit with a bad number", method: "POST", path: "/manifest?expected=-1", authorization: bearer, who: "me", status: 400},
		{name: "submit without a name", method: "POST", path: "/manifest?expected=1", authorization: bearer, status: 400},
		{name: "submit with a long name", method: "POST", path: "/manifest?expected=1", authorization: bearer, who: strings.Repeat("x", 201), status: 400},
		{name: "submit too large a manifest", method: "POST", path: "/manifest?expected=1", authorization: bearer, who: "me", body: strings.Repeat("x", 1_000_001), status: 413},
		{name: "headers too large", method: "GET", path: "/health", who: strings.Repeat("x", 64<<10), status: 431},
		{name: "unknown path", method: "GET", path: "/other", status: 404},
		{name: "status by POST", method: "POST", path: "/status", authorization: bearer, status: 405},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := operator.Options{Token: "secret"}
			if c.noToken {
				options.Token = ""
			}
			fake, _ := start(t, options, noAnswer)
			url := "http://" + fake.server.Address().String() + c.path
			request := httptest.NewRequest(c.method, url, strings.NewReader(c.body))
			request.RequestURI = ""
			request.Header.Set("Authorization", c.authorization)
			request.Header.Set("Who", c.who)
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if diff := cmp.Diff(c.status, response.StatusCode); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff([]message.Event(nil), fake.receivedEvents()); diff != "" {
				t.Errorf("events posted to the core: %s", diff)
			}
		})
	}
}

// A crowd of silent connections neither stays open nor keeps an operator from being served.
func TestSilentConnectionsAreBounded(t *testing.T) {
	const crowd = 200
	fake, _ := start(t, operator.Options{}, noAnswer)
	conns := make([]net.Conn, crowd)
	for i := range conns {
		conn, err := net.Dial("tcp", fake.server.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[i] = conn
	}
	response, err := http.Get("http://" + fake.server.Address().String() + "/health")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open > 128 {
		t.Errorf("%d silent connections are open, want at most 128", open)
	}
}

func TestCoreDoesNotAnswer(t *testing.T) {
	_, client := start(t, operator.Options{Token: "secret", AnswerTimeout: time.Millisecond}, noAnswer)
	ctx := context.Background()
	// More queries than may be pending at once: each must be removed when it times
	// out.
	for range 70 {
		var statusErr *operator.StatusError
		if _, err := client.Status(ctx); !errors.As(err, &statusErr) || statusErr.Status != http.StatusServiceUnavailable {
			t.Fatalf("status: %v", err)
		}
	}
	decision, err := client.Submit(ctx, nil, 1, "me")
	if err != nil {
		t.Fatal(err)
	}
	want := operator.SubmissionResult{Outcome: "unknown", Detail: "no decision in time"}
	if diff := cmp.Diff(want, decision); diff != "" {
		t.Error(diff)
	}
}

func TestTooManyQueriesAreRejectedWithoutPosting(t *testing.T) {
	core, client := start(t, operator.Options{Token: "secret", AnswerTimeout: unreachedTimeout}, noAnswer)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	for range 64 {
		go func() {
			_, err := client.Status(ctx)
			ended <- err
		}()
	}
	for range 64 {
		<-core.events
	}
	decision, err := client.Submit(context.Background(), nil, 1, "me")
	if err != nil {
		t.Fatal(err)
	}
	want := operator.SubmissionResult{Outcome: "unavailable", Detail: "too many requests wait"}
	if diff := cmp.Diff(want, decision); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]message.Event(nil), core.receivedEvents()); diff != "" {
		t.Errorf("events posted to the core: %s", diff)
	}
	cancel()
	for range 64 {
		<-ended
	}
}

func TestNoInstance(t *testing.T) {
	server := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	if err := operator.NewClient(address, "").Health(context.Background()); err == nil {
		t.Error("no error although no instance listens")
	}
}
