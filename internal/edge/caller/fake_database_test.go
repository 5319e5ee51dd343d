package caller

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fakeDatabase implements the database's side of the protocol. It answers a
// statement as answers defines; by default it recognizes a few statements and
// returns any other text in one row.
type fakeDatabase struct {
	listener net.Listener

	mu sync.Mutex
	// answers maps a statement to the function that answers it.
	answers map[string]func(c *fakeConn)
	// startupErrorState is the SQLSTATE with which connections are rejected;
	// empty to accept them.
	startupErrorState string
	// position is the applied position; its term is the one that group_work
	// must name.
	position model.Position
	// executed lists the statements that were run; canceled receives the
	// process ID of each cancel request.
	executed []string
	canceled chan uint32
	// statusQueries receives a value for each status query.
	statusQueries     chan struct{}
	connectionCount   int
	discardCount      int
	conns             map[*fakeConn]bool
	runningStatements string
}

// fakeConn is one connection of a fakeDatabase.
type fakeConn struct {
	db                *fakeDatabase
	conn              net.Conn
	backend           *pgproto3.Backend
	processID         uint32
	groupWork         string
	groupRead         bool
	transactionStatus byte
	prepared          map[string]string
	portal            string
	// ended is true if the answer closed the connection or stopped answering.
	ended bool
	// skipToSync is true if an error was sent and messages are skipped up to
	// Sync.
	skipToSync bool
}

func newFakeDatabase(t *testing.T) *fakeDatabase {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	db := &fakeDatabase{
		listener:          listener,
		answers:           map[string]func(*fakeConn){},
		position:          model.Position{Term: 7, Offset: 100},
		canceled:          make(chan uint32, 100),
		statusQueries:     make(chan struct{}, 100),
		conns:             map[*fakeConn]bool{},
		runningStatements: "0",
	}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			running.Add(1)
			go func() {
				defer running.Done()
				db.serve(conn)
			}()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		db.closeAll()
		running.Wait()
	})
	return db
}

func (db *fakeDatabase) address() netip.AddrPort {
	return db.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (db *fakeDatabase) closeAll() {
	db.mu.Lock()
	defer db.mu.Unlock()
	for c := range db.conns {
		c.conn.Close()
	}
}

// answerWith sets the function that answers a statement.
func (db *fakeDatabase) answerWith(sql string, answer func(c *fakeConn)) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.answers[sql] = answer
}

func (db *fakeDatabase) statements() []string {
	db.mu.Lock()
	defer db.mu.Unlock()
	return append([]string(nil), db.executed...)
}

// connections returns the number of connections that were opened.
func (db *fakeDatabase) connections() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.connectionCount
}

// resets returns the number of times that a connection was reset.
func (db *fakeDatabase) resets() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.discardCount
}

func (db *fakeDatabase) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch first := startup.(type) {
	case *pgproto3.CancelRequest:
		db.canceled <- first.ProcessID
		return
	case *pgproto3.StartupMessage:
	default:
		return
	}
	c := &fakeConn{db: db, conn: conn, backend: backend, transactionStatus: 'I', prepared: map[string]string{}}
	db.mu.Lock()
	db.connectionCount++
	c.processID = uint32(db.connectionCount)
	db.conns[c] = true
	errorState := db.startupErrorState
	db.mu.Unlock()
	defer func() {
		db.mu.Lock()
		delete(db.conns, c)
		db.mu.Unlock()
	}()
	if errorState != "" {
		c.sendError(errorState, "refused")
		backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: []byte{1, 2, 3, 4}})
	c.sendReady()
	c.loop()
}

func (c *fakeConn) loop() {
	for !c.ended {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		if c.skipToSync {
			if _, sync := message.(*pgproto3.Sync); !sync {
				continue
			}
		}
		c.handleMessage(message)
	}
	// A connection that stopped answering stays open until the other side
	// closes it.
	for {
		_, err := c.backend.Receive()
		if err != nil {
			return
		}
	}
}

func (c *fakeConn) handleMessage(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Query:
		c.answerQuery(message.String)
		if !c.ended {
			c.sendReady()
		}
	case *pgproto3.Parse:
		if _, found := c.prepared[message.Name]; found && message.Name != "" {
			c.sendError("42P05", "prepared statement exists: "+message.Name)
			return
		}
		c.prepared[message.Name] = message.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, found := c.prepared[message.PreparedStatement]
		if !found {
			c.sendError("26000", "no prepared statement "+message.PreparedStatement)
			return
		}
		c.portal = sql
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			c.backend.Send(&pgproto3.ParameterDescription{})
		}
		c.sendDescription()
	case *pgproto3.Execute:
		c.answerExecute(c.portal)
	case *pgproto3.Close:
		delete(c.prepared, message.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.skipToSync = false
		c.sendReady()
	case *pgproto3.Terminate:
		c.ended = true
	}
}

func (c *fakeConn) sendDescription() {
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("echo"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1},
	}})
}

func (c *fakeConn) sendReady() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.transactionStatus})
	c.backend.Flush()
}

func (c *fakeConn) sendError(sqlState, text string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: sqlState, Message: text})
	c.skipToSync = true
	if c.transactionStatus == 'T' {
		c.transactionStatus = 'E'
	}
}

// answerQuery answers a simple query.
func (c *fakeConn) answerQuery(sql string) {
	defer func() { c.skipToSync = false }()
	if sql == "" {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.answerStatement(sql, true)
}

// answerExecute answers an Execute, which sends no description.
func (c *fakeConn) answerExecute(sql string) { c.answerStatement(sql, false) }

func (c *fakeConn) answerStatement(sql string, describe bool) {
	trimmed := strings.TrimSpace(sql)
	if commentStart := strings.Index(trimmed, "/*"); commentStart >= 0 {
		trimmed = strings.TrimSpace(trimmed[:commentStart])
	}
	if c.answerSetup(trimmed) {
		return
	}
	c.db.mu.Lock()
	c.db.executed = append(c.db.executed, trimmed)
	answer := c.db.answers[trimmed]
	position := c.db.position
	c.db.mu.Unlock()
	if term, _, _ := strings.Cut(c.groupWork, "/"); c.groupWork != "" && term != fmt.Sprint(uint64(position.Term)) {
		c.sendError("EG002", "term is "+fmt.Sprint(uint64(position.Term)))
		return
	}
	if answer != nil {
		answer(c)
		return
	}
	c.answerDefault(trimmed, describe)
}

// answerSetup answers the statements that set the connection up.
func (c *fakeConn) answerSetup(sql string) bool {
	switch {
	case strings.HasPrefix(sql, "SET group_work = "):
		c.groupWork = strings.Trim(strings.TrimPrefix(sql, "SET group_work = "), "'")
		c.sendComplete("SET")
	case strings.HasPrefix(sql, "SET group_read = "):
		c.groupRead = strings.Contains(sql, "on")
		c.sendComplete("SET")
	case sql == "DISCARD ALL":
		c.groupWork, c.groupRead = "", false
		c.prepared = map[string]string{}
		c.db.mu.Lock()
		c.db.discardCount++
		c.db.mu.Unlock()
		c.sendComplete("DISCARD ALL")
	case sql == "CALL group_status()":
		c.sendStatus()
	default:
		return false
	}
	return true
}

func (c *fakeConn) sendStatus() {
	c.db.mu.Lock()
	running := c.db.runningStatements
	c.db.mu.Unlock()
	select {
	case c.db.statusQueries <- struct{}{}:
	default:
	}
	var fields []pgproto3.FieldDescription
	for range 11 {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("c"), DataTypeOID: 25})
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fields})
	row := strings.Split("a,primary,7,,7:100,7:100,,t,f,3,"+running, ",")
	values := make([][]byte, len(row))
	for i := range row {
		values[i] = []byte(row[i])
	}
	c.backend.Send(&pgproto3.DataRow{Values: values})
	c.sendComplete("CALL")
}

// answerDefault answers a statement for which a test has set no answer.
func (c *fakeConn) answerDefault(sql string, describe bool) {
	word, _, _ := strings.Cut(sql, " ")
	if c.transactionStatus == 'E' && word == "COMMIT" {
		word = "ROLLBACK"
	}
	if c.transactionStatus == 'E' && word != "ROLLBACK" {
		c.sendError("25P02", "aborted")
		return
	}
	switch word {
	case "BEGIN", "begin":
		c.transactionStatus = 'T'
		c.sendPosition()
		c.sendComplete("BEGIN")
	case "COMMIT", "commit":
		if c.transactionStatus == 'T' {
			c.sendCommitPosition()
		}
		c.transactionStatus = 'I'
		c.sendComplete("COMMIT")
	case "ROLLBACK", "rollback":
		c.transactionStatus = 'I'
		c.sendPosition()
		c.sendComplete("ROLLBACK")
	case "INSERT":
		if c.groupRead {
			c.sendError("25006", "read only")
			return
		}
		c.sendPosition()
		if c.transactionStatus == 'I' {
			c.sendCommitPosition()
		}
		c.sendComplete("INSERT 0 1")
	case "SET":
		c.sendPosition()
		c.sendComplete("SET")
	default:
		if describe {
			c.sendDescription()
		}
		c.sendPosition()
		c.sendRow(sql)
		c.sendComplete("SELECT 1")
	}
}

func (c *fakeConn) sendRow(value string) {
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (c *fakeConn) sendComplete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendPosition sends the position at which an answer was read.
func (c *fakeConn) sendPosition() {
	c.db.mu.Lock()
	position := c.db.position
	c.db.mu.Unlock()
	c.sendParameter("group_position", position.String())
}

// sendCommitPosition appends to the log and sends the position of the commit.
func (c *fakeConn) sendCommitPosition() {
	c.db.mu.Lock()
	c.db.position.Offset++
	position := c.db.position
	c.db.mu.Unlock()
	c.sendParameter("group_position", position.String())
	c.sendParameter("group_commit", position.String())
}

func (c *fakeConn) sendParameter(name, value string) {
	c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// disconnect flushes the output and closes the connection.
func (c *fakeConn) disconnect() {
	c.backend.Flush()
	c.conn.Close()
	c.ended = true
}

// stopAnswering flushes the output and sends nothing more.
func (c *fakeConn) stopAnswering() {
	c.backend.Flush()
	c.ended = true
}
