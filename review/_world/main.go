// Command _world plays the cases of the review: it serves stand-ins of the platform's
// store, of the promotion call and of databases, starts instances as separate
// processes, and plays a client against them.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be
// played. With TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed data
var data embed.FS

// names are the words of the platform that the code needs.
var names struct {
	SettingsVariable string `json:"settings_variable"`
	PathTx           string `json:"path_tx"`
	PathGet          string `json:"path_get"`
	PathFeed         string `json:"path_feed"`
	PathPromote      string `json:"path_promote"`
	HeaderHolder     string `json:"header_holder"`
	HeaderToken      string `json:"header_token"`
	CodeWrongNode    string `json:"code_wrong_node"`
	CodeConnLimit    string `json:"code_conn_limit"`
	WordStepDown     string `json:"word_step_down"`
	CodeInDoubt      string `json:"code_in_doubt"`
}

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	record    *os.File
	temporary string
	// isTroubled is false if the disruption is left out.
	isTroubled = os.Getenv("TROUBLE") != "0"

	instancesMu sync.Mutex
	instances   []*instance
)

func sinceStart() time.Duration { return time.Since(startedAt) }

// note adds a line to the record.
func note(who, what string) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f s  %-12s %s\n", sinceStart().Seconds(), who, what)
}

// finish ends all instances and exits.
func finish(code int, verdict string) {
	note("verdict", verdict)
	fmt.Println(verdict)
	instancesMu.Lock()
	for _, i := range instances {
		i.kill()
	}
	_ = os.RemoveAll(temporary)
	os.Exit(code)
}

// giveUp ends a case that could not be played.
func giveUp(why string) { finish(2, "not played: "+why) }

func readData(name string) []byte {
	body, err := data.ReadFile("data/" + name)
	if err != nil {
		panic(err)
	}
	return body
}

func fill(name string, values any) []byte {
	var out bytes.Buffer
	if err := template.Must(template.New(name).Parse(string(readData(name)))).Execute(&out, values); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// -----------------------------------------------------------------------------
// Instances.

type instance struct {
	Name, Zone                      string
	Front, Ready, Control, Internal int
	Store, Cloud                    string
	Seeds                           []string
	settings                        string
	command                         *exec.Cmd
	ended                           chan struct{}
}

// freePort returns a free port below the range from which the system takes the ports of
// outgoing connections.
func freePort() int {
	for range 100 {
		port := 15000 + rand.IntN(15000)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil && !takenPorts[port] {
			takenPorts[port] = true
			_ = listener.Close()
			return port
		}
		if err == nil {
			_ = listener.Close()
		}
	}
	giveUp("no free port")
	return 0
}

var takenPorts = map[int]bool{}

// startInstances starts an instance in each zone, with the command of the deploy file.
func startInstances(run []string, store, cloud string, zones []string) []*instance {
	var started []*instance
	var seeds []string
	for i, zone := range zones {
		next := &instance{
			Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, Store: store, Cloud: cloud,
			Front: freePort(), Ready: freePort(), Control: freePort(), Internal: freePort(),
		}
		started = append(started, next)
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", next.Control))
	}
	for _, i := range started {
		i.Seeds = seeds
		i.start(run)
	}
	for _, i := range started {
		i.awaitReady()
	}
	return started
}

func (i *instance) start(run []string) {
	i.settings = filepath.Join(temporary, i.Name+".yaml")
	if err := os.WriteFile(i.settings, fill("settings.yaml", i), 0o600); err != nil {
		giveUp("settings: " + err.Error())
	}
	logFile, err := os.Create(filepath.Join(temporary, i.Name+".log"))
	if err != nil {
		giveUp("log: " + err.Error())
	}
	i.command = exec.Command(run[0], run[1:]...)
	i.command.Env = append(os.Environ(), names.SettingsVariable+"="+i.settings)
	i.command.Stdout, i.command.Stderr = logFile, logFile
	if err := i.command.Start(); err != nil {
		giveUp("start: " + err.Error())
	}
	i.ended = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		close(i.ended)
	}()
	instancesMu.Lock()
	instances = append(instances, i)
	instancesMu.Unlock()
	note(i.Name, fmt.Sprintf("started, callers at 127.0.0.1:%d", i.Front))
}

func (i *instance) kill() {
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Kill()
		<-i.ended
	}
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readiness", i.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); !i.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			if log, err := os.ReadFile(filepath.Join(temporary, i.Name+".log")); err == nil {
				note(i.Name, "log: "+string(log[max(0, len(log)-2000):]))
			}
			giveUp(i.Name + " is not ready after 20 s")
		}
	}
	note(i.Name, "is ready")
}

// -----------------------------------------------------------------------------
// The world of a case.

type world struct {
	g         *group
	store     *tables
	instances []*instance
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newWorld starts the stand-ins, the instances, and the heartbeats of the databases.
func newWorld(run []string, observe func(ran)) *world {
	w := &world{g: newGroup("ledger", zones), store: startTables()}
	w.g.observe = observe
	w.store.put("op", "config", bytes.TrimSpace(readData("configuration.json")))
	w.beat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			w.beat()
		}
	}()
	w.instances = startInstances(run, w.store.address, startCloud(w.g), zones)
	return w
}

// beat writes the entries of the databases that are not dark. A change of the role is
// reported with the next beat.
func (w *world) beat() {
	for _, d := range w.g.databases {
		w.g.mu.Lock()
		d.seq++
		role := "replica"
		if d.primary {
			role = "primary"
		}
		isDark := d.isDark()
		body := fill("entry.json", map[string]any{
			"Address": d.address, "Zone": d.zone, "State": "ready", "Role": role, "Seq": d.seq, "Born": d.born,
		})
		w.g.mu.Unlock()
		if !isDark {
			w.store.put("servers", d.id, bytes.TrimSpace(body))
		}
	}
}

// -----------------------------------------------------------------------------
// Main.

func main() {
	if err := json.Unmarshal(readData("names.json"), &names); err != nil {
		panic(err)
	}
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: _world CASE RECORD COMMAND...")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if temporary, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		giveUp("interrupted")
	}()
	time.AfterFunc(100*time.Second, func() { giveUp("the time is over") })
	note("case", fmt.Sprintf("%s, with the disruption: %v", os.Args[1], isTroubled))
	play, found := cases[os.Args[1]]
	if !found {
		giveUp("no case " + os.Args[1])
	}
	play(os.Args[3:])
}

var cases = map[string]func(run []string){
	"values": playValues,
	"names":  playNames,
	"lines":  playLines,
	"drain":  playDrain,
	"grey":   playGrey,
}

// describe returns a message in one line of the record.
func describe(lines []string) string { return strings.Join(lines, " | ") }
