package main

import (
	"time"
)

func init() { cases["synchronous"] = synchronous }

// synchronous has services whose commits are acknowledged once one replica has received them.
// In one of them a replica is draining and still receives, the other one receives nothing for
// four seconds, and the primary crashes meanwhile. All processes of the system are killed at
// the moment of the crash, and start again a second later.
func synchronous(dir string, trouble bool) int {
	w := newWorld(dir, 3, 6, 1)
	g := w.groups[0]
	primary, draining, deaf := g.databases[0], g.databases[1], g.databases[2]
	w.start()
	w.offer(2, 60*time.Millisecond)
	time.Sleep(4 * time.Second)
	if trouble {
		w.record.line("drain service=%s id=%s", g.name, draining.id)
		g.mu.Lock()
		draining.state = "draining"
		g.mu.Unlock()
		w.beat(draining)
		time.Sleep(500 * time.Millisecond)
		w.setDeaf(deaf, true)
		time.Sleep(time.Second)
		primary.crash()
		for _, p := range w.instances {
			p.kill()
		}
		time.Sleep(time.Second)
		for _, p := range w.instances {
			p.start()
		}
		time.Sleep(2 * time.Second)
		w.setDeaf(deaf, false)
		time.Sleep(3 * time.Second)
		primary.restart()
		// The draining database ends more than seven seconds after its report.
		time.Sleep(3 * time.Second)
		draining.crash()
	} else {
		time.Sleep(10500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	w.end()
	return w.verdict("LOST")
}

// setDeaf makes a replica receive nothing, or receive again.
func (w *world) setDeaf(d *database, deaf bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.deaf = deaf
	w.record.line("deaf=%v service=%s id=%s log=%s", deaf, d.g.name, d.id, d.end())
}
