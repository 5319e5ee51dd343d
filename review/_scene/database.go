package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in a database's log.
type entry struct {
	term, number uint64
	item, data   string
	id           string
}

// service is a group of databases with one log.
type service struct {
	name   string
	scene  *scene
	mu     sync.Mutex
	all    []*database
	leader *database
	// leaderTerm is the newest term that a promotion has begun.
	leaderTerm uint64
	// meanLag is how much later a replica has a commit.
	meanLag time.Duration
	// promoteTime is the time from a promotion call until it takes effect.
	promoteTime time.Duration
	// syncReplicas is the number of replicas that must have received a commit.
	syncReplicas int
}

// lag is how much later a replica has a commit: meanLag in the middle, and six times that at
// most.
func (s *service) lag() time.Duration {
	return min(time.Duration(float64(s.meanLag)*math.Exp(0.6*rand.NormFloat64())), 6*s.meanLag)
}

// database is one database of a service.
type database struct {
	service  *service
	id, zone string
	address  string
	born     int64
	// All below belong to the service's mutex.
	listener net.Listener
	conns    map[net.Conn]bool
	log      []entry
	term     uint64
	primary  bool
	down     bool
	seq      int
	// receivesAt is when the last commit that is on its way arrives.
	receivesAt time.Time
	stop       chan struct{}
}

func (s *service) start(id, zone, address string, log []entry, term uint64, primary bool) (*database, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &database{
		service: s, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), listener: listener,
		conns: map[net.Conn]bool{}, log: log, term: term, primary: primary, stop: make(chan struct{}),
	}
	s.mu.Lock()
	s.all = append(s.all, d)
	s.mu.Unlock()
	go d.accept(listener)
	go d.heartbeat()
	return d, nil
}

func (d *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// report writes the database's entry.
func (d *database) report() {
	s := d.service
	s.mu.Lock()
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 3, "state": "ready",
		"seq": d.seq, "born": d.born, words["role.field"]: role, words["cold.field"]: 0,
	})
	down := d.down
	s.mu.Unlock()
	if !down {
		s.scene.store.set("servers", d.id, body, false)
	}
}

func (d *database) heartbeat() {
	d.report()
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(1200 * time.Millisecond):
			d.report()
		}
	}
}

// crash ends the database's process: its connections break, and its entry goes after three
// heartbeats. The log stays.
func (d *database) crash() {
	s := d.service
	s.mu.Lock()
	d.down = true
	close(d.stop)
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.scene.note("database %s crashes at %s", d.id, d.end())
	time.AfterFunc(3600*time.Millisecond, func() { s.scene.store.set("servers", d.id, nil, true) })
}

// comeBack starts the crashed database again at its address, with its log, under a new id.
func (d *database) comeBack(id string) error {
	s := d.service
	s.mu.Lock()
	replaced := s.leader != d
	var log []entry
	log = append(log, d.log...)
	term := d.term
	if replaced {
		term = s.leader.term
		log = append([]entry(nil), s.leader.log...)
	}
	s.mu.Unlock()
	back, err := s.start(id, d.zone, d.address, log, term, !replaced)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if !replaced {
		s.leader = back
	}
	s.mu.Unlock()
	s.scene.note("it comes back as %s, primary: %t, at %s", id, !replaced, back.end())
	return nil
}

func (d *database) end() string {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.endLocked()
}

func (d *database) endLocked() string {
	if len(d.log) == 0 {
		return "1.0"
	}
	last := d.log[len(d.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// promote makes a database the leader of the next term, promoteTime after the call was handled.
// For the present leader nothing changes.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.all {
		if d.id != id {
			continue
		}
		if d.down {
			return 409
		}
		if d == s.leader && d.primary {
			return 200
		}
		time.AfterFunc(s.promoteTime, func() { s.lead(d) })
		return 200
	}
	return 409
}

func (s *service) lead(d *database) {
	s.mu.Lock()
	if d.down || s.leader == d {
		s.mu.Unlock()
		return
	}
	old := s.leader
	s.leaderTerm = max(s.leaderTerm, old.term, d.term) + 1
	d.term, d.primary, s.leader = s.leaderTerm, true, d
	end, term, log := d.endLocked(), d.term, d.log
	for _, other := range s.all {
		if other != d && other != old && !other.down {
			other.log, other.term, other.primary = append([]entry(nil), d.log...), d.term, false
		}
	}
	s.mu.Unlock()
	s.scene.promoted(d, term, end, log)
	go d.report()
	// The old primary goes on until a second after it can reach the new one.
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		if s.leader == d && !old.down {
			rolledBack := len(old.log) - common(old.log, d.log)
			old.primary, old.term, old.log = false, d.term, append([]entry(nil), d.log...)
			s.scene.noteLocked("%s becomes a replica; %d commits of its log are rolled back", old.id, rolledBack)
		}
		s.mu.Unlock()
		old.report()
	})
}

func common(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// commit appends a commit, passes it on to the replicas and returns it. The service is locked.
func (d *database) commit(id, item, data string) entry {
	number := uint64(1)
	if len(d.log) > 0 {
		number = d.log[len(d.log)-1].number + 1
	}
	e := entry{term: d.term, number: number, item: item, data: data, id: id}
	d.log = append(d.log, e)
	s := d.service
	for _, other := range s.all {
		if other == d || other.down {
			continue
		}
		at := time.Now().Add(s.lag())
		if at.Before(other.receivesAt) {
			at = other.receivesAt
		}
		other.receivesAt = at
		time.AfterFunc(time.Until(at), func() { other.receive(d, e) })
	}
	return e
}

// awaitReceipt waits until as many replicas as the service asks for have received a commit. It
// returns false if the database does not lead any more.
func (d *database) awaitReceipt(e entry) bool {
	s := d.service
	for s.syncReplicas > 0 {
		s.mu.Lock()
		received, leads := 0, d.primary && !d.down
		for _, other := range s.all {
			if other != d && !other.down && slices.Contains(other.log, e) {
				received++
			}
		}
		s.mu.Unlock()
		if received >= s.syncReplicas {
			return true
		}
		if !leads {
			return false
		}
		time.Sleep(500 * time.Microsecond)
	}
	return true
}

// receive adds a leader's log up to a commit to that of a replica, unless either has changed
// its part.
func (d *database) receive(leader *database, e entry) {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.down || d.primary || leader.down || d.term > leader.term {
		return
	}
	end := slices.Index(leader.log, e) + 1
	if end > len(d.log) && common(d.log, leader.log) == len(d.log) {
		d.log, d.term = append([]entry(nil), leader.log[:end]...), leader.term
	}
}

type session struct {
	d        *database
	state    string
	readOnly bool
	writes   [][2]string
	prepared map[string][2]string
}

func (d *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	s := d.service
	s.mu.Lock()
	switch {
	case d.down:
		s.mu.Unlock()
		return
	case len(fields) < 3 || fields[1] != s.name || len(fields) > 3 && fields[3] != d.id:
		s.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", words["code.wrongnode"], d.id)
		return
	case len(d.conns) >= 21:
		s.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", words["code.limit"], d.id)
		return
	}
	d.conns[conn] = true
	end := d.endLocked()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(d.conns, conn)
		s.mu.Unlock()
	}()
	fmt.Fprintf(conn, "READY I %s\r\n", end)
	ses := &session{d: d, state: "I", prepared: map[string][2]string{}}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		keyword, rest, _ := strings.Cut(line, " ")
		if keyword != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		switch verb, _, _ := strings.Cut(text, " "); verb {
		case "READ", "WRITE", "EXECUTE", "COMMIT":
			time.Sleep(6 * time.Millisecond)
		}
		s.mu.Lock()
		before := len(d.log)
		out := ses.run(id, text)
		out += fmt.Sprintf("READY %s %s\r\n", ses.state, d.endLocked())
		down, written := d.down, len(d.log)
		var last entry
		if written > before {
			last = d.log[written-1]
		}
		s.mu.Unlock()
		if written > before && !d.awaitReceipt(last) {
			return
		}
		if down {
			return
		}
		if _, err := conn.Write([]byte(out)); err != nil {
			return
		}
	}
}

func (ses *session) fail(code string) string {
	if ses.state == "T" {
		ses.state = "E"
	}
	return "ERROR " + code + " " + ses.d.id + "\r\n"
}

// run runs one statement. The service is locked.
func (ses *session) run(id, text string) string {
	d := ses.d
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		if !d.reached(position) {
			return ses.fail("LAGGING")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	sign := func() string { return fmt.Sprintf("COMPLETE %s.%s.%x\r\n", d.id, id, time.Now().UnixNano()) }
	if ses.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return ses.fail("MALFORMED")
	}
	switch verb {
	case "STATUS", words["stmt.stepdown"]:
		if verb != "STATUS" {
			if term, _ := strconv.ParseUint(rest, 10, 64); d.primary && term > d.term {
				d.primary = false
				d.service.scene.noteLocked("%s steps down", d.id)
				go d.report()
			}
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		return fmt.Sprintf("DATA %s %d %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, d.term, d.endLocked(), len(d.conns))
	case "DISCARD", "SET", "CLOSE":
		if verb == "DISCARD" {
			ses.prepared = map[string][2]string{}
		}
	case "PARSE":
		fields := strings.Fields(rest)
		ses.prepared[fields[0]] = [2]string{fields[1], fields[2]}
	case "BEGIN":
		if rest != "READ" && !d.primary {
			return ses.fail("READONLY")
		}
		ses.state, ses.readOnly, ses.writes = "T", rest == "READ", nil
	case "ROLLBACK":
		ses.state, ses.writes = "I", nil
	case "COMMIT":
		state, writes := ses.state, ses.writes
		ses.state, ses.writes = "I", nil
		if state != "T" || len(writes) > 0 && !d.primary {
			return ses.fail("READONLY")
		}
		for _, w := range writes {
			d.service.scene.committed(d, d.commit(id, w[0], w[1]))
		}
		return sign()
	case "READ":
		return ses.read(rest) + sign()
	case "WRITE":
		if !d.primary || ses.state == "T" && ses.readOnly {
			return ses.fail("READONLY")
		}
		item, data, _ := strings.Cut(rest, " ")
		if ses.state == "T" {
			ses.writes = append(ses.writes, [2]string{item, data})
			return sign()
		}
		d.service.scene.committed(d, d.commit(id, item, data))
		return sign()
	default:
		return ses.fail("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

func (ses *session) read(item string) string {
	for i := len(ses.d.log) - 1; i >= 0; i-- {
		if ses.d.log[i].item == item {
			return "DATA " + ses.d.log[i].data + "\r\n"
		}
	}
	return "DATA -\r\n"
}

// reached reports whether the log holds a position.
func (d *database) reached(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	if number == 0 || len(d.log) == 0 {
		return number == 0
	}
	last := d.log[len(d.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}
