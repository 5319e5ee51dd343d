// Package platform simulates the platform's HTTP service for tests and
// measurements: tables of rows that change by compare-and-set, objects, and a list
// of instances that shows changes after a delay. All data is kept in memory.
//
// # What flows in and out
//
// HTTP requests of eelgrassfold's instances flow in, and responses flow out:
//
//	GET  /tables/{table}/{key}       the row's body, its version as ETag; 404
//	PUT  /tables/{table}/{key}       If-Match or If-None-Match: *; 200 or 412
//	GET  /tables/{table}?prefix=     JSON list of rows, ordered by key
//	POST /transact                   JSON {rows}; 200 {rows} or 409 {rows}
//	PUT  /objects/{name}             stores the body
//	GET  /objects/{name}             the body; 404
//	GET  /instances                  JSON list of instances, delayed by the lag
//
// Tests and measurements control the platform by further paths, which faults do
// not affect:
//
//	POST /admin/fault                JSON {fault, delay, writes}
//	PUT  /admin/instances            JSON list of instances
//	GET  /admin/stats                JSON {reads, writes}
//
// A fault takes effect between a request and its response, like a network fault.
// A request during an outage does not reach the tables; one whose response is
// lost does.
//
// # Usage
//
//	p := platform.NewPlatform(platform.Options{Listen: address})
//	done, err := p.Start(ctx)
//	...
//	p.SetFault(platform.FaultOutage{})
package platform

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// Options configures a Platform.
type Options struct {
	// Listen is the address to serve on. With port 0 the system chooses a free
	// port.
	Listen netip.AddrPort
	// Lag is the time after which a change of the instances becomes visible in
	// the list.
	Lag time.Duration
	// Now is the clock for the lag. The default is time.Now.
	Now func() time.Time
}

// Platform is one simulated platform.
type Platform struct {
	options Options
	store   *store
	address netip.AddrPort

	reads, writes atomic.Int64

	mu            sync.Mutex
	fault         Fault
	instanceLists []instanceList
}

// NewPlatform returns a platform with empty tables and no fault.
func NewPlatform(options Options) *Platform {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Platform{options: options, store: newStore(), fault: FaultNone{}}
}

// Start binds the address and serves until the context ends. The returned channel
// receives the first error, if there is one, and is closed when every goroutine
// has stopped.
func (p *Platform) Start(ctx context.Context) (<-chan error, error) {
	listener, address, err := task.Listen(p.options.Listen)
	if err != nil {
		return nil, err
	}
	p.address = address
	ctx, cancel := context.WithCancel(ctx)
	group := task.NewGroup()
	group.Start(ctx, func(ctx context.Context) error { return p.serve(ctx, listener) })
	return group.Supervise(cancel), nil
}

// Address returns the address that Start has bound.
func (p *Platform) Address() netip.AddrPort { return p.address }

func (p *Platform) serve(ctx context.Context, listener net.Listener) error {
	return task.ServeHTTP(ctx, listener, p.handler())
}

// -----------------------------------------------------------------------------
// Faults and statistics.

// SetFault replaces the fault in force.
func (p *Platform) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *Platform) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Stats counts the requests that reached the tables, the objects or the list of
// instances.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Stats returns the counts since the start.
func (p *Platform) Stats() Stats {
	return Stats{Reads: p.reads.Load(), Writes: p.writes.Load()}
}

// -----------------------------------------------------------------------------
// List of instances.

// Instance is one entry of the list of instances.
type Instance struct {
	ID   model.InstanceID `json:"instance"`
	Zone model.ZoneID     `json:"zone"`
	// Peer is the address at which the instance accepts connections of its peers.
	Peer netip.AddrPort `json:"peer"`
	// Leaving is true if the platform is about to remove the instance.
	Leaving bool `json:"leaving"`
}

// instanceList is a list of instances and the time from which it is visible.
type instanceList struct {
	visibleFrom time.Time
	instances   []Instance
}

// SetInstances replaces the list of instances. The change becomes visible after
// the lag.
func (p *Platform) SetInstances(instances []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := instanceList{visibleFrom: p.options.Now().Add(p.options.Lag), instances: instances}
	p.instanceLists = append(p.instanceLists, next)
}

// visibleInstances returns the newest list that is visible, and removes the
// older ones.
func (p *Platform) visibleInstances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for len(p.instanceLists) > 1 && !now.Before(p.instanceLists[1].visibleFrom) {
		p.instanceLists = p.instanceLists[1:]
	}
	if len(p.instanceLists) == 0 || now.Before(p.instanceLists[0].visibleFrom) {
		return []Instance{}
	}
	return p.instanceLists[0].instances
}
