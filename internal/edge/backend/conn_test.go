package backend

import (
	"errors"
	"net"
	"testing"
	"time"

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
	if err := conn.Synchronize(time.Second, SessionState{Variables: Variables{"zone": "lanier"}}); err != nil {
		t.Fatal(err)
	}
	codec := &scriptedCodec{}
	conn.codec = codec
	return conn, codec
}

// Guards against reusing a connection to a database that does not have a prepared
// statement which the connection should have, whatever the statement's transaction: each
// further use of the name would fail too.
func TestUnknownPreparedStatementEndsConnection(t *testing.T) {
	conn, codec := newScriptedConn(t)
	codec.refusals = map[int]statement.Code{0: statement.CodePreparedStatementNotFound}
	if _, err := conn.Run(time.Second, statement.Request{Statement: statement.Execute{Name: "s1"}}); err != nil {
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
	_, err := conn.Run(time.Second, statement.Request{Statement: statement.Write{Text: "WRITE boat 7"}})
	var unexpected *UnexpectedMessageError
	if !errors.As(err, &unexpected) || len(codec.sent) > 0 || conn.isOpen() || conn.isReusable() {
		t.Errorf("error %v, %d requests sent, open: %v", err, len(codec.sent), conn.isOpen())
	}
}
