package metrics

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestHandlerServesAllInstruments(t *testing.T) {
	expvar.NewMap("things").Add("made", 3)
	for range 10 {
		Observe("statements", "entries/ok", 20*time.Millisecond)
	}
	Observe("statements", "entries/ok", 2*maxDuration)
	out := httptest.NewRecorder()
	Handler().ServeHTTP(out, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`things{name="made"} 3`,
		`latency_count{name="statements/entries/ok"} 11`,
		`latency_ms{name="statements/entries/ok",quantile="50"} 20`,
	} {
		if !strings.Contains(out.Body.String(), line) {
			t.Errorf("no line begins with %s in\n%s", line, out.Body)
		}
	}
}
