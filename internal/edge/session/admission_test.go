package session

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// A session whose key is taken away is closed while it is idle. Requests that arrive before
// are answered: with a refusal for good only if the configuration is known to be the newest.
func TestRevokedSessions(t *testing.T) {
	for name, c := range map[string]struct {
		requests string
		isOld    bool
		want     []string
	}{
		"idle":                  {"", false, []string{"ready\n"}},
		"requests have arrived": {"first\nsecond\n", false, []string{"ready\n", statement.CodeAccessDenied.String() + "\n", statement.CodeAccessDenied.String() + "\n"}},
		"an old configuration":  {"first\n", true, []string{"ready\n", statement.CodeBusy.String() + "\n"}},
		"idle, an old one":      {"", true, []string{"ready\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			const maxWaits = 10
			waiting, revoked := make(chan struct{}, maxWaits), make(chan struct{})
			server, _, _ := startServerWith(t, slowProtocol{beforeWait: func() {
				waiting <- struct{}{}
				<-revoked
			}})
			routes := server.options.Router.(*oneRoute)
			conn := dial(t, server.options.ListenAddress)
			_, _ = conn.Write([]byte("entries\n"))
			<-waiting
			_, _ = conn.Write([]byte(c.requests))
			time.Sleep(20 * time.Millisecond)
			routes.isOld.Store(c.isOld)
			routes.isRevoked.Store(true)
			server.CloseRevokedSessions()
			close(revoked)
			if diff := cmp.Diff(c.want, readLines(conn)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
