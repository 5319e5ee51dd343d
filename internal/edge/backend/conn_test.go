package backend

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// scriptedCodec refuses the requests whose index among all that were sent is a key of
// refusals, and carries out the others. It loses the answers from the index lostFrom on,
// unless that is zero.
type scriptedCodec struct {
	refusals      map[int]statement.Code
	lostFrom      int
	state         statement.TransactionState
	hasUnread     bool
	sent          []statement.Statement
	answeredCount int
}

// Send implements Codec.
func (c *scriptedCodec) Send(requests []statement.Request) error {
	for _, request := range requests {
		c.sent = append(c.sent, request.Statement)
	}
	return nil
}

// Receive implements Codec.
func (c *scriptedCodec) Receive(request statement.Request) (Reply, error) {
	index := c.answeredCount
	c.answeredCount++
	if c.lostFrom > 0 && index >= c.lostFrom {
		return Reply{}, net.ErrClosed
	}
	if code, isRefused := c.refusals[index]; isRefused {
		return Reply{Answer: statement.Answer{Failure: &statement.FailureError{Code: code}, TransactionState: c.state}}, nil
	}
	if _, isBegin := request.Statement.(statement.Begin); isBegin {
		c.state = statement.TransactionStateOpen
	}
	return Reply{Answer: statement.Answer{Signature: "-", TransactionState: c.state}}, nil
}

// HasUnread implements Codec.
func (c *scriptedCodec) HasUnread() bool { return c.hasUnread }

// newScriptedConn returns a connection on which zone has the value lanier, with the
// codec that its further requests use.
func newScriptedConn(t *testing.T) (*Conn, *scriptedCodec) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	conn := &Conn{target: placement.Database{ID: "a"}, net: near, codec: &scriptedCodec{}, prepared: map[string]string{}}
	if err := conn.Synchronize(t.Context(), time.Second, SessionState{Variables: Variables{"zone": "lanier"}}); err != nil {
		t.Fatal(err)
	}
	codec := &scriptedCodec{}
	conn.codec = codec
	return conn, codec
}

var scriptedPrepare = statement.Prepare{Name: "caller's name", Access: model.AccessRead, Template: "q2c"}

// Guards against a connection whose recorded state is what was sent, not what the
// database has acknowledged: the next statement on it would run with another session's
// values, or with a prepared statement that does not exist.
func TestStateIsRecordedOnceAcknowledged(t *testing.T) {
	begin := &statement.Request{Statement: statement.Begin{}}
	set := statement.Set{Name: "zone", Value: "savannah"}
	// isReusable is whether the pool keeps the connection; sentNext is what the next
	// synchronization with the same state sends.
	type result struct {
		isRefused, isReusable bool
		sentNext              []statement.Statement
	}
	for name, c := range map[string]struct {
		wanted   SessionState
		refusals map[int]statement.Code
		lostFrom int
		want     result
	}{
		"all acknowledged": {
			wanted: SessionState{Variables: Variables{"zone": "savannah"}, Prepared: &scriptedPrepare},
			want:   result{isReusable: true},
		},
		"a value is refused": {
			wanted:   SessionState{Variables: Variables{"zone": "savannah"}, Prepared: &scriptedPrepare},
			refusals: map[int]statement.Code{0: statement.CodeNotPrimary},
			want:     result{isRefused: true, isReusable: true, sentNext: []statement.Statement{set}},
		},
		"a preparation is refused": {
			wanted:   SessionState{Variables: Variables{"zone": "savannah"}, Prepared: &scriptedPrepare},
			refusals: map[int]statement.Code{1: statement.CodeBusy},
			want: result{isRefused: true, isReusable: true, sentNext: []statement.Statement{
				statement.Prepare{Name: "s2", Access: model.AccessRead, Template: "q2c"},
			}},
		},
		"a reset is refused": {
			wanted:   SessionState{Variables: Variables{"fleet": "b"}},
			refusals: map[int]statement.Code{0: statement.CodeBusy},
			want: result{isRefused: true, isReusable: true, sentNext: []statement.Statement{
				statement.Discard{}, statement.Set{Name: "fleet", Value: "b"},
			}},
		},
		"a value is refused before BEGIN": {
			wanted:   SessionState{Variables: Variables{"zone": "savannah"}, Begin: begin},
			refusals: map[int]statement.Code{0: statement.CodeBusy},
			want:     result{isRefused: true, sentNext: []statement.Statement{set, statement.Begin{}}},
		},
		"a value may have been set": {
			wanted:   SessionState{Variables: Variables{"zone": "savannah"}},
			refusals: map[int]statement.Code{0: statement.CodeTimeout},
			want:     result{isRefused: true, sentNext: []statement.Statement{set}},
		},
		"an answer is lost": {
			wanted:   SessionState{Variables: Variables{"zone": "savannah"}, Prepared: &scriptedPrepare},
			lostFrom: 1,
			want: result{isRefused: true, sentNext: []statement.Statement{
				statement.Prepare{Name: "s2", Access: model.AccessRead, Template: "q2c"},
			}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, codec := newScriptedConn(t)
			codec.refusals, codec.lostFrom = c.refusals, c.lostFrom
			err := conn.Synchronize(t.Context(), time.Second, c.wanted)
			var syncErr *SyncError
			got := result{isRefused: errors.As(err, &syncErr), isReusable: conn.isReusable()}
			sentBefore := len(codec.sent)
			codec.refusals, codec.lostFrom = nil, 0
			if err := conn.Synchronize(t.Context(), time.Second, c.wanted); err != nil {
				t.Fatal(err)
			}
			got.sentNext = codec.sent[sentBefore:]
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(result{}), cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against reusing a connection to a database that does not have a prepared
// statement which the connection should have, whatever the statement's transaction: each
// further use of the name would fail too.
func TestUnknownPreparedStatementEndsConnection(t *testing.T) {
	conn, codec := newScriptedConn(t)
	codec.refusals = map[int]statement.Code{0: statement.CodePreparedStatementNotFound}
	if _, err := conn.Run(t.Context(), time.Second, statement.Request{Statement: statement.Execute{Name: "s1"}}); err != nil {
		t.Fatal(err)
	}
	if conn.isReusable() {
		t.Error("the connection may be used again")
	}
}

// Guards against taking a message that answers no request for the answer to the next one.
func TestUnexpectedMessageEndsConnection(t *testing.T) {
	conn, codec := newScriptedConn(t)
	codec.hasUnread = true
	_, err := conn.Run(t.Context(), time.Second, statement.Request{Statement: statement.Write{Text: "WRITE boat 7"}})
	var unexpected *UnexpectedMessageError
	if !errors.As(err, &unexpected) || len(codec.sent) > 0 || conn.isOpen() || conn.isReusable() {
		t.Errorf("error %v, %d requests sent, open: %v", err, len(codec.sent), conn.isOpen())
	}
}
