package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// The codes that begin a startup packet.
const (
	codeCancel    = 80877102
	codeTLS       = 80877103
	codeEncrypted = 80877104
	// passwordLimit is the greatest message before a caller is known, in
	// bytes.
	passwordLimit = 4 << 10
	// shortSecret and longSecret are the sizes of the secret of a cancel
	// request in protocol 3.0 and 3.2, in bytes.
	shortSecret = 4
	longSecret  = 32
)

// hello is what a connection says first.
type hello struct {
	conn    net.Conn
	reader  *postgres.Reader
	secured bool
	// startup is nil where the connection brought a cancel request.
	startup *pgproto3.StartupMessage
}

// serve takes a connection from its first byte to its end.
func (e *Server) serve(ctx context.Context, conn net.Conn) {
	h := &hello{conn: conn, reader: postgres.NewReader(conn, passwordLimit)}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(aLongTimeAgo) })
	s, err := e.greet(h)
	stop()
	if err != nil {
		e.note(event.SessionRefused, "address", conn.RemoteAddr().String(), "reason", err.Error())
	}
	if s != nil {
		e.serveSession(ctx, s)
	}
	h.reader.Close()
	_ = h.conn.Close()
}

// serveSession runs a session that was let in.
func (e *Server) serveSession(ctx context.Context, s *session) {
	sessionsOpen.Add(1)
	e.note(event.SessionOpened, "session", s.id, "group", s.group, "caller", s.caller)
	e.sink.Post(message.SessionOpened{
		Session:       s.id,
		Group:         s.group,
		Caller:        s.caller,
		TokenPosition: s.hint.token.Position,
		Roaming:       s.hint.roaming,
	})
	reason := s.run(ctx)
	e.remove(s)
	e.sink.Post(message.SessionClosed{Session: s.id})
	sessionsOpen.Add(-1)
	e.note(event.SessionClosed, "session", s.id, "reason", reason.Error())
}

// greet goes through the startup, and returns the session that came of it, or
// nil after a cancel request.
func (e *Server) greet(h *hello) (*session, error) {
	err := h.conn.SetDeadline(time.Now().Add(startTimeout))
	if err != nil {
		return nil, err
	}
	err = e.readStartup(h)
	if err != nil || h.startup == nil {
		return nil, err
	}
	s, refused := e.admit(h)
	if refused != nil {
		_, _ = h.conn.Write(refused.encode(nil))
		return nil, &AuthenticationError{User: h.startup.Parameters["user"], Detail: refused.message}
	}
	_, err = h.conn.Write(e.welcome(h, s))
	if err == nil {
		err = h.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		e.remove(s)
		return nil, err
	}
	h.reader.SetLimit(e.options.MaxMessageSize)
	return s, nil
}

// readStartup reads startup packets until one is a startup message or a cancel
// request.
func (e *Server) readStartup(h *hello) error {
	for {
		body, err := h.reader.NextStartupPacket()
		if err != nil {
			return err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case codeCancel:
			var request pgproto3.CancelRequest
			err = request.Decode(body)
			if err == nil {
				e.cancel(request.ProcessID, request.SecretKey)
			}
			return err
		case codeTLS:
			err = e.secure(h)
		case codeEncrypted:
			_, err = h.conn.Write([]byte{'N'})
		case pgproto3.ProtocolVersion30, pgproto3.ProtocolVersion32:
			h.startup = &pgproto3.StartupMessage{}
			return h.startup.Decode(body)
		default:
			refusal := problem{state: stateProtocolViolation, message: "unsupported protocol version", fatal: true}
			_, _ = h.conn.Write(refusal.encode(nil))
			return &ProtocolError{Detail: "unsupported protocol version"}
		}
		if err != nil {
			return err
		}
	}
}

// secure answers a request for TLS.
func (e *Server) secure(h *hello) error {
	if e.options.TLS == nil || h.secured {
		_, err := h.conn.Write([]byte{'N'})
		return err
	}
	// Bytes sent ahead of the handshake could have been put there by others.
	if h.reader.Buffered() > 0 {
		return &ProtocolError{Detail: "unencrypted data after the request for TLS"}
	}
	_, err := h.conn.Write([]byte{'S'})
	if err != nil {
		return err
	}
	secured := tls.Server(h.conn, e.options.TLS)
	err = secured.Handshake()
	if err != nil {
		return err
	}
	h.conn = secured
	h.reader.SetSource(secured)
	h.secured = true
	return nil
}

// admit decides whether a caller may have a session.
func (e *Server) admit(h *hello) (*session, *problem) {
	if e.draining.Load() {
		return nil, problemEnding
	}
	refused := e.authenticate(h)
	if refused != nil {
		return nil, refused
	}
	s, refused := e.newSession(h)
	if refused != nil {
		return nil, refused
	}
	if !e.add(s) {
		return nil, limitProblem(e.options.MaxSessions)
	}
	return s, nil
}

// newSession reads the startup parameters.
func (e *Server) newSession(h *hello) (*session, *problem) {
	parameters := h.startup.Parameters
	group := parameters["database"]
	if group == "" {
		group = parameters["user"]
	}
	size := shortSecret
	if h.startup.ProtocolVersion != pgproto3.ProtocolVersion30 {
		size = longSecret
	}
	s := &session{
		edge:    e,
		id:      model.SessionID(e.lastSession.Add(1)),
		conn:    h.conn,
		reader:  h.reader,
		group:   model.GroupID(group),
		caller:  model.CallerID(parameters["user"]),
		proven:  e.provenOf(model.GroupID(group)),
		secret:  make([]byte, size),
		mailbox: newMailbox(),
	}
	_, _ = rand.Read(s.secret)
	refused := s.takeParameters(parameters)
	return s, refused
}

// takeParameters reads the proxy's own settings among the startup parameters.
func (s *session) takeParameters(parameters map[string]string) *problem {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		own, is := strings.CutPrefix(strings.ToLower(name), ownPrefix)
		if !is {
			refused := s.takeSetting(strings.ToLower(name), value)
			if refused != nil {
				return refused
			}
			continue
		}
		set, known := hintSetters[own]
		if !known || own == statementOnly {
			return fatal(hintProblem(&HintError{Name: own, Value: value, Detail: "not a setting of a session"}))
		}
		err := set(&s.hint, value)
		if err != nil {
			return fatal(hintProblem(err))
		}
	}
	token := s.hint.token
	if token.Group != "" && token.Group != s.group {
		return fatal(hintProblem(&HintError{Name: "token", Value: token.String(), Detail: "the token is of another group"}))
	}
	s.token = token
	return nil
}

func fatal(p *problem) *problem {
	p.fatal = true
	return p
}

// welcome returns what tells a caller that it may begin.
func (e *Server) welcome(h *hello, s *session) []byte {
	out, _ := (&pgproto3.AuthenticationOk{}).Encode(nil)
	for _, status := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: e.options.ServerVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "application_name", Value: h.startup.Parameters["application_name"]},
		{Name: "session_authorization", Value: string(s.caller)},
	} {
		out, _ = status.Encode(out)
	}
	key := pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.secret}
	out, _ = key.Encode(out)
	return append(out, 'Z', 0, 0, 0, 5, statusIdle)
}

// -----------------------------------------------------------------------------
// The table of sessions.

// add takes a session in, unless there are too many.
func (e *Server) add(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) >= e.options.MaxSessions {
		return false
	}
	e.sessions[s.id] = s
	return true
}

func (e *Server) remove(s *session) {
	e.mu.Lock()
	delete(e.sessions, s.id)
	e.mu.Unlock()
}
