package database

import (
	"bufio"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// session is one client's connection.
type session struct {
	database *Database
	conn     *gatedConn
	backend  *pgproto3.Backend
	process  uint32
	secret   []byte
	// control says that the connection is for control statements.
	control bool
	// startup holds the startup parameters, settings what was set since.
	startup, settings map[string]string
	work              *work
	readOnly          bool
	tx                *transaction
	prepared          map[string]prepared
	portals           map[string]*portal
	// held is an answer whose end is kept back until it is clear whether it
	// commits.
	held *result
	// skipping says that an error has ended the extended queries up to Sync.
	skipping bool

	mu sync.Mutex
	// cancel withdraws the running statement, nil where there is none.
	cancel context.CancelCauseFunc
}

func newSession(database *Database, conn *gatedConn, reader *bufio.Reader) *session {
	return &session{
		database: database,
		conn:     conn,
		backend:  pgproto3.NewBackend(reader, conn),
		settings: map[string]string{},
		prepared: map[string]prepared{},
		portals:  map[string]*portal{},
	}
}

// serve speaks with the client until either side ends the connection.
func (s *session) serve(ctx context.Context) {
	startup, err := s.receiveStartup()
	if err != nil {
		return
	}
	s.startup = startup
	s.control = startup["group_control"] == "on"
	if err := s.database.register(s); err != nil {
		s.reject(err)
		return
	}
	defer s.database.unregister(s)
	if !task.Sleep(ctx, s.database.options.ConnectDelay) {
		return
	}
	if err := s.authenticate(); err != nil {
		s.reject(err)
		return
	}
	if s.greet() != nil {
		return
	}
	for s.receive(ctx) {
	}
}

// receive handles one message, and reports whether more may come.
func (s *session) receive(ctx context.Context) bool {
	message, err := s.backend.Receive()
	if err != nil {
		return false
	}
	return s.handle(ctx, message)
}

func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	if s.skipping && !endsSkipping(message) {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		s.query(ctx, message.String)
		return s.ready()
	case *pgproto3.Sync:
		s.skipping = false
		s.finish(true)
		return s.ready()
	case *pgproto3.Flush:
		s.finish(true)
		return s.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	s.finish(false)
	if !s.skipping {
		s.extended(ctx, message)
	}
	return true
}

func endsSkipping(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Sync, *pgproto3.Terminate, *pgproto3.Query:
		return true
	}
	return false
}

// ready tells the client that the next statement may come, and sends all.
func (s *session) ready() bool {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.backend.Flush() == nil
}

// -----------------------------------------------------------------------------
// Connecting.

// receiveStartup returns the startup parameters. Its error ends the
// connection.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "receive the startup message")
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message.Parameters, nil
		case *pgproto3.CancelRequest:
			s.database.cancelStatement(message.ProcessID, message.SecretKey)
			return nil, failure(stateCanceled, "a cancel request ends its connection")
		default:
			// Encryption is refused; the client goes on without it.
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "refuse encryption")
			}
		}
	}
}

// register counts the connection and gives it a process id.
func (d *Database) register(s *session) error {
	_, closed := d.faults.isLeaving(time.Now())
	if closed && !s.control {
		return &sqlError{state: stateLeaving, message: "the database is leaving", fatal: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections >= d.options.Connections {
		return &sqlError{state: stateTooManyConnections, message: "too many connections", fatal: true}
	}
	d.connections++
	d.lastProcess++
	s.process = d.lastProcess
	s.secret = make([]byte, 4)
	for i := range s.secret {
		s.secret[i] = byte(rand.Uint32())
	}
	d.sessions[s.process] = s
	return nil
}

func (d *Database) unregister(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections--
	delete(d.sessions, s.process)
}

func (s *session) authenticate() error {
	if s.database.options.Password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return errors.Wrap(err, "ask for the password")
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return errors.Wrap(err, "ask for the password")
	}
	message, err := s.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "receive the password")
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok || password.Password != s.database.options.Password {
		return &sqlError{state: stateInvalidPassword, message: "wrong password", fatal: true}
	}
	return nil
}

// reportedAtStart lists the settings that a client is told when it connects.
var reportedAtStart = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

func (s *session) greet() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, setting := range reportedAtStart {
		s.report(setting[0], setting[1])
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return errors.Wrap(s.backend.Flush(), "greet the client")
}

func (s *session) report(name, value string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// reject sends an error and leaves the connection to be closed.
func (s *session) reject(err error) {
	s.sendError(err)
	_ = s.backend.Flush()
}

// sendError sends an error as the protocol does.
func (s *session) sendError(err error) {
	var known *sqlError
	if !errors.As(err, &known) {
		known = failure(stateProtocol, "%s", err)
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: known.severity(), SeverityUnlocalized: known.severity(),
		Code: known.state, Message: known.message,
	})
}

// -----------------------------------------------------------------------------
// Cancelling.

// cancelStatement withdraws what runs on the connection with a process id and
// secret; nothing happens where there is none.
func (d *Database) cancelStatement(process uint32, secret []byte) {
	d.mu.Lock()
	s := d.sessions[process]
	d.mu.Unlock()
	if s == nil || string(s.secret) != string(secret) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(failure(stateCanceled, "canceling statement due to user request"))
	}
}

// cancellable returns the context of a running statement, and what ends it.
func (s *session) cancellable(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.setCancel(cancel)
	return ctx, func() {
		s.setCancel(nil)
		cancel(nil)
	}
}

func (s *session) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

// -----------------------------------------------------------------------------
// Simple queries.

// query runs the statements of a simple query, as one transaction where it
// does not say otherwise.
func (s *session) query(ctx context.Context, sql string) {
	s.skipping = false
	s.finish(true)
	statements, err := parse(sql)
	if err != nil {
		s.fail(err)
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range statements {
		res, err := s.run(ctx, st, nil)
		if err != nil {
			s.fail(err)
			return
		}
		if len(res.columns) > 0 {
			s.backend.Send(described(res.columns, nil))
		}
		if s.sendRows(res, nil, 0, res.length) != nil {
			return
		}
		s.held = &res
		s.finish(i == len(statements)-1)
	}
}

// fail sends an error and undoes the transaction in progress.
func (s *session) fail(err error) {
	s.held = nil
	s.tx = s.tx.afterError()
	s.sendError(err)
}

// flushSize is the amount of rows after which an answer is sent on, counted in
// rows.
const flushSize = 256

// sendRows sends the rows of a result from one to before another.
func (s *session) sendRows(res result, formats []int16, from, to int) error {
	for i := from; i < to; i++ {
		s.backend.Send(encoded(res.row(i), formats))
		if (i+1)%flushSize == 0 {
			if err := s.backend.Flush(); err != nil {
				return errors.Wrap(err, "send rows")
			}
		}
	}
	return nil
}

// finish ends the answer that is held back. With last, a transaction that no
// BEGIN has opened is committed before.
func (s *session) finish(last bool) {
	committed, err := s.commitImplicit(last)
	if err != nil {
		s.fail(err)
		return
	}
	held := s.held
	s.held = nil
	if held != nil && !held.committed.IsZero() {
		committed = held.committed
	}
	if !committed.IsZero() {
		s.report("group_position", committed.String())
		s.report("group_commit", committed.String())
	}
	if held != nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(held.tag)})
	}
}

// resetAll ends all session state.
func (s *session) resetAll() {
	clear(s.settings)
	clear(s.prepared)
	clear(s.portals)
	s.work = nil
	s.readOnly = false
}

// setting returns the value of a setting in force.
func (s *session) setting(name string) (string, bool) {
	if value, found := s.settings[name]; found {
		return value, true
	}
	for _, reported := range reportedAtStart {
		if strings.EqualFold(reported[0], name) {
			return reported[1], true
		}
	}
	value, found := s.startup[name]
	return value, found
}
