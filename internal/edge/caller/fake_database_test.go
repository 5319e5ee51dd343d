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

// fakeDatabase speaks the database's side of the protocol. What it answers is
// in its table of statements; any other text is echoed in one row.
type fakeDatabase struct {
	listener net.Listener

	mu sync.Mutex
	// answers maps a statement to what is sent for it.
	answers map[string]func(c *fakeConn)
	// refuse is sent instead of a welcome, where it is set.
	refuse string
	// position is the applied position, and term what group_work must name.
	position model.Position
	// seen lists the statements that were run, canceled counts the cancel
	// requests by process.
	seen     []string
	canceled chan uint32
	// asked receives a value for each question for the status.
	asked    chan struct{}
	opened   int
	discards int
	conns    map[*fakeConn]bool
	busy     string
}

// fakeConn is one connection of a fakeDatabase.
type fakeConn struct {
	db      *fakeDatabase
	conn    net.Conn
	backend *pgproto3.Backend
	process uint32
	work    string
	reads   bool
	status  byte
	named   map[string]string
	portal  string
	// gone says that the answer has closed or muted the connection.
	gone bool
	// skip says that an error has to be followed by a Sync.
	skip bool
}

func newFakeDatabase(t *testing.T) *fakeDatabase {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	db := &fakeDatabase{
		listener: listener,
		answers:  map[string]func(*fakeConn){},
		position: model.Position{Term: 7, Offset: 100},
		canceled: make(chan uint32, 100),
		asked:    make(chan struct{}, 100),
		conns:    map[*fakeConn]bool{},
		busy:     "0",
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

// on sets the answer to a statement.
func (db *fakeDatabase) on(sql string, answer func(c *fakeConn)) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.answers[sql] = answer
}

func (db *fakeDatabase) statements() []string {
	db.mu.Lock()
	defer db.mu.Unlock()
	return append([]string(nil), db.seen...)
}

// connections returns how many connections were opened.
func (db *fakeDatabase) connections() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.opened
}

// resets returns how often a connection was reset.
func (db *fakeDatabase) resets() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.discards
}

func (db *fakeDatabase) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	first, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch first := first.(type) {
	case *pgproto3.CancelRequest:
		db.canceled <- first.ProcessID
		return
	case *pgproto3.StartupMessage:
	default:
		return
	}
	c := &fakeConn{db: db, conn: conn, backend: backend, status: 'I', named: map[string]string{}}
	db.mu.Lock()
	db.opened++
	c.process = uint32(db.opened)
	db.conns[c] = true
	refuse := db.refuse
	db.mu.Unlock()
	defer func() {
		db.mu.Lock()
		delete(db.conns, c)
		db.mu.Unlock()
	}()
	if refuse != "" {
		c.fail(refuse, "refused")
		backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: c.process, SecretKey: []byte{1, 2, 3, 4}})
	c.ready()
	c.loop()
}

func (c *fakeConn) loop() {
	for !c.gone {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		if c.skip {
			if _, sync := message.(*pgproto3.Sync); !sync {
				continue
			}
		}
		c.take(message)
	}
	// A muted connection stays open until the other side closes it.
	for {
		_, err := c.backend.Receive()
		if err != nil {
			return
		}
	}
}

func (c *fakeConn) take(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Query:
		c.run(message.String)
		if !c.gone {
			c.ready()
		}
	case *pgproto3.Parse:
		if _, found := c.named[message.Name]; found && message.Name != "" {
			c.fail("42P05", "prepared statement exists: "+message.Name)
			return
		}
		c.named[message.Name] = message.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, found := c.named[message.PreparedStatement]
		if !found {
			c.fail("26000", "no prepared statement "+message.PreparedStatement)
			return
		}
		c.portal = sql
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			c.backend.Send(&pgproto3.ParameterDescription{})
		}
		c.describe()
	case *pgproto3.Execute:
		c.execute(c.portal)
	case *pgproto3.Close:
		delete(c.named, message.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.skip = false
		c.ready()
	case *pgproto3.Terminate:
		c.gone = true
	}
}

func (c *fakeConn) describe() {
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("echo"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1},
	}})
}

func (c *fakeConn) ready() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	c.backend.Flush()
}

func (c *fakeConn) fail(state, text string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: text})
	c.skip = true
	if c.status == 'T' {
		c.status = 'E'
	}
}

// run answers a simple query.
func (c *fakeConn) run(sql string) {
	defer func() { c.skip = false }()
	if sql == "" {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.runWith(sql, true)
}

// execute answers an Execute, which sends no description.
func (c *fakeConn) execute(sql string) { c.runWith(sql, false) }

func (c *fakeConn) runWith(sql string, describe bool) {
	bare := strings.TrimSpace(sql)
	if at := strings.Index(bare, "/*"); at >= 0 {
		bare = strings.TrimSpace(bare[:at])
	}
	if c.setUp(bare) {
		return
	}
	c.db.mu.Lock()
	c.db.seen = append(c.db.seen, bare)
	answer := c.db.answers[bare]
	position := c.db.position
	c.db.mu.Unlock()
	if term, _, _ := strings.Cut(c.work, "/"); c.work != "" && term != fmt.Sprint(uint64(position.Term)) {
		c.fail("EG002", "term is "+fmt.Sprint(uint64(position.Term)))
		return
	}
	if answer != nil {
		answer(c)
		return
	}
	c.standard(bare, describe)
}

// setUp answers the statements that set the connection up.
func (c *fakeConn) setUp(sql string) bool {
	switch {
	case strings.HasPrefix(sql, "SET group_work = "):
		c.work = strings.Trim(strings.TrimPrefix(sql, "SET group_work = "), "'")
		c.complete("SET")
	case strings.HasPrefix(sql, "SET group_read = "):
		c.reads = strings.Contains(sql, "on")
		c.complete("SET")
	case sql == "DISCARD ALL":
		c.work, c.reads = "", false
		c.named = map[string]string{}
		c.db.mu.Lock()
		c.db.discards++
		c.db.mu.Unlock()
		c.complete("DISCARD ALL")
	case sql == "CALL group_status()":
		c.sendStatus()
	default:
		return false
	}
	return true
}

func (c *fakeConn) sendStatus() {
	c.db.mu.Lock()
	busy := c.db.busy
	c.db.mu.Unlock()
	select {
	case c.db.asked <- struct{}{}:
	default:
	}
	var fields []pgproto3.FieldDescription
	for range 11 {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("c"), DataTypeOID: 25})
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fields})
	row := strings.Split("a,primary,7,,7:100,7:100,,t,f,3,"+busy, ",")
	values := make([][]byte, len(row))
	for i := range row {
		values[i] = []byte(row[i])
	}
	c.backend.Send(&pgproto3.DataRow{Values: values})
	c.complete("CALL")
}

// standard answers as a database would that echoes what it is asked.
func (c *fakeConn) standard(sql string, describe bool) {
	word, _, _ := strings.Cut(sql, " ")
	if c.status == 'E' && word == "COMMIT" {
		word = "ROLLBACK"
	}
	if c.status == 'E' && word != "ROLLBACK" {
		c.fail("25P02", "aborted")
		return
	}
	switch word {
	case "BEGIN", "begin":
		c.status = 'T'
		c.shown()
		c.complete("BEGIN")
	case "COMMIT", "commit":
		if c.status == 'T' {
			c.committed()
		}
		c.status = 'I'
		c.complete("COMMIT")
	case "ROLLBACK", "rollback":
		c.status = 'I'
		c.shown()
		c.complete("ROLLBACK")
	case "INSERT":
		if c.reads {
			c.fail("25006", "read only")
			return
		}
		c.shown()
		if c.status == 'I' {
			c.committed()
		}
		c.complete("INSERT 0 1")
	case "SET":
		c.shown()
		c.complete("SET")
	default:
		if describe {
			c.describe()
		}
		c.shown()
		c.row(sql)
		c.complete("SELECT 1")
	}
}

func (c *fakeConn) row(value string) {
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (c *fakeConn) complete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// shown sends the position of the state that an answer is read from.
func (c *fakeConn) shown() {
	c.db.mu.Lock()
	position := c.db.position
	c.db.mu.Unlock()
	c.parameter("group_position", position.String())
}

// committed appends to the log and tells the commit's position.
func (c *fakeConn) committed() {
	c.db.mu.Lock()
	c.db.position.Offset++
	position := c.db.position
	c.db.mu.Unlock()
	c.parameter("group_position", position.String())
	c.parameter("group_commit", position.String())
}

func (c *fakeConn) parameter(name, value string) {
	c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// cut flushes what was sent and closes the connection.
func (c *fakeConn) cut() {
	c.backend.Flush()
	c.conn.Close()
	c.gone = true
}

// mute flushes what was sent and says no more.
func (c *fakeConn) mute() {
	c.backend.Flush()
	c.gone = true
}
