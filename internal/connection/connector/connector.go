// Package connector maintains links to a changing set of processes and detects by
// heartbeats which of them are reachable.
//
// # Usage
//
//	c := &connector.Connector{Self: self, Secret: secret, Interval: time.Second, Heartbeat: heartbeat}
//	c.SetMembers(ctx, map[string]string{"engine-1": "127.0.0.1:18201"})
//	if link := c.Link("engine-1"); link != nil {
//		pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{})
//	}
package connector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// maxMissedHeartbeats is the number of consecutive failed heartbeats after which a
	// link is dropped.
	maxMissedHeartbeats = 3
	// heartbeatBytes is the traffic of one heartbeat, including TCP and IP headers.
	heartbeatBytes = 360
	// unthrottledMembers is the largest number of members for which BytesPerSecond is
	// ignored, so that each gets a heartbeat every Interval.
	unthrottledMembers = 24
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// Connector maintains one link to each member. Exported fields are set before the first
// call.
type Connector struct {
	Self   func() linker.Identity
	Secret []byte
	// Interval is the least time between two heartbeats on a link and the timeout of
	// each heartbeat. With many members heartbeats are sent less often, so that their
	// total traffic stays within BytesPerSecond; zero means no limit. For a request
	// that makes no progress, Probe checks the link without that delay.
	Interval       time.Duration
	BytesPerSecond int
	// Heartbeat sends one heartbeat.
	Heartbeat func(ctx context.Context, name string, link *linker.Link) error
	// OnUp and OnDown are called when a link comes up and when it goes down.
	OnUp   func(name string, link *linker.Link)
	OnDown func(name string, link *linker.Link)

	mu      sync.Mutex // guards members
	members map[string]*member
}

// member is one process to which a link is maintained.
type member struct {
	address string
	cancel  context.CancelFunc
	link    *linker.Link
	// probe requests an immediate heartbeat.
	probe chan struct{}
	// downSince is when the link was lost, or when the member was added.
	downSince time.Time
	// refused is set if the last attempt found no process that listens.
	refused bool
}

// SetMembers replaces the members, given as addresses by name, and closes the links to
// processes that are no longer members.
func (c *Connector) SetMembers(ctx context.Context, addresses map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[string]*member)
	}
	for name, m := range c.members {
		if addresses[name] != m.address {
			m.cancel()
			delete(c.members, name)
		}
	}
	for name, address := range addresses {
		if _, ok := c.members[name]; ok {
			continue
		}
		memberCtx, cancel := context.WithCancel(ctx)
		m := &member{address: address, cancel: cancel, downSince: time.Now(), probe: make(chan struct{}, 1)}
		c.members[name] = m
		go c.maintainLink(memberCtx, name, m)
	}
}

// Link returns the link to a member, or nil if it is down.
func (c *Connector) Link(name string) *linker.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	if !ok {
		return nil
	}
	return m.link
}

// Live returns the names of the members whose link is up, sorted.
func (c *Connector) Live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, m := range c.members {
		if m.link != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LiveCount returns the number of members whose link is up.
func (c *Connector) LiveCount() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.link != nil {
			n++
		}
	}
	return n
}

// IncarnationUp reports whether a link to the given incarnation of a process is up.
func (c *Connector) IncarnationUp(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.link != nil && m.link.Peer.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// DownFor returns how long the link to a member has been down, or 24 hours if the name
// is not a member.
func (c *Connector) DownFor(name string) time.Duration {
	const forever = 24 * time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	switch {
	case !ok:
		return forever
	case m.link != nil:
		return 0
	default:
		return time.Since(m.downSince)
	}
}

// Unreached returns how long attempts to connect to a member have failed, and whether its host replied to
// the last one that no process listens. It returns 0 if the link is up or the name is not a member.
func (c *Connector) Unreached(name string) (since time.Duration, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	if !ok || m.link != nil {
		return 0, false
	}
	return time.Since(m.downSince), m.refused
}

// maintainLink connects to a member, and reconnects with backoff, until ctx ends.
func (c *Connector) maintainLink(ctx context.Context, name string, m *member) {
	backoff := minBackoff
	for ctx.Err() == nil {
		link, err := linker.Dial(ctx, m.address, c.Secret, c.Self())
		c.setRefused(m, errors.Is(err, syscall.ECONNREFUSED))
		if err != nil {
			pauser.Pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		c.sendHeartbeats(ctx, name, m, link)
	}
}

// sendHeartbeats sends heartbeats over one link until it fails.
func (c *Connector) sendHeartbeats(ctx context.Context, name string, m *member, link *linker.Link) {
	defer link.Close()
	if c.sendHeartbeat(ctx, name, link) != nil {
		return
	}
	c.setLink(m, link)
	if c.OnUp != nil {
		c.OnUp(name, link)
	}
	missed, regular := 0, false
	for missed < maxMissedHeartbeats && ctx.Err() == nil && !link.Closed() {
		regular = c.waitForNextHeartbeat(ctx, m, link, missed, regular)
		if c.sendHeartbeat(ctx, name, link) != nil {
			missed++
			regular = false
			continue
		}
		missed = 0
	}
	c.setLink(m, nil)
	if c.OnDown != nil {
		c.OnDown(name, link)
	}
}

func (c *Connector) sendHeartbeat(ctx context.Context, name string, link *linker.Link) error {
	ctx, cancel := context.WithTimeout(ctx, c.Interval)
	defer cancel()
	return c.Heartbeat(ctx, name, link)
}

func (c *Connector) setRefused(m *member, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.refused = refused
}

func (c *Connector) setLink(m *member, link *linker.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.link = link
	if link == nil {
		m.downSince = time.Now()
	}
}

// waitForNextHeartbeat waits until the next heartbeat is due, a probe requests one, or
// the link closes, and reports whether it was due. After a missed heartbeat the next one is due after
// Interval. regular is set if the last one was due, too.
func (c *Connector) waitForNextHeartbeat(ctx context.Context, m *member, link *linker.Link, missed int, regular bool) (due bool) {
	wait := c.Interval
	if missed == 0 {
		wait = c.nextHeartbeat(regular)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-link.Done():
	case <-m.probe:
	case <-timer.C:
		return true
	}
	return false
}

// nextHeartbeat returns the time until the next heartbeat on a link. Where there are so many members
// that heartbeats are rare, they are spread: a fleet whose links come up, or are probed, at one moment
// would otherwise exchange what it knows at one moment, and nothing until the next one.
func (c *Connector) nextHeartbeat(regular bool) time.Duration {
	interval := c.heartbeatInterval()
	switch {
	case interval <= c.Interval:
		return interval
	case regular:
		return interval*3/4 + rand.N(interval/2)
	default:
		return rand.N(interval)
	}
}

// heartbeatInterval returns the time between two heartbeats on a link without misses.
func (c *Connector) heartbeatInterval() time.Duration {
	if c.BytesPerSecond == 0 {
		return c.Interval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) <= unthrottledMembers {
		return c.Interval
	}
	spreadInterval := time.Duration(len(c.members)*heartbeatBytes) * time.Second / time.Duration(c.BytesPerSecond)
	return max(c.Interval, spreadInterval)
}

// Probe sends an immediate heartbeat to a member, for example because a request there
// makes no progress.
func (c *Connector) Probe(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.requestHeartbeat()
	}
}

// ProbeAll sends an immediate heartbeat to every member.
func (c *Connector) ProbeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.requestHeartbeat()
	}
}

func (m *member) requestHeartbeat() {
	select {
	case m.probe <- struct{}{}:
	default:
	}
}
