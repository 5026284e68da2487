// Package budgeter bounds the memory that a process holds for its clients: connections, heads and
// bodies of requests, and responses that clients have not read yet.
//
// Everything that is held belongs to a Holder, one for each connection. A holder asks before it
// allocates. When the budget is used up, those that make no progress are evicted or the one that
// asks is refused; see Decide.
//
// # Usage
//
//	b := &budgeter.Budget{Limit: 50 << 20, OnShortage: logShortage}
//	go b.Run(ctx)
//
//	h, err := b.Open(group, evict)
//	defer h.Close()
//	err := h.Grow(budgeter.Body, 64<<10)
//	if errors.Is(err, budgeter.ErrNoRoom) {
//		// refuse the request
//	}
package budgeter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrNoRoom is returned to a holder that asks for more than the budget has.
var ErrNoRoom = errors.New("no memory is left for clients")

// Kind is what memory is held for.
type Kind int

// The kinds.
const (
	// Connection is the fixed cost of an open connection.
	Connection Kind = iota
	// Head is the head of a request.
	Head
	// Body is the body of a request.
	Body
	// Response is a response that is sent to the client.
	Response
	kinds
)

// Kinds lists all kinds.
var Kinds = []Kind{Connection, Head, Body, Response}

// String returns the state's name.
func (s State) String() string {
	return [...]string{"idle", "receiving", "running"}[s]
}

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"connection", "head", "body", "response"}[k]
}

// State is what a connection does.
type State int

// The states.
const (
	// Idle waits for a request.
	Idle State = iota
	// Receiving reads the head or the body of a request.
	Receiving
	// Running waits for an answer or writes it.
	Running
)

const (
	// connectionBytes is about what an open connection costs: goroutines, buffers and bookkeeping.
	connectionBytes = 24 << 10
	// connectionShare is the share of the limit that open connections may take.
	connectionShare = 0.5
	// progressBytes is how much must pass over a connection to count as progress.
	progressBytes = 1 << 10
	// sendTimeout is how long a client may take none of a response.
	sendTimeout = time.Minute
	// futileTime is how long nothing is evicted after nothing could be.
	futileTime = 100 * time.Millisecond
	// sweepInterval is how often deadlines are checked and shortages are reported.
	sweepInterval = time.Second
)

// Shares of a host's memory. The rest is for the program itself, for what is not yet collected and
// for bytes that the kernel holds.
const (
	clientShare  = 0.35
	runtimeShare = 0.6
)

// Divide divides a process's memory: clients is the limit of its budget, runtime that of the Go
// runtime.
func Divide(memory int64) (clients, runtime int64) {
	return int64(clientShare * float64(memory)), int64(runtimeShare * float64(memory))
}

// Shortage sums up what was refused or evicted since the last one.
type Shortage struct {
	Refused int
	Evicted int
	// Overdue counts those whose time was up.
	Overdue int
	// Held is what is held now, by kind.
	Held [kinds]int64
	// Open is the number of open connections.
	Open int
}

// Attrs returns what an event says of the shortage.
func (s Shortage) Attrs() []any {
	attrs := []any{"refused", s.Refused, "evicted", s.Evicted, "overdue", s.Overdue, "open", s.Open}
	for _, k := range Kinds {
		attrs = append(attrs, k.String()+"Bytes", s.Held[k])
	}
	return attrs
}

// Register adds a metric of what is held.
func (b *Budget) Register(r prometheus.Registerer) {
	for _, k := range Kinds {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_client_memory_bytes", Help: "Memory held for clients, by what it is held for.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(b.Held(k)) }))
	}
}

// Budget is the memory for clients. Exported fields are set before the first Open.
type Budget struct {
	// Limit is the number of bytes; 0 means none.
	Limit int64
	// OnShortage is called by Run at most once in a second.
	OnShortage func(Shortage)

	mu       sync.Mutex // guards all below, and the holders
	held     [kinds]int64
	holders  map[*Holder]struct{}
	shortage Shortage
	// futileAt is when nothing could be evicted for a large and for an ordinary holder.
	futileAt [2]time.Time
}

// Holder is what is held for one connection.
type Holder struct {
	budget *Budget
	group  any
	evict  func()
	// expire, if set, is called instead of evict when the time of state Idle is up.
	expire func()

	state   State
	held    [kinds]int64
	evicted bool
	// progressAt is when the holder last made progress, unseen what has passed since.
	progressAt time.Time
	unseen     int
	// deadline is when the current state must have ended; zero means never.
	deadline time.Time
	// sending is set during a write to the client.
	sending bool
}

// MaxConnections returns how many connections the limit leaves room for, 0 if there is no limit.
func (b *Budget) MaxConnections() int {
	return int(connectionShare * float64(b.Limit) / connectionBytes)
}

// Open adds a holder. evict is called at most once, without a lock held, when the holder is to
// release all it holds.
func (b *Budget) Open(group any, evict func()) (*Holder, error) {
	h := &Holder{budget: b, group: group, evict: evict, state: Receiving, progressAt: time.Now()}
	b.mu.Lock()
	if b.holders == nil {
		b.holders = make(map[*Holder]struct{})
	}
	b.holders[h] = struct{}{}
	b.mu.Unlock()
	if err := h.Grow(Connection, connectionBytes); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// EvictSlowest evicts at most n quiet holders of a group and returns their number.
func (b *Budget) EvictSlowest(group any, n int) int {
	b.mu.Lock()
	holders, claims := b.claims(time.Now(), func(h *Holder) bool { return h.group == group })
	evicts := b.evictions(holders, Slowest(claims, n))
	b.mu.Unlock()
	call(evicts)
	return len(evicts)
}

// Held returns what is held, by kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// Grow asks for n more bytes of a kind.
func (h *Holder) Grow(k Kind, n int64) error {
	b := h.budget
	b.mu.Lock()
	var evicts []func()
	admit := !h.evicted
	if total := b.total(); admit && b.Limit > 0 && total+n > int64(largeShare*float64(b.Limit)) {
		admit, evicts = b.decide(h, Load{Limit: b.Limit, Held: total, Asker: Claim{Held: h.total()}, Need: n}, time.Now())
	}
	if admit {
		h.held[k] += n
		b.held[k] += n
	}
	b.mu.Unlock()
	call(evicts)
	if !admit {
		return ErrNoRoom
	}
	return nil
}

// decide decides about a holder that asks for more; b.mu must be held. The claims are not gathered
// again soon after nothing could be evicted: many may ask at the same time.
func (b *Budget) decide(h *Holder, l Load, now time.Time) (admit bool, evicts []func()) {
	if Decide(l).Admit {
		return true, nil
	}
	futileAt := &b.futileAt[0]
	if l.ordinary() {
		futileAt = &b.futileAt[1]
	}
	if now.Sub(*futileAt) < futileTime {
		return false, nil
	}
	var holders []*Holder
	holders, l.Claims = b.claims(now, func(other *Holder) bool { return other != h })
	d := Decide(l)
	if len(d.Evict) == 0 {
		*futileAt = now
	}
	return d.Admit, b.evictions(holders, d.Evict)
}

// Release gives back n bytes of a kind.
func (h *Holder) Release(k Kind, n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.held[k] -= n
	h.budget.held[k] -= n
}

// Enter begins a state, which is to end by the deadline unless that is zero. Idle releases all but the
// connection itself.
func (h *Holder) Enter(s State, deadline time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.state, h.deadline, h.progressAt, h.unseen = s, deadline, time.Now(), 0
	if s != Idle {
		return
	}
	for k := Head; k < kinds; k++ {
		b.held[k] -= h.held[k]
		h.held[k] = 0
	}
}

// Send records that a write to the client begins or has ended.
func (h *Holder) Send(begins bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.sending, h.progressAt, h.unseen = begins, time.Now(), 0
}

// closable reports whether the holder may be evicted: a request that runs must be answered, unless
// the client doesn't read the answer.
func (h *Holder) closable() bool {
	return !h.evicted && (h.state != Running || h.sending)
}

// overdue reports whether the holder's time is up.
func (h *Holder) overdue(now time.Time) bool {
	return (!h.deadline.IsZero() && now.After(h.deadline)) || (h.sending && now.Sub(h.progressAt) > sendTimeout)
}

// Progress records that n bytes have arrived.
func (h *Holder) Progress(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.unseen += n; h.unseen >= progressBytes {
		h.progressAt, h.unseen = time.Now(), 0
	}
}

// Refuse counts a connection or request that is turned away.
func (b *Budget) Refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shortage.Refused++
}

// Evicted reports whether the holder has lost its place.
func (h *Holder) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// OnExpired sets what is called, in place of an eviction, each time that the holder is found to have been idle for too long.
// It may keep its place.
func (h *Holder) OnExpired(expire func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.expire = expire
}

// Sending reports whether a write to the client runs.
func (h *Holder) Sending() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.sending
}

// State returns what the connection does.
func (h *Holder) State() State {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state
}

// Close releases all that is held. Further calls do nothing.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, h)
	for k := range h.held {
		b.held[k] -= h.held[k]
		h.held[k] = 0
	}
}

// Run evicts holders whose deadline has passed and reports shortages, until ctx ends.
func (b *Budget) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.sweep(now)
		}
	}
}

func (b *Budget) sweep(now time.Time) {
	b.mu.Lock()
	var overdue []func()
	for h := range b.holders {
		if h.closable() && h.overdue(now) {
			if h.state == Idle && h.expire != nil { // usual, and not for want of room
				overdue = append(overdue, h.expire)
				continue
			}
			h.evicted = true
			overdue = append(overdue, h.evict)
			if h.state != Idle {
				b.shortage.Overdue++
			}
		}
	}
	s := b.shortage
	s.Held, s.Open = b.held, len(b.holders)
	b.shortage = Shortage{}
	b.mu.Unlock()
	call(overdue)
	if b.OnShortage != nil && s.Refused+s.Evicted+s.Overdue > 0 {
		b.OnShortage(s)
	}
}

// claims returns the holders that pass the filter and their claims; b.mu must be held.
func (b *Budget) claims(now time.Time, filter func(*Holder) bool) ([]*Holder, []Claim) {
	var holders []*Holder
	var claims []Claim
	for h := range b.holders {
		if filter(h) {
			holders = append(holders, h)
			claims = append(claims, Claim{Held: h.total(), Quiet: now.Sub(h.progressAt), Closable: h.closable()})
		}
	}
	return holders, claims
}

// evictions marks holders as evicted and returns their functions; b.mu must be held.
func (b *Budget) evictions(holders []*Holder, indexes []int) []func() {
	var evicts []func()
	for _, i := range indexes {
		holders[i].evicted = true
		evicts = append(evicts, holders[i].evict)
	}
	b.shortage.Evicted += len(evicts)
	return evicts
}

func (b *Budget) total() int64 {
	return sum(b.held)
}

func (h *Holder) total() int64 {
	return sum(h.held)
}

func sum(held [kinds]int64) (n int64) {
	for _, v := range held {
		n += v
	}
	return n
}

func call(fs []func()) {
	for _, f := range fs {
		f()
	}
}
