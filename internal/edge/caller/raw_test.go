package caller

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawCaller implements the caller's side of the protocol, message by message.
type rawCaller struct {
	t        *testing.T
	conn     net.Conn
	frontend *pgproto3.Frontend
	key      pgproto3.BackendKeyData
}

// rawTimeout is the deadline of a test whose server does not answer.
const rawTimeout = 20 * time.Second

func dialRaw(t *testing.T, setup *testSetup) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", setup.server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(rawTimeout))
	return &rawCaller{t: t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
}

// startRaw connects and completes the startup.
func startRaw(t *testing.T, setup *testSetup) *rawCaller {
	t.Helper()
	caller := dialRaw(t, setup)
	caller.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "officer", "database": string(testGroup)},
	})
	for {
		switch message := caller.receive().(type) {
		case *pgproto3.BackendKeyData:
			caller.key = pgproto3.BackendKeyData{ProcessID: message.ProcessID, SecretKey: append([]byte(nil), message.SecretKey...)}
		case *pgproto3.ReadyForQuery:
			return caller
		}
	}
}

func (c *rawCaller) send(messages ...pgproto3.FrontendMessage) {
	for _, message := range messages {
		c.frontend.Send(message)
	}
	err := c.frontend.Flush()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *rawCaller) receive() pgproto3.BackendMessage {
	message, err := c.frontend.Receive()
	if err != nil {
		c.t.Fatal(err)
	}
	return message
}

// answer reads up to ReadyForQuery and returns a short summary of each message.
func (c *rawCaller) answer() []string {
	var summary []string
	for {
		switch message := c.receive().(type) {
		case *pgproto3.DataRow:
			summary = append(summary, "row "+string(message.Values[0]))
		case *pgproto3.CommandComplete:
			summary = append(summary, string(message.CommandTag))
		case *pgproto3.ErrorResponse:
			summary = append(summary, message.Severity+" "+message.Code)
			if message.Severity == "FATAL" {
				return summary
			}
		case *pgproto3.ReadyForQuery:
			return append(summary, "ready "+string(message.TxStatus))
		case *pgproto3.ParseComplete:
			summary = append(summary, "parsed")
		case *pgproto3.BindComplete:
			summary = append(summary, "bound")
		case *pgproto3.CloseComplete:
			summary = append(summary, "closed")
		case *pgproto3.ParameterStatus:
			summary = append(summary, message.Name+" "+message.Value)
		case *pgproto3.EmptyQueryResponse:
			summary = append(summary, "empty")
		}
	}
}

// query runs a simple query.
func (c *rawCaller) query(text string) []string {
	c.send(&pgproto3.Query{String: text})
	return c.answer()
}

// startupPacket returns a startup packet with a code and a body.
func startupPacket(code uint32, body string) []byte {
	packet := make([]byte, 8, 8+len(body))
	binary.BigEndian.PutUint32(packet, uint32(8+len(body)))
	binary.BigEndian.PutUint32(packet[4:], code)
	return append(packet, body...)
}
