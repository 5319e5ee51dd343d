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

// session is one client connection.
type session struct {
	database  *Database
	conn      *faultConn
	backend   *pgproto3.Backend
	processID uint32
	secretKey []byte
	// control is true if the connection accepts control statements only.
	control bool
	// startup holds the startup parameters, and settings the values that were set
	// since.
	startup, settings map[string]string
	expectedWork      *workExpectation
	readOnly          bool
	tx                *transaction
	prepared          map[string]preparedStatement
	portals           map[string]*portal
	// pendingResult is the result whose rows have been sent but whose CommandComplete
	// is delayed until it is known whether the statement ends the implicit transaction.
	// If it does, the commit and its position come before the CommandComplete.
	pendingResult *result
	// skipUntilSync is true if messages are ignored up to the next Sync, because an
	// extended query failed.
	skipUntilSync bool

	mu sync.Mutex
	// cancel cancels the running statement. It is nil if none is running.
	cancel context.CancelCauseFunc
}

func newSession(database *Database, conn *faultConn, reader *bufio.Reader) *session {
	return &session{
		database: database,
		conn:     conn,
		backend:  pgproto3.NewBackend(reader, conn),
		settings: map[string]string{},
		prepared: map[string]preparedStatement{},
		portals:  map[string]*portal{},
	}
}

// serve serves the client until either side closes the connection.
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
	if s.completeStartup() != nil {
		return
	}
	for s.receive(ctx) {
	}
}

// receive receives and handles one message. It reports whether the connection
// stays open.
func (s *session) receive(ctx context.Context) bool {
	message, err := s.backend.Receive()
	if err != nil {
		return false
	}
	return s.handle(ctx, message)
}

func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	if s.skipUntilSync && !endsSkip(message) {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		s.query(ctx, message.String)
		return s.sendReady()
	case *pgproto3.Sync:
		s.skipUntilSync = false
		s.completeResult(true)
		return s.sendReady()
	case *pgproto3.Flush:
		// The pending result is completed at once, so its statement counts as the
		// last one of the implicit transaction, which is committed before the Sync.
		s.completeResult(true)
		return s.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	s.completeResult(false)
	if !s.skipUntilSync {
		s.handleExtended(ctx, message)
	}
	return true
}

func endsSkip(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Sync, *pgproto3.Terminate, *pgproto3.Query:
		return true
	}
	return false
}

// sendReady sends ReadyForQuery, so that the client may send the next statement, and
// flushes all responses. It reports whether the connection stays open.
func (s *session) sendReady() bool {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.backend.Flush() == nil
}

// -----------------------------------------------------------------------------
// Connecting.

// receiveStartup returns the startup parameters. After an error the connection
// must be closed.
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
			return nil, newSQLError(stateCanceled, "a cancel request ends its connection")
		default:
			// An SSL or GSS encryption request is refused; the client may continue
			// without encryption.
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "refuse encryption")
			}
		}
	}
}

// register adds the connection to the open ones and assigns its process ID. It
// returns an error if the database rejects the connection.
func (d *Database) register(s *session) error {
	_, refusing := d.faults.isLeaving(time.Now())
	if refusing && !s.control {
		return &sqlError{state: stateLeaving, message: "the database is leaving", fatal: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections >= d.options.Connections {
		return &sqlError{state: stateTooManyConnections, message: "too many connections", fatal: true}
	}
	d.connections++
	d.lastProcessID++
	s.processID = d.lastProcessID
	s.secretKey = make([]byte, 4)
	for i := range s.secretKey {
		s.secretKey[i] = byte(rand.Uint32())
	}
	d.sessions[s.processID] = s
	return nil
}

func (d *Database) unregister(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections--
	delete(d.sessions, s.processID)
}

func (s *session) authenticate() error {
	if s.database.options.Password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return errors.Wrap(err, "request the password")
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return errors.Wrap(err, "request the password")
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

// initialParameters lists the parameters that are sent to each client when it
// connects.
var initialParameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// completeStartup sends what ends the startup phase: parameters, cancellation key
// and ReadyForQuery.
func (s *session) completeStartup() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, setting := range initialParameters {
		s.sendParameterStatus(setting[0], setting[1])
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretKey})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return errors.Wrap(s.backend.Flush(), "complete the startup")
}

func (s *session) sendParameterStatus(name, value string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// reject sends an error. The caller closes the connection.
func (s *session) reject(err error) {
	s.sendError(err)
	_ = s.backend.Flush()
}

// sendError sends an error as an ErrorResponse. An error that is not a
// *sqlError is sent as a protocol violation.
func (s *session) sendError(err error) {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		sqlErr = newSQLError(stateProtocol, "%s", err)
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: sqlErr.severity(), SeverityUnlocalized: sqlErr.severity(),
		Code: sqlErr.state, Message: sqlErr.message,
	})
}

// -----------------------------------------------------------------------------
// Cancellation.

// cancelStatement cancels the running statement of the session with a process
// ID and secret key. It does nothing if there is no such session or statement.
func (d *Database) cancelStatement(process uint32, secret []byte) {
	d.mu.Lock()
	s := d.sessions[process]
	d.mu.Unlock()
	if s == nil || string(s.secretKey) != string(secret) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(newSQLError(stateCanceled, "canceling statement due to user request"))
	}
}

// cancellable returns the context for a statement, which cancelStatement can
// cancel, and a function that must be called when the statement has ended.
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

// query runs the statements of a simple query. They form one implicit
// transaction, unless they contain transaction statements.
func (s *session) query(ctx context.Context, sql string) {
	s.skipUntilSync = false
	s.completeResult(true)
	statements, err := parse(sql)
	if err != nil {
		s.failStatement(err)
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range statements {
		res, err := s.runStatement(ctx, st, nil)
		if err != nil {
			s.failStatement(err)
			return
		}
		if len(res.columns) > 0 {
			s.backend.Send(rowDescription(res.columns, nil))
		}
		if s.sendRows(res, nil, 0, res.rowCount) != nil {
			return
		}
		s.pendingResult = &res
		s.completeResult(i == len(statements)-1)
	}
}

// failStatement sends an error and rolls back the transaction in progress.
func (s *session) failStatement(err error) {
	s.pendingResult = nil
	s.tx = s.tx.afterError()
	s.sendError(err)
}

// flushRows is the number of rows after which the rows so far are flushed.
const flushRows = 256

// sendRows sends the rows of a result from index from up to, but excluding,
// index to.
func (s *session) sendRows(res result, formats []int16, from, to int) error {
	for i := from; i < to; i++ {
		s.backend.Send(dataRow(res.row(i), formats))
		if (i+1)%flushRows == 0 {
			if err := s.backend.Flush(); err != nil {
				return errors.Wrap(err, "send rows")
			}
		}
	}
	return nil
}

// completeResult sends the end of the pending result. If isLast is true, it
// first commits the implicit transaction. If there was a commit, its position is
// sent to the client before the CommandComplete.
func (s *session) completeResult(isLast bool) {
	committed, err := s.commitImplicit(isLast)
	if err != nil {
		s.failStatement(err)
		return
	}
	pending := s.pendingResult
	s.pendingResult = nil
	if pending != nil && !pending.committed.IsZero() {
		committed = pending.committed
	}
	if !committed.IsZero() {
		s.sendParameterStatus("group_position", committed.String())
		s.sendParameterStatus("group_commit", committed.String())
	}
	if pending != nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(pending.tag)})
	}
}

// resetAll resets the settings and removes the prepared statements and portals.
func (s *session) resetAll() {
	clear(s.settings)
	clear(s.prepared)
	clear(s.portals)
	s.expectedWork = nil
	s.readOnly = false
}

// setting returns the value of a setting, and whether the setting exists.
func (s *session) setting(name string) (string, bool) {
	if value, found := s.settings[name]; found {
		return value, true
	}
	for _, reported := range initialParameters {
		if strings.EqualFold(reported[0], name) {
			return reported[1], true
		}
	}
	value, found := s.startup[name]
	return value, found
}
