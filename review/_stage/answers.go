package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["answers"] = answers }

const (
	// memoryLimit is memory_mb of the settings, in kB.
	memoryLimit = 284 << 10
	// reportRows is the number of DATA messages in the answer to a read of the item
	// "report", and reportRowBytes the size of each: less than 1 MiB.
	reportRows, reportRowBytes = 100, 1_000_000
)

// answers has one client that reads an item whose answer has many DATA messages. A process
// that exceeds its limit of memory is killed, as the platform does it, and started again.
func answers(dir string, trouble bool) int {
	w := newWorld(dir, 3, 6, 0)
	w.start()
	rows := 1
	if trouble {
		rows = reportRows
	}
	for _, g := range w.groups {
		for _, d := range g.databases {
			d.reportRows = rows
		}
	}
	var running sync.WaitGroup
	ends := make([]int, len(w.instances))
	for i, p := range w.instances {
		running.Add(1)
		go func() { defer running.Done(); p.watchMemory(&ends[i]) }()
	}
	w.offer(2, 60*time.Millisecond)
	end := time.Now().Add(75 * time.Second)
	for operation := 0; time.Now().Before(end); operation++ {
		readReport(w, operation)
		time.Sleep(2 * time.Second)
	}
	w.isEnded.Store(true)
	running.Wait()
	w.end()
	often := 0
	for i, p := range w.instances {
		w.record.line("%s was ended %d times for its memory", p.Name, ends[i])
		fmt.Println(p.Name, "was ended", ends[i], "times for its memory")
		if ends[i] >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.judge.broken("Fault", "processes of %d of %d machines ended three times or more, with no disruption there", often, len(w.instances))
	}
	return w.verdict("Fault")
}

// watchMemory kills the process when it exceeds its limit, and starts it again.
func (p *instance) watchMemory(ends *int) {
	for !p.w.ended() {
		time.Sleep(10 * time.Millisecond)
		body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			continue
		}
		peak := 0
		for _, line := range strings.Split(string(body), "\n") {
			if strings.HasPrefix(line, "VmHWM:") {
				_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmHWM:"), "%d", &peak)
			}
		}
		if peak <= memoryLimit {
			continue
		}
		*ends++
		p.w.record.line("%s has %d MB, the limit is %d MB: killed", p.Name, peak>>10, memoryLimit>>10)
		p.stopped = true
		p.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		p.start()
		time.Sleep(time.Second)
	}
}

// readReport runs one operation, a read, with two retries at other instances after a broken
// connection or a promise.
func readReport(w *world, operation int) {
	order := rand.Perm(len(w.instances))
	for try := range 3 {
		id := fmt.Sprintf("r%dt%d", operation, try)
		rows, result := w.tryReport(w.instances[order[try]], id)
		w.record.line("report %s at %s: %d rows, %s", id, w.instances[order[try]].Name, rows, result)
		w.judge.count("report " + result)
		if result == "COMPLETE" {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// tryReport runs one try, and returns the number of rows and how it ended.
func (w *world) tryReport(p *instance, id string) (rows int, result string) {
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		return 0, "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReaderSize(conn, 1<<20)
	number := w.sessions()
	route := w.routes[1]
	fmt.Fprintf(conn, "CONNECT %s u%d\r\n", route.host, number)
	if line, err := readLine(reader); err != nil || !strings.HasPrefix(line, "READY") {
		return 0, "no READY"
	}
	w.judge.sent(&call{id: id, text: "READ report", attempt: id, session: number, service: route.service, kind: route.kind,
		staleness: time.Duration(route.staleness) * time.Millisecond, firstAt: time.Now(), values: map[string]string{}})
	fmt.Fprintf(conn, "QUERY %s READ report\r\n", id)
	for {
		line, err := readLine(reader)
		if err != nil {
			return rows, "connection broken"
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATA":
			rows++
		case "COMPLETE":
			result = word
		case "ERROR":
			result, _, _ = strings.Cut(rest, " ")
		case "READY":
			return rows, result
		}
	}
}
