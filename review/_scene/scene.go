// Scene plays one case against whole processes of the program: a table store, a platform, a
// service of three databases and clients, all on loopback addresses and the real clock.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const readyTimeout = 30 * time.Second

// scene is one run.
type scene struct {
	store   *store
	service *service
	program string
	folder  string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	// terms holds when each promotion took effect, in order.
	terms []promotion
	// commits holds all commits by the id of the statement, acked when a client has got the
	// success of one.
	commits map[string]commitRecord
	acked   map[string]time.Time
	// downFor is how long the platform is down after it has carried out a promotion call, whose
	// connection it resets, and maxDowns how often; meanwhile it answers others with 503.
	downFor   time.Duration
	maxDowns  int
	downUntil time.Time
	called    chan struct{}
	calls     int
	instances []*instance
	// stopped ends the clients before their time.
	stopped atomic.Bool
	// logs holds, for each promotion, the ids of the commits in the log of the new leader.
	logs []map[string]bool
}

type promotion struct {
	database string
	term     uint64
	end      string
	at       time.Time
}

type commitRecord struct {
	database string
	entry    entry
	at       time.Time
}

type instance struct {
	name, ip string
	command  *exec.Cmd
	done     chan struct{}
}

func (sc *scene) noteLocked(format string, args ...any) { go sc.noteAt(time.Now(), format, args...) }

func (sc *scene) note(format string, args ...any) { sc.noteAt(time.Now(), format, args...) }

func (sc *scene) noteAt(at time.Time, format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	fmt.Fprintf(sc.record, "%8.3f %s\n", at.Sub(sc.began).Seconds(), fmt.Sprintf(format, args...))
}

func (sc *scene) promoted(d *database, term uint64, end string, log []entry) {
	sc.mu.Lock()
	held := map[string]bool{}
	for _, e := range log {
		held[e.id] = true
	}
	sc.logs = append(sc.logs, held)
	sc.terms = append(sc.terms, promotion{d.id, term, end, time.Now()})
	sc.mu.Unlock()
	sc.note("PROMOTED %s leads term %d from %s", d.id, term, end)
}

func (sc *scene) committed(d *database, e entry) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.commits[e.id] = commitRecord{d.id, e, time.Now()}
	fmt.Fprintf(sc.record, "%8.3f run %s at %s: commit %d.%d\n", time.Since(sc.began).Seconds(), e.id, d.id, e.term, e.number)
}

// -----------------------------------------------------------------------------
// The platform's promotion call.

func (sc *scene) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if r.URL.Path != words["path.promote"] || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sc.mu.Lock()
	sc.calls++
	call, isDown, goesDown := sc.calls, time.Now().Before(sc.downUntil), false
	if !isDown && sc.maxDowns > 0 {
		sc.maxDowns--
		goesDown, sc.downUntil = true, time.Now().Add(sc.downFor)
	}
	sc.mu.Unlock()
	sc.note("promote call %d: %s by %s with token %s", call, body.ID, r.Header.Get(words["header.holder"]), r.Header.Get(words["header.token"]))
	if isDown {
		sc.note("call %d is answered with 503; nothing is done", call)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status := sc.service.promote(body.ID)
	if !goesDown {
		sc.note("call %d is carried out and answered: %d", call, status)
		w.WriteHeader(status)
		return
	}
	sc.note("call %d is carried out: %d; the platform goes down and resets its connection", call, status)
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	select {
	case sc.called <- struct{}{}:
	default:
	}
}

// -----------------------------------------------------------------------------
// Instances.

func (sc *scene) startInstance(name, zone, ip string, base int, seeds, storeAddress, cloudAddress string) error {
	port := func(n int) string { return fmt.Sprint(base + n) }
	text := strings.NewReplacer("NODE", name, "ZONE", zone, "FRONT", port(0), "READY", port(1), "CONTROL", port(2),
		"INTERNAL", port(3), "LAST", port(10), "SEEDS", seeds, "STORE", storeAddress, "CLOUD", cloudAddress, "IP", ip).Replace(settingsTemplate)
	path := filepath.Join(sc.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(sc.folder, name+".log"))
	if err != nil {
		return err
	}
	in := &instance{name: name, ip: ip, done: make(chan struct{})}
	in.command = exec.Command(sc.program, "serve", "--platform", "--leave", "12ms")
	in.command.Env = append(os.Environ(), words["env.settings"]+"="+path)
	in.command.Stdout, in.command.Stderr = log, log
	if err := in.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = in.command.Wait()
		close(in.done)
	}()
	sc.instances = append(sc.instances, in)
	return nil
}

func (sc *scene) awaitReady(base int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, in := range sc.instances {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", in.ip, base+1))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (sc *scene) stopAll() {
	for _, in := range sc.instances {
		_ = in.command.Process.Kill()
		<-in.done
	}
}

// freeBase returns the first of eleven ports that are free at all addresses.
func freeBase(ips []string) (int, error) {
search:
	for base := 21000; base < 29000; base += 20 {
		for _, ip := range ips {
			for port := base; port <= base+10; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					continue search
				}
				_ = listener.Close()
			}
		}
		return base, nil
	}
	return 0, fmt.Errorf("no free ports")
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/eelgrassfold", "the program")
	recordPath := flag.String("record", "record.txt", "the record of the run")
	keep := flag.Bool("logs", false, "keep the logs of the instances")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	folder, err := os.MkdirTemp("", "scene")
	if err != nil {
		return fail(err)
	}
	if *keep {
		fmt.Println("logs:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = record.Close() }()
	path, err := filepath.Abs(*program)
	if err != nil {
		return fail(err)
	}
	sc := &scene{
		store: newStore(), program: path, folder: folder, began: time.Now(), record: record,
		commits: map[string]commitRecord{}, acked: map[string]time.Time{}, called: make(chan struct{}, 1),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	sc.note("case %s, disruption: %t", *name, trouble)
	defer sc.stopAll()
	base, err := sc.prepare(play)
	if err != nil {
		return fail(err)
	}
	broken, err := play.run(sc, base, trouble)
	if err != nil {
		sc.note("could not run: %v", err)
		return fail(err)
	}
	if len(broken) == 0 {
		sc.note("HELD")
		fmt.Println("the rule held")
		return 0
	}
	for i, line := range broken {
		if i < 5 {
			fmt.Println(line)
		}
		sc.note("BROKEN: %s", line)
	}
	fmt.Println("the rule was broken", len(broken), "times")
	return 1
}

// prepare starts the store, the platform, the databases and three instances, and waits until
// these are ready.
func (sc *scene) prepare(play played) (int, error) {
	serve := func(handler http.Handler) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = http.Serve(listener, handler) }()
		return listener.Addr().String(), nil
	}
	storeAddress, err := serve(sc.store)
	if err != nil {
		return 0, err
	}
	cloudAddress, err := serve(http.HandlerFunc(sc.servePromote))
	if err != nil {
		return 0, err
	}
	sc.store.set("op", "config", []byte(strings.ReplaceAll(configTemplate, "SYNC", fmt.Sprint(play.sync))), false)
	sc.service = &service{name: "ledger1", scene: sc, leaderTerm: 1, syncReplicas: play.sync, meanLag: play.lag, promoteTime: time.Second}
	zones := []string{"lanier", "savannah", "allatoona"}
	first := []entry{{1, 1, "a", "x", "first1"}, {1, 2, "b", "y", "first2"}}
	for i, zone := range zones {
		d, err := sc.service.start("i-db"+fmt.Sprint(i+1), zone, fmt.Sprintf("127.0.2.%d:0", i+1), append([]entry(nil), first...), 1, i == 0)
		if err != nil {
			return 0, err
		}
		if i == 0 {
			sc.service.leader = d
		}
	}
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	base, err := freeBase(ips)
	if err != nil {
		return 0, err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, base+2)))
	}
	for i, zone := range zones {
		if err := sc.startInstance("front-"+zone+"-1", zone, ips[i], base, strings.Join(seeds, ", "), storeAddress, cloudAddress); err != nil {
			return 0, err
		}
	}
	return base, sc.awaitReady(base)
}
