package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one committed transaction.
type commit struct {
	term, num uint64
	writes    map[string]string
	// ids are the ids of the writes in it, attempts the client attempts that they belong to.
	ids, attempts []string
	session       int
	// stale is set if it was made at a primary that had been replaced, rolledBack if the log
	// of a promoted database lacks it.
	stale, rolledBack bool
	ackedAt           time.Time
	at                time.Time
}

// group is one service with its databases. One mutex guards all of it.
type group struct {
	mu        sync.Mutex
	name      string
	databases []*database
	maxTerm   uint64
	sync      bool
	// promoteAfter is the time from a promotion until it takes effect.
	promoteAfter time.Duration
	commits      []*commit
	changed      chan struct{}
	judge        *judge
	record       *record
	stop         chan struct{}
}

type database struct {
	g        *group
	id, zone string
	address  string
	listener net.Listener
	slots    int
	maxConns int
	state    string
	born     int64
	onRole   func()
	seq      int
	// written is what the entry in the store says, without the sequence number.
	written  string
	primary  bool
	term     uint64
	leader   *database
	log      []*commit
	received []time.Time
	// receiveAfter is how long a commit is on its way, applyAfter how much later it is applied.
	receiveAfter, applyAfter time.Duration
	deaf, down               bool
	busyUntil                time.Time
	conns                    map[net.Conn]bool
	running, queued          int
	work                     time.Duration
	// reportRows is the number of rows of the item "report".
	reportRows int
}

func (d *database) end() string { return position(d.log) }

func position(log []*commit) string {
	if len(log) == 0 {
		return "1.0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.num)
}

func parsePosition(text string) (term, num uint64) {
	a, b, _ := strings.Cut(text, ".")
	term, _ = strconv.ParseUint(a, 10, 64)
	num, _ = strconv.ParseUint(b, 10, 64)
	return term, num
}

func isBefore(a, b string) bool {
	at, an := parsePosition(a)
	bt, bn := parsePosition(b)
	return at < bt || at == bt && an < bn
}

// applied returns the part of the log that reads see.
func (d *database) applied() []*commit {
	if d.primary {
		return d.log
	}
	now, n := time.Now(), len(d.log)
	for n > 0 && d.received[n-1].Add(d.applyAfter).After(now) {
		n--
	}
	return d.log[:n]
}

// replicate passes commits to the replicas until the group ends.
func (g *group) replicate() {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(time.Millisecond):
		}
		g.mu.Lock()
		progress := false
		for _, r := range g.databases {
			l := r.leader
			if r.primary || r.down || r.deaf || l == nil || l.down || !l.primary {
				continue
			}
			for len(r.log) < len(l.log) && time.Since(l.log[len(r.log)].at) >= r.receiveAfter {
				r.log = append(r.log, l.log[len(r.log)])
				r.received = append(r.received, time.Now())
				progress = true
			}
		}
		if progress {
			g.notify()
		}
		g.mu.Unlock()
	}
}

func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// promote lets a database lead the next term. It returns the status of the call.
func (g *group) promote(id, holder, token string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *database
	for _, d := range g.databases {
		if d.id == id {
			chosen = d
		}
	}
	status := 200
	switch {
	case chosen == nil || chosen.down:
		status = 409
	case chosen.primary && chosen.term == g.maxTerm:
	default:
		time.AfterFunc(g.promoteAfter, func() { g.lead(chosen) })
	}
	g.record.line("promote service=%s id=%s holder=%s token=%s status=%d", g.name, id, holder, token, status)
	return status
}

func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || d.primary && d.term == g.maxTerm {
		return
	}
	previous := make([]*database, 0)
	for _, o := range g.databases {
		if o.primary {
			previous = append(previous, o)
		}
	}
	g.maxTerm++
	d.primary, d.term, d.leader = true, g.maxTerm, d
	g.record.line("leads service=%s id=%s term=%d log=%s", g.name, d.id, d.term, d.end())
	held := map[*commit]bool{}
	for _, c := range d.log {
		held[c] = true
	}
	lost := 0
	for _, c := range g.commits {
		if held[c] || c.rolledBack {
			continue
		}
		c.rolledBack = true
		if !c.ackedAt.IsZero() {
			lost++
			g.record.line("acknowledged commit %d.%d of %s (ids %v, acknowledged %v ago) is not in the log of %s, which is promoted", c.term, c.num, g.name, c.ids, time.Since(c.ackedAt).Round(time.Millisecond), d.id)
			if g.sync {
				g.judge.broken("LOST", "service %s: commit %d.%d, acknowledged, is not in the log of promoted %s", g.name, c.term, c.num, d.id)
			}
		}
	}
	for _, o := range g.databases {
		if o != d && !o.down && !o.primary {
			o.follow(d)
		}
	}
	for _, o := range previous {
		if o != d {
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if o.primary && o.term < g.maxTerm && !o.down {
					o.stepDown()
				}
			})
		}
	}
	if d.onRole != nil {
		d.onRole()
	}
}

// follow makes the database a replica of another one.
func (d *database) follow(leader *database) {
	d.primary, d.leader, d.term = false, leader, leader.term
	n := 0
	for n < len(d.log) && n < len(leader.log) && d.log[n] == leader.log[n] {
		n++
	}
	if n < len(d.log) {
		d.log, d.received = d.log[:n:n], d.received[:n:n]
		d.busyUntil = time.Now().Add(30 * time.Millisecond)
	}
}

func (d *database) stepDown() {
	d.primary = false
	for _, o := range d.g.databases {
		if o.primary && !o.down && o.term > d.term {
			d.follow(o)
		}
	}
}

func (d *database) listen() {
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		unrunnable("a database can't listen: %v", err)
	}
	d.address = listener.Addr().String()
	d.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
}

func (d *database) crash() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down = true
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.g.record.line("crash service=%s id=%s log=%s", d.g.name, d.id, d.end())
	d.g.notify()
}

func (d *database) restart() {
	d.g.mu.Lock()
	d.down, d.born, d.conns = false, time.Now().UnixMilli(), map[net.Conn]bool{}
	if d.primary && d.term < d.g.maxTerm {
		d.primary = false
	}
	for _, o := range d.g.databases {
		if o != d && o.primary && o.term == d.g.maxTerm {
			d.follow(o)
		}
	}
	d.g.record.line("restart service=%s id=%s log=%s", d.g.name, d.id, d.end())
	d.g.mu.Unlock()
	d.listen()
}

// -----------------------------------------------------------------------------
// Connections.

type dbSession struct {
	d        *database
	conn     net.Conn
	state    string
	readOnly bool
	writes   map[string]string
	ids      []string
	attempts []string
	owner    *clientTx
	session  int
	values   map[string]string
	prepared map[string]string
	// rows is the number of DATA messages to send before the rest of the answer.
	rows int
}

// occupy takes a slot, and reports false if there is no room.
func (d *database) occupy() bool {
	const queue = 24
	d.g.mu.Lock()
	if d.queued >= queue && d.running >= d.slots {
		d.g.mu.Unlock()
		return false
	}
	d.queued++
	for d.running >= d.slots && !d.down {
		changed := d.g.changed
		d.g.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(2 * time.Millisecond):
		}
		d.g.mu.Lock()
	}
	d.queued--
	d.running++
	d.g.mu.Unlock()
	return true
}

func (d *database) vacate() {
	d.g.mu.Lock()
	d.running--
	d.g.mu.Unlock()
}

func (d *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	d.g.mu.Lock()
	switch {
	case d.down:
		d.g.mu.Unlock()
		return
	case len(f) < 3 || f[1] != d.g.name || len(f) > 3 && f[3] != d.id:
		d.g.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", names["wrong"], d.id)
		return
	case len(d.conns) >= d.maxConns:
		d.g.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", names["connection_limit"], d.id)
		return
	}
	d.conns[conn] = true
	d.g.mu.Unlock()
	defer func() {
		d.g.mu.Lock()
		delete(d.conns, conn)
		d.g.mu.Unlock()
	}()
	if d.occupy() {
		time.Sleep(12 * time.Millisecond)
		d.vacate()
	}
	d.g.mu.Lock()
	pos := position(d.applied())
	d.g.mu.Unlock()
	fmt.Fprintf(conn, "READY I %s\r\n", pos)
	s := &dbSession{d: d, conn: conn, state: "I", values: map[string]string{}, prepared: map[string]string{}}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.answer(id, text) {
			return
		}
	}
}

func readLine(reader *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, chunk...)
		if strings.HasSuffix(string(line), "\r\n") {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (s *dbSession) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.d.id + "\r\n"
}

// answer runs a request and sends its answer. It returns false if the connection ends.
func (s *dbSession) answer(id, text string) bool {
	d, g := s.d, s.d.g
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	takesSlot := verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" || verb == "STATUS"
	out := ""
	busy := false
	if takesSlot {
		if !d.occupy() {
			busy = true
		} else {
			if verb != "STATUS" {
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(d.work)))
			}
			defer d.vacate()
		}
	}
	g.mu.Lock()
	if d.down {
		g.mu.Unlock()
		return false
	}
	if id != "-" {
		g.judge.arrived(d, id, text, s)
	}
	var made *commit
	switch {
	case busy || time.Now().Before(d.busyUntil) && takesSlot:
		out = s.fail("BUSY")
	case after != "" && isBefore(position(d.applied()), after):
		out = s.fail("LAGGING")
	default:
		out, made = s.run(id, verb, rest, text)
	}
	pos := position(d.applied())
	if made != nil && g.sync {
		pos = fmt.Sprintf("%d.%d", made.term, made.num)
		for !d.down && !g.isReceived(made, d) {
			changed := g.changed
			g.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(5 * time.Millisecond):
			}
			g.mu.Lock()
		}
	}
	down := d.down
	g.mu.Unlock()
	out += "READY " + s.state + " " + pos + "\r\n"
	if down {
		return false
	}
	if s.rows > 0 {
		message := []byte("DATA " + strings.Repeat("x", reportRowBytes) + "\r\n")
		for range s.rows {
			if _, err := s.conn.Write(message); err != nil {
				return false
			}
		}
		s.rows = 0
	}
	_, err := s.conn.Write([]byte(out))
	return err == nil
}

// isReceived reports whether a replica has received a commit.
func (g *group) isReceived(c *commit, at *database) bool {
	for _, r := range g.databases {
		if r != at && !r.down && len(r.log) >= int(c.num) && r.log[c.num-1] == c {
			return true
		}
	}
	return false
}

func (s *dbSession) complete(id, data string) string {
	signature := s.d.g.judge.sign(id, data)
	if data != "" {
		return "DATA " + data + "\r\nCOMPLETE " + signature + "\r\n"
	}
	return "COMPLETE " + signature + "\r\n"
}

// run carries a request out. The group is locked.
func (s *dbSession) run(id, verb, rest, text string) (string, *commit) {
	d, g := s.d, s.d.g
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.fail("MALFORMED"), nil
	}
	switch verb {
	case "STATUS", names["step_down"]:
		if verb != "STATUS" {
			if term, _ := strconv.ParseUint(rest, 10, 64); term > d.term && d.primary {
				g.record.line("step-down service=%s id=%s log=%s", g.name, d.id, d.end())
				d.term = max(d.term, term)
				d.stepDown()
			}
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		return fmt.Sprintf("DATA %s %d %s 0 0 %d %d\r\nCOMPLETE -\r\n", role, d.term, d.end(), d.running, len(d.conns)), nil
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "CLOSE":
		delete(s.prepared, rest)
	case "BEGIN":
		if s.state != "I" {
			return s.fail("MALFORMED"), nil
		}
		if rest != "READ" && !d.primary {
			return s.fail("READONLY"), nil
		}
		s.state, s.readOnly, s.writes, s.ids, s.attempts, s.owner = "T", rest == "READ", map[string]string{}, nil, nil, nil
	case "ROLLBACK":
		s.state, s.writes, s.owner = "I", nil, nil
	case "COMMIT":
		state, writes, ids, attempts := s.state, s.writes, s.ids, s.attempts
		g.judge.runs(s, id, text, "")
		s.state, s.writes, s.owner = "I", nil, nil
		if state != "T" {
			return "ERROR ABORTED " + d.id + "\r\n", nil
		}
		if len(writes) == 0 {
			return s.complete(id, ""), nil
		}
		if !d.primary {
			return "ERROR READONLY " + d.id + "\r\n", nil
		}
		made := d.commit(id, writes, ids, attempts, s.session)
		return s.complete(id, ""), made
	case "READ", "WRITE", "EXECUTE":
		return s.access(id, verb, rest, text)
	default:
		return s.fail("MALFORMED"), nil
	}
	return "COMPLETE -\r\n", nil
}

func (s *dbSession) access(id, verb, rest, text string) (string, *commit) {
	d, g := s.d, s.d.g
	shape := ""
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		found := false
		if shape, found = s.prepared[name]; !found {
			return s.fail("NOSTMT"), nil
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	if verb == "READ" {
		c := g.judge.runs(s, id, text, shape)
		log := d.applied()
		g.judge.reads(s, c, log)
		if item == "report" {
			s.rows = d.reportRows
			return s.complete(id, ""), nil
		}
		found := "none"
		for i := len(log) - 1; i >= 0; i-- {
			if v, is := log[i].writes[item]; is {
				found = v
				break
			}
		}
		if own, is := s.writes[item]; is && s.state == "T" {
			found = own
		}
		return s.complete(id, found), nil
	}
	if !d.primary || s.readOnly && s.state == "T" {
		return s.fail("READONLY"), nil
	}
	c := g.judge.runs(s, id, text, shape)
	attempt, session := "", 0
	if c != nil {
		attempt, session = c.attempt, c.session
	}
	if s.state == "T" {
		s.writes[item] = data
		s.ids, s.attempts, s.session = append(s.ids, id), append(s.attempts, attempt), session
		return s.complete(id, ""), nil
	}
	made := d.commit(id, map[string]string{item: data}, []string{id}, []string{attempt}, session)
	return s.complete(id, ""), made
}

// commit appends to the log. The group is locked.
func (d *database) commit(id string, writes map[string]string, ids, attempts []string, session int) *commit {
	c := &commit{term: d.term, num: uint64(len(d.log) + 1), writes: writes, ids: ids, attempts: attempts, session: session, at: time.Now()}
	c.stale = d.term < d.g.maxTerm
	d.log = append(d.log, c)
	d.received = append(d.received, c.at)
	d.g.commits = append(d.g.commits, c)
	d.g.judge.committed(d, id, c)
	d.g.notify()
	return c
}
