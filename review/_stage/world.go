package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed data
var data embed.FS

var names = func() map[string]string {
	body, err := data.ReadFile("data/names.json")
	if err != nil {
		panic(err)
	}
	var table map[string]string
	if err := json.Unmarshal(body, &table); err != nil {
		panic(err)
	}
	return table
}()

// unrunnable ends the program with 2: the case could not be run.
func unrunnable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

var zones = []string{"lanier", "savannah", "allatoona"}

// world is a small deployment.
type world struct {
	record    *record
	judge     *judge
	store     *tableStore
	groups    []*group
	routes    []*route
	instances []*instance
	program   []string
	dir       string
	storeAddr string
	cloudAddr string
	isEnded   atomic.Bool
	session   atomic.Int64
	version   int
	syncs     int
	// tenants are the names of the configuration's tenants; none if clients need no key.
	tenants []string
	clients sync.WaitGroup
}

func newWorld(dir string, services, instances, syncReplicas int) *world {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		unrunnable("%v", err)
	}
	temp, err := os.MkdirTemp("", "stage")
	if err != nil {
		unrunnable("%v", err)
	}
	w := &world{record: &record{file: file, started: time.Now()}, store: newTableStore(), dir: temp, version: 7, syncs: syncReplicas}
	w.judge = newJudge(w.record)
	w.program = strings.Fields("target/eelgrassfold serve --platform --leave 12ms")
	listener := w.listen()
	w.storeAddr = listener.Addr().String()
	go w.store.serve(listener)
	cloud := w.listen()
	w.cloudAddr = cloud.Addr().String()
	go w.serveCloud(cloud)
	for i := range services {
		g := &group{name: fmt.Sprintf("svc%dk", i), maxTerm: 1, sync: syncReplicas > 0, promoteAfter: time.Second, changed: make(chan struct{}), judge: w.judge, record: w.record, stop: make(chan struct{})}
		for k, zone := range zones {
			d := &database{g: g, id: fmt.Sprintf("i-%d%d%04x", i, k, rand.IntN(65536)), zone: zone, address: "127.0.0.1:0", slots: 3, maxConns: 21, state: "ready",
				born: time.Now().UnixMilli(), term: 1, receiveAfter: time.Millisecond, applyAfter: 8 * time.Millisecond, conns: map[net.Conn]bool{}, work: 8 * time.Millisecond}
			d.onRole = func() { go w.beat(d) }
			g.databases = append(g.databases, d)
		}
		g.databases[i%3].primary = true
		for _, d := range g.databases {
			d.leader = g.databases[i%3]
			d.listen()
		}
		go g.replicate()
		w.groups = append(w.groups, g)
		w.routes = append(w.routes,
			&route{host: fmt.Sprintf("fin%d", i), service: g.name, kind: "primary", timeout: 1000, target: 200, priority: 0},
			&route{host: fmt.Sprintf("rat%d", i), service: g.name, kind: "bounded", timeout: 2000, target: 1200, priority: 2, staleness: 1500},
			&route{host: fmt.Sprintf("sta%d", i), service: g.name, kind: "own", timeout: 1000, target: 400, priority: 1, staleness: 2500})
	}
	w.configure()
	go w.beatAll()
	base := instance{Front: freePort(), Ready: freePort(), Control: freePort(), Internal: 0}
	base.Internal = freePort()
	base.InternalEnd = base.Internal + 15
	host := 10 + rand.IntN(200)
	var seeds []string
	for i := range instances {
		zone := i % 3
		p := base
		p.answeredAt = &atomic.Int64{}
		p.w, p.dir, p.Zone, p.Store, p.Cloud = w, temp, zones[zone], w.storeAddr, w.cloudAddr
		p.Name = fmt.Sprintf("front-%s-%d", zones[zone], i/3+1)
		p.IP = fmt.Sprintf("127.%d.%d.%d", host, zone+1, i/3+6)
		if i < 3 {
			seeds = append(seeds, p.IP+":"+strconv.Itoa(p.Control))
		}
		w.instances = append(w.instances, &p)
	}
	for _, p := range w.instances {
		p.Seeds = seeds
	}
	return w
}

func (w *world) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unrunnable("%v", err)
	}
	return listener
}

func (w *world) sessions() int { return int(w.session.Add(1)) }
func (w *world) ended() bool   { return w.isEnded.Load() }

// key returns what a session gives with the name of its database.
func (w *world) key(session int) string {
	if len(w.tenants) == 0 {
		return fmt.Sprintf("u%d", session)
	}
	return "key-of-" + w.tenants[session%len(w.tenants)]
}

func (w *world) anyInstance(rng *rand.Rand) *instance {
	return w.instances[rng.IntN(len(w.instances))]
}

// configure writes a configuration with the next version.
func (w *world) configure() {
	w.version += 1 + rand.IntN(3)
	var routes, services []string
	for _, r := range w.routes {
		kind := r.kind
		if name, found := names[kind]; found {
			kind = name
		}
		routes = append(routes, render("route.json", map[string]any{"Host": r.host, "Kind": kind, "Timeout": r.timeout, "Target": r.target, "Priority": r.priority, "Service": r.service, "Staleness": r.staleness}))
	}
	for _, g := range w.groups {
		services = append(services, render("service.json", map[string]any{"Name": g.name, "MaxConns": g.databases[0].maxConns, "Sync": w.syncs}))
	}
	var tenants []string
	for _, name := range w.tenants {
		tenants = append(tenants, render("tenant.json", map[string]any{"Name": name}))
	}
	w.store.set("op", "config", []byte(render("configuration.json", map[string]any{"Version": w.version, "Routes": strings.Join(routes, ","), "Services": strings.Join(services, ","), "Tenants": strings.Join(tenants, ",")})))
}

// beat writes a database's entry.
func (w *world) beat(d *database) {
	d.g.mu.Lock()
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.seq++
	values := fmt.Sprint(d.address, d.state, role, d.born)
	// The entry changes when more than its sequence number changes.
	skip := d.down || d.written == values
	d.written = values
	body := render("entry.json", map[string]any{"Service": d.g.name, "Address": d.address, "Zone": d.zone, "Slots": d.slots, "State": d.state, "Role": role, "Seq": d.seq, "Born": d.born})
	d.g.mu.Unlock()
	if !skip {
		w.store.set("servers", d.id, []byte(body))
	}
}

func (w *world) beatAll() {
	silent := map[*database]int{}
	for !w.ended() {
		for _, g := range w.groups {
			for _, d := range g.databases {
				g.mu.Lock()
				absent := d.down
				g.mu.Unlock()
				if !absent {
					silent[d] = 0
					w.beat(d)
				} else if silent[d]++; silent[d] == 3 {
					g.mu.Lock()
					d.written = ""
					g.mu.Unlock()
					w.store.remove("servers", d.id)
				}
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (w *world) serveCloud(listener net.Listener) {
	var mu sync.Mutex
	var newest uint64
	holders := map[uint64]string{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(rw http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		holder, token := r.Header.Get(names["holder"]), r.Header.Get(names["token"])
		number, _ := strconv.ParseUint(token, 10, 64)
		mu.Lock()
		if number < newest {
			w.judge.broken("ONE", "%s promotes with token %d, after %d", holder, number, newest)
		}
		newest = max(newest, number)
		if other, found := holders[number]; found && other != holder {
			w.judge.broken("ONE", "%s and %s promote with token %d", holder, other, number)
		}
		holders[number] = holder
		mu.Unlock()
		status := 404
		for _, g := range w.groups {
			if g.name == body.Service {
				status = g.promote(body.ID, holder, token)
			}
		}
		rw.WriteHeader(status)
	})
	_ = http.Serve(listener, mux)
}

// endOnSignal ends all processes if this one is told to end.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.isEnded.Store(true)
		for _, p := range w.instances {
			if p.command != nil {
				p.kill()
			}
		}
		_ = os.RemoveAll(w.dir)
		os.Exit(2)
	}()
}

// start starts the processes and waits until all are ready.
func (w *world) start() {
	w.endOnSignal()
	for _, p := range w.instances {
		p.start()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range w.instances {
		for !p.isReady() {
			if time.Now().After(deadline) {
				w.end()
				unrunnable("%s is not ready", p.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.line("all processes are ready")
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	w.isEnded.Store(true)
	w.clients.Wait()
	for _, p := range w.instances {
		if p.command != nil {
			p.kill()
		}
	}
	for _, g := range w.groups {
		close(g.stop)
	}
	time.Sleep(200 * time.Millisecond)
	_ = os.RemoveAll(w.dir)
}

// offer starts n clients for each route.
func (w *world) offer(n int, pause time.Duration) {
	for _, r := range w.routes {
		for range n {
			c := &client{j: w.judge, w: w, route: r, rng: rand.New(rand.NewPCG(rand.Uint64(), 1))}
			w.clients.Add(1)
			go func() { defer w.clients.Done(); c.work(pause) }()
		}
	}
}

// verdict prints the result and returns the exit code: 1 if the rule of the case was broken.
func (w *world) verdict(rule string) int {
	w.record.line("counts: %v", w.judge.counts)
	fmt.Println("counts:", w.judge.counts)
	breaks := 0
	for _, b := range w.judge.breaks {
		if strings.HasPrefix(b, rule+":") {
			breaks++
		}
		if breaks < 10 {
			fmt.Println("BROKEN", b)
		}
	}
	if breaks > 0 {
		fmt.Println(rule, "is broken,", breaks, "times")
		return 1
	}
	fmt.Println(rule, "held")
	return 0
}
