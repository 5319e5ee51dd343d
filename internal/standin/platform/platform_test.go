package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// start runs a platform until the test ends.
func start(t *testing.T, options platform.Options) *platform.Platform {
	t.Helper()
	options.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	p := platform.NewPlatform(options)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := p.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

// httpResult is the response to a request. Status 0 stands for a connection
// that was closed without a response.
type httpResult struct {
	Status int
	ETag   string
	Body   string
}

// sendRequest sends one request on a new connection.
func sendRequest(t *testing.T, p *platform.Platform, method, path, body string, header ...string) httpResult {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+p.Address().String()+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return httpResult{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return httpResult{}
	}
	return httpResult{Status: response.StatusCode, ETag: response.Header.Get("ETag"), Body: string(bytes.TrimSpace(content))}
}

func equal(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestConditionalRequests(t *testing.T) {
	p := start(t, platform.Options{})
	steps := []struct {
		name, method, path, body string
		header                   []string
		want                     httpResult
	}{
		{"missing", "GET", "/tables/groups/a", "", nil, httpResult{Status: 404}},
		{"unconditional", "PUT", "/tables/groups/a", "x", nil, httpResult{Status: 428}},
		{"create", "PUT", "/tables/groups/a", "x", []string{"If-None-Match", "*"}, httpResult{200, `"1"`, ""}},
		{"create twice", "PUT", "/tables/groups/a", "x", []string{"If-None-Match", "*"}, httpResult{Status: 412}},
		{"change", "PUT", "/tables/groups/a", "y", []string{"If-Match", `"1"`}, httpResult{200, `"2"`, ""}},
		{"change with an old version", "PUT", "/tables/groups/a", "z", []string{"If-Match", `"1"`}, httpResult{Status: 412}},
		{"read", "GET", "/tables/groups/a", "", nil, httpResult{200, `"2"`, "y"}},
		{"key with slash", "PUT", "/tables/groups/a/b", "w", []string{"If-None-Match", "*"}, httpResult{200, `"3"`, ""}},
		{"scan", "GET", "/tables/groups?prefix=a", "", nil, httpResult{200, "", `[{"key":"a","version":"2","body":"eQ=="},{"key":"a/b","version":"3","body":"dw=="}]`}},
		{"scan without matches", "GET", "/tables/groups?prefix=q", "", nil, httpResult{200, "", `[]`}},
		{"object missing", "GET", "/objects/d1", "", nil, httpResult{Status: 404}},
		{"object put", "PUT", "/objects/d1", "blob", nil, httpResult{Status: 200}},
		{"object", "GET", "/objects/d1", "", nil, httpResult{200, "", "blob"}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			equal(t, step.want, sendRequest(t, p, step.method, step.path, step.body, step.header...))
		})
	}
	equal(t, platform.Stats{Reads: 6, Writes: 7}, p.Stats())
}

func TestTransactIsAllOrNothing(t *testing.T) {
	p := start(t, platform.Options{})
	steps := []struct {
		name string
		body string
		want httpResult
	}{
		{
			"create two",
			`{"rows":[{"table":"g","key":"a","version":"","body":"eA=="},{"table":"l","key":"1","version":"","body":"eQ=="}]}`,
			httpResult{200, "", `{"rows":[{"table":"g","key":"a","version":"1"},{"table":"l","key":"1","version":"2"}]}`},
		},
		{
			"one old version",
			`{"rows":[{"table":"g","key":"a","version":"1","body":"eg=="},{"table":"l","key":"1","version":"","body":"eg=="}]}`,
			httpResult{409, "", `{"rows":[{"table":"g","key":"a","version":"1","body":"eA=="},{"table":"l","key":"1","version":"2","body":"eQ=="}]}`},
		},
		{
			"both versions current",
			`{"rows":[{"table":"g","key":"a","version":"1","body":"eg=="},{"table":"l","key":"1","version":"2","body":"eg=="}]}`,
			httpResult{200, "", `{"rows":[{"table":"g","key":"a","version":"3"},{"table":"l","key":"1","version":"4"}]}`},
		},
		{"not JSON", `rows`, httpResult{400, "", "invalid character 'r' looking for beginning of value"}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			equal(t, step.want, sendRequest(t, p, "POST", "/transact", step.body))
		})
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		fault string
		// answered is true if a write gets a response, read if a request that changes
		// nothing gets one, and changed if the write takes effect.
		answered, read, changed bool
	}{
		{`{"fault":"none"}`, true, true, true},
		{`{"fault":"outage"}`, false, false, false},
		{`{"fault":"slow","delay":"1ms"}`, true, true, true},
		{`{"fault":"lose"}`, false, false, true},
		{`{"fault":"lose","writes":true}`, false, true, true},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			p := start(t, platform.Options{})
			equal(t, 200, sendRequest(t, p, "POST", "/admin/fault", c.fault).Status)
			written := sendRequest(t, p, "PUT", "/tables/g/a", "x", "If-None-Match", "*")
			equal(t, c.answered, written.Status != 0)
			equal(t, c.read, sendRequest(t, p, "GET", "/instances", "").Status != 0)
			equal(t, 200, sendRequest(t, p, "POST", "/admin/fault", `{"fault":"none"}`).Status)
			equal(t, c.changed, sendRequest(t, p, "GET", "/tables/g/a", "").Status == 200)
		})
	}
}

func TestUnknownFaultsAreRejected(t *testing.T) {
	p := start(t, platform.Options{})
	for _, body := range []string{`{"fault":"flood"}`, `{"fault":"slow","delay":"soon"}`, `{"fault":"slow","delay":"-1s"}`, `{}`} {
		equal(t, 400, sendRequest(t, p, "POST", "/admin/fault", body).Status)
	}
}

func TestInstancesLag(t *testing.T) {
	now := time.Unix(0, 0)
	p := start(t, platform.Options{Lag: 2 * time.Second, Now: func() time.Time { return now }})
	list := func() []platform.Instance {
		var instances []platform.Instance
		if err := json.Unmarshal([]byte(sendRequest(t, p, "GET", "/instances", "").Body), &instances); err != nil {
			t.Fatal(err)
		}
		return instances
	}
	first := []platform.Instance{{ID: "i1", Zone: "lanier", Peer: netip.MustParseAddrPort("127.0.0.1:7000")}}
	body, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, 200, sendRequest(t, p, "PUT", "/admin/instances", string(body)).Status)
	equal(t, []platform.Instance{}, list())
	now = now.Add(2 * time.Second)
	equal(t, first, list())
	p.SetInstances(nil)
	now = now.Add(time.Second)
	equal(t, first, list())
	now = now.Add(time.Second)
	equal(t, 0, len(list()))
}
