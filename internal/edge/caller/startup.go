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
	"github.com/eelgrassfold/eelgrassfold/internal/edge/intake"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Codes at the start of a startup packet.
const (
	codeCancel    = 80877102
	codeTLS       = 80877103
	codeEncrypted = 80877104
	// maxStartupMessageSize is the maximum size of a message from a caller that
	// is not authenticated yet, in bytes.
	maxStartupMessageSize = 4 << 10
	// secretSize30 and secretSize32 are the sizes of the secret key of a cancel
	// request in protocol 3.0 and 3.2, in bytes.
	secretSize30 = 4
	secretSize32 = 32
)

// handshake is the state of a connection during its startup.
type handshake struct {
	conn    net.Conn
	account *intake.Account
	reader  *postgres.Reader
	usesTLS bool
	// startup is nil if the connection carried a cancel request.
	startup *pgproto3.StartupMessage
}

// serve handles a connection from startup to close.
func (srv *Server) serve(ctx context.Context, conn net.Conn, account *intake.Account) {
	limited := intake.Conn{Conn: conn, Account: account}
	h := &handshake{conn: limited, account: account, reader: postgres.NewReader(limited, maxStartupMessageSize)}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(aLongTimeAgo) })
	s, err := srv.performStartup(h)
	stop()
	if err != nil {
		srv.logEvent(event.SessionRefused, "address", conn.RemoteAddr().String(), "reason", err.Error())
	}
	if s != nil {
		account.KeepConnection()
		account.EndMessage()
		srv.serveSession(ctx, s)
	}
	h.reader.Close()
	_ = h.conn.Close()
}

// serveSession runs an admitted session.
func (srv *Server) serveSession(ctx context.Context, s *session) {
	sessionsOpen.Add(1)
	srv.logEvent(event.SessionOpened, "session", s.id, "group", s.group, "caller", s.caller)
	srv.sink.Post(message.SessionOpened{
		Session:       s.id,
		Group:         s.group,
		Caller:        s.caller,
		TokenPosition: s.hint.token.Position,
		Roaming:       s.hint.roaming,
	})
	reason := s.run(ctx)
	srv.removeSession(s)
	srv.sink.Post(message.SessionClosed{Session: s.id})
	sessionsOpen.Add(-1)
	srv.logEvent(event.SessionClosed, "session", s.id, "reason", reason.Error())
}

// performStartup handles the startup of a connection. It returns the new
// session, or nil after a cancel request.
func (srv *Server) performStartup(h *handshake) (*session, error) {
	err := h.conn.SetDeadline(time.Now().Add(startupTimeout))
	if err != nil {
		return nil, err
	}
	err = srv.readStartup(h)
	if err != nil || h.startup == nil {
		return nil, err
	}
	s, rejection := srv.admit(h)
	if rejection != nil {
		_, _ = h.conn.Write(rejection.encode(nil))
		return nil, &AuthenticationError{User: h.startup.Parameters["user"], Detail: rejection.message}
	}
	_, err = h.conn.Write(srv.startupResponse(h, s))
	if err == nil {
		err = h.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		srv.removeSession(s)
		return nil, err
	}
	h.reader.SetLimit(srv.options.MaxMessageSize)
	return s, nil
}

// readStartup reads startup packets until one is a startup message or a cancel
// request.
func (srv *Server) readStartup(h *handshake) error {
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
				srv.cancelSessionRequest(request.ProcessID, request.SecretKey)
			}
			return err
		case codeTLS:
			err = srv.startTLS(h)
		case codeEncrypted:
			_, err = h.conn.Write([]byte{'N'})
		case pgproto3.ProtocolVersion30, pgproto3.ProtocolVersion32:
			h.startup = &pgproto3.StartupMessage{}
			return h.startup.Decode(body)
		default:
			rejection := problem{sqlState: stateProtocolViolation, message: "unsupported protocol version", fatal: true}
			_, _ = h.conn.Write(rejection.encode(nil))
			return &ProtocolError{Detail: "unsupported protocol version"}
		}
		if err != nil {
			return err
		}
	}
}

// startTLS answers a request for TLS and performs the TLS handshake.
func (srv *Server) startTLS(h *handshake) error {
	if srv.options.TLS == nil || h.usesTLS {
		_, err := h.conn.Write([]byte{'N'})
		return err
	}
	// Data sent before the TLS handshake could have been injected by an
	// attacker.
	if h.reader.Buffered() > 0 {
		return &ProtocolError{Detail: "unencrypted data after the request for TLS"}
	}
	_, err := h.conn.Write([]byte{'S'})
	if err != nil {
		return err
	}
	tlsConn := tls.Server(h.conn, srv.options.TLS)
	err = tlsConn.Handshake()
	if err != nil {
		return err
	}
	h.conn = tlsConn
	h.reader.SetSource(tlsConn)
	h.usesTLS = true
	return nil
}

// admit authenticates a caller and adds its session.
func (srv *Server) admit(h *handshake) (*session, *problem) {
	if srv.draining.Load() {
		return nil, problemShuttingDown
	}
	rejection := srv.authenticate(h)
	if rejection != nil {
		return nil, rejection
	}
	s, rejection := srv.newSession(h)
	if rejection != nil {
		return nil, rejection
	}
	if !srv.addSession(s) {
		return nil, tooManyConnectionsProblem(srv.options.MaxSessions)
	}
	return s, nil
}

// newSession creates a session from the startup parameters.
func (srv *Server) newSession(h *handshake) (*session, *problem) {
	parameters := h.startup.Parameters
	group := parameters["database"]
	if group == "" {
		group = parameters["user"]
	}
	size := secretSize30
	if h.startup.ProtocolVersion != pgproto3.ProtocolVersion30 {
		size = secretSize32
	}
	s := &session{
		server:       srv,
		id:           model.SessionID(srv.lastSession.Add(1)),
		conn:         h.conn,
		account:      h.account,
		reader:       h.reader,
		group:        model.GroupID(group),
		caller:       model.CallerID(parameters["user"]),
		durable:      srv.durablePositionOf(model.GroupID(group)),
		cancelSecret: make([]byte, size),
		mailbox:      newMailbox(),
	}
	_, _ = rand.Read(s.cancelSecret)
	rejection := s.readParameters(parameters)
	return s, rejection
}

// readParameters applies the startup parameters to the session.
func (s *session) readParameters(parameters map[string]string) *problem {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		proxyName, isProxy := strings.CutPrefix(strings.ToLower(name), proxyPrefix)
		if !isProxy {
			rejection := s.addStartupSetting(strings.ToLower(name), value)
			if rejection != nil {
				return rejection
			}
			continue
		}
		set, known := hintSetters[proxyName]
		if !known || proxyName == statementOnly {
			return asFatal(hintProblem(&HintError{Name: proxyName, Value: value, Detail: "not a setting of a session"}))
		}
		err := set(&s.hint, value)
		if err != nil {
			return asFatal(hintProblem(err))
		}
	}
	token := s.hint.token
	if token.Group != "" && token.Group != s.group {
		return asFatal(hintProblem(&HintError{Name: "token", Value: token.String(), Detail: "the token is of another group"}))
	}
	s.token = token
	return nil
}

func asFatal(p *problem) *problem {
	p.fatal = true
	return p
}

// startupResponse returns the messages that complete the startup, up to
// ReadyForQuery.
func (srv *Server) startupResponse(h *handshake, s *session) []byte {
	out, _ := (&pgproto3.AuthenticationOk{}).Encode(nil)
	for _, status := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: srv.options.ServerVersion},
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
	key := pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.cancelSecret}
	out, _ = key.Encode(out)
	return append(out, 'Z', 0, 0, 0, 5, statusIdle)
}

// -----------------------------------------------------------------------------
// The table of sessions.

// addSession adds a session, and reports false if there are too many.
func (srv *Server) addSession(s *session) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if len(srv.sessions) >= srv.options.MaxSessions {
		return false
	}
	srv.sessions[s.id] = s
	return true
}

func (srv *Server) removeSession(s *session) {
	srv.mu.Lock()
	delete(srv.sessions, s.id)
	srv.mu.Unlock()
}
