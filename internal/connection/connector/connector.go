// Package connector keeps links to a changing set of processes and finds out
// by heartbeats which of them answer.
//
// # Usage
//
//	c := &connector.Connector{Self: self, Secret: secret, Interval: time.Second, Beat: beat}
//	c.Set(ctx, map[string]string{"engine-1": "127.0.0.1:18201"})
//	if link := c.Link("engine-1"); link != nil {
//		pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{})
//	}
package connector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// missedBeats is how many heartbeats in a row may fail before a link is dropped.
	missedBeats = 3
	// beatBytes is what one heartbeat costs with the headers of TCP and IP.
	beatBytes = 360
	// freeMembers is how many members get a heartbeat at every interval.
	freeMembers = 24
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Connector keeps one link to each member.
//
// Exported fields are set before Set.
type Connector struct {
	Self   func() linker.Identity
	Secret []byte
	// Interval is the least time between two heartbeats on a link; each must be
	// answered within it. With many members heartbeats come less often, so that
	// all of them together stay within BytesPerSecond; zero means no such bound.
	// Silent work is found out by Nudge all the same.
	Interval       time.Duration
	BytesPerSecond int
	// Heartbeat sends one heartbeat.
	Heartbeat func(ctx context.Context, name string, link *linker.Link) error
	// OnUp and Down are called when a link comes and goes.
	OnUp   func(name string, link *linker.Link)
	OnDown func(name string, link *linker.Link)

	mu      sync.Mutex // guards members
	members map[string]*member
}

// member is one process that a link is kept to.
type member struct {
	address string
	cancel  context.CancelFunc
	link    *linker.Link
	// nudge asks for a heartbeat at once.
	nudge chan struct{}
	// downSince is when the link was lost, or when the member was added.
	downSince time.Time
}

// SetMembers makes addresses, by name, the members; links to others are closed.
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
		m := &member{address: address, cancel: cancel, downSince: time.Now(), nudge: make(chan struct{}, 1)}
		c.members[name] = m
		go c.keep(memberCtx, name, m)
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

// IncarnationUp reports whether the link to a process's incarnation is up.
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

// DownFor returns how long the link to a member has been down; a name that is
// no member counts as down for ever.
func (c *Connector) DownFor(name string) time.Duration {
	const ever = 24 * time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	switch {
	case !ok:
		return ever
	case m.link != nil:
		return 0
	default:
		return time.Since(m.downSince)
	}
}

// keep dials a member again and again until ctx ends.
func (c *Connector) keep(ctx context.Context, name string, m *member) {
	backoff := minBackoff
	for ctx.Err() == nil {
		link, err := linker.Dial(ctx, m.address, c.Secret, c.Self())
		if err != nil {
			pauser.Pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		c.serve(ctx, name, m, link)
	}
}

// serve sends heartbeats over one link until it fails.
func (c *Connector) serve(ctx context.Context, name string, m *member, link *linker.Link) {
	defer link.Close()
	if c.beat(ctx, name, link) != nil {
		return
	}
	c.setLink(m, link)
	if c.OnUp != nil {
		c.OnUp(name, link)
	}
	missed := 0
	for missed < missedBeats && ctx.Err() == nil && !link.Closed() {
		c.pause(ctx, m, link, missed)
		if c.beat(ctx, name, link) != nil {
			missed++
			continue
		}
		missed = 0
	}
	c.setLink(m, nil)
	if c.OnDown != nil {
		c.OnDown(name, link)
	}
}

func (c *Connector) beat(ctx context.Context, name string, link *linker.Link) error {
	ctx, cancel := context.WithTimeout(ctx, c.Interval)
	defer cancel()
	return c.Heartbeat(ctx, name, link)
}

func (c *Connector) setLink(m *member, link *linker.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.link = link
	if link == nil {
		m.downSince = time.Now()
	}
}

// pause waits for the next heartbeat, until the link closes or a nudge comes.
func (c *Connector) pause(ctx context.Context, m *member, link *linker.Link, missed int) {
	wait := c.Interval
	if missed == 0 {
		wait = c.interval()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-link.Done():
	case <-m.nudge:
	case <-timer.C:
	}
}

// interval returns the time between two heartbeats on a link that answers.
func (c *Connector) interval() time.Duration {
	if c.BytesPerSecond == 0 {
		return c.Interval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) <= freeMembers {
		return c.Interval
	}
	spread := time.Duration(len(c.members)*beatBytes) * time.Second / time.Duration(c.BytesPerSecond)
	return max(c.Interval, spread)
}

// Probe sends a heartbeat to a member at once: work there has gone silent.
func (c *Connector) Probe(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.ask()
	}
}

// ProbeAll sends a heartbeat to every member at once.
func (c *Connector) ProbeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.ask()
	}
}

func (m *member) ask() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}
