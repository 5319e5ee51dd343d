// Package platform is a stand-in for the platform's HTTP service: tables of
// rows that change by compare-and-set, objects, and a lagging list of
// instances. Everything is kept in memory.
//
// # What flows in and out
//
// HTTP requests of eelgrassfold's instances flow in, and answers flow out:
//
//	GET  /tables/{table}/{key}       the row's body, its version as ETag; 404
//	PUT  /tables/{table}/{key}       If-Match or If-None-Match: *; 200 or 412
//	GET  /tables/{table}?prefix=     JSON list of rows, ordered by key
//	POST /transact                   JSON {rows}; 200 {rows} or 409 {rows}
//	PUT  /objects/{name}             stores the body
//	GET  /objects/{name}             the body; 404
//	GET  /instances                  JSON list of instances, as of the lag ago
//
// Tests and measurements drive the stand-in by further paths, which no fault
// ever touches:
//
//	POST /admin/fault                JSON {fault, delay}
//	PUT  /admin/instances            JSON list of instances
//	GET  /admin/stats                JSON {reads, writes}
//
// A fault lies between the request and its answer, as it would in a network: an
// outage hides the request from the tables, a lost answer does not.
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

// Options sets up a Platform.
type Options struct {
	// Listen is the address to serve on; port 0 lets the system choose.
	Listen netip.AddrPort
	// Lag is the time after which a change of the instances shows in their
	// list.
	Lag time.Duration
	// Now is the clock of the lag; time.Now where it is nil.
	Now func() time.Time
}

// Platform is one running stand-in.
type Platform struct {
	options Options
	store   *store
	address netip.AddrPort

	reads, writes atomic.Int64

	mu        sync.Mutex
	fault     Fault
	instances []listing
}

// NewPlatform returns a platform with empty tables and no fault.
func NewPlatform(options Options) *Platform {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Platform{options: options, store: newStore(), fault: FaultNone{}}
}

// Start binds the address and serves until the context ends. The channel is
// closed when all has stopped; a failure comes first.
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
// Faults and counts.

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

// Stats counts the requests that reached the tables and objects.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Stats returns the counts since the start.
func (p *Platform) Stats() Stats {
	return Stats{Reads: p.reads.Load(), Writes: p.writes.Load()}
}

// -----------------------------------------------------------------------------
// The lagging list of instances.

// Instance is one entry of the list of instances.
type Instance struct {
	ID   model.InstanceID `json:"instance"`
	Zone model.ZoneID     `json:"zone"`
	// Peer is the address at which the instance speaks to its peers.
	Peer netip.AddrPort `json:"peer"`
	// Leaving says that the instance is about to be taken away.
	Leaving bool `json:"leaving"`
}

// listing is a list of instances and the time from which it shows.
type listing struct {
	shown     time.Time
	instances []Instance
}

// SetInstances replaces the list of instances; the change shows after the lag.
func (p *Platform) SetInstances(instances []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := listing{shown: p.options.Now().Add(p.options.Lag), instances: instances}
	p.instances = append(p.instances, next)
}

// listInstances returns the newest list that shows already, and forgets older
// ones.
func (p *Platform) listInstances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for len(p.instances) > 1 && !now.Before(p.instances[1].shown) {
		p.instances = p.instances[1:]
	}
	if len(p.instances) == 0 || now.Before(p.instances[0].shown) {
		return []Instance{}
	}
	return p.instances[0].instances
}
