package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	promptTokens = 60
	outputTokens = 3 * platformtest.TokensPerEvent
	deadline     = 5 * time.Second
	// checkInterval is how often the load balancer asks gateways whether they are ready; two misses take one out.
	checkInterval = time.Second
	maxMisses     = 2
)

// observation is what a client saw of one request, its retry included.
type observation struct {
	at       time.Time
	id       string
	tenant   string
	gateway  string
	tries    int
	response platformtest.Response
}

func (o observation) served() bool {
	return o.response.Status == http.StatusOK && o.response.Signed && o.response.Ended && o.response.Err == nil && len(o.response.Events) > 0
}

// load sends requests of all tenants at a steady rate to the gateways in rotation.
type load struct {
	f        *fleet
	interval time.Duration

	ids    atomic.Int64
	client http.Client

	mu       sync.Mutex // guards all below
	misses   map[string]int
	seen     []observation
	next     int
	stopped  chan struct{}
	inFlight sync.WaitGroup
}

// newLoad returns a load in which each tenant sends a request in each interval.
func newLoad(f *fleet, interval time.Duration) *load {
	return &load{
		f: f, interval: interval, misses: make(map[string]int), stopped: make(chan struct{}),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func (l *load) start() {
	go l.check()
	for _, t := range l.f.tenants {
		go func() {
			ticker := time.NewTicker(l.interval)
			defer ticker.Stop()
			for {
				select {
				case <-l.stopped:
					return
				case <-ticker.C:
					l.inFlight.Go(func() { l.send(t) })
				}
			}
		}()
	}
}

func (l *load) stop() {
	close(l.stopped)
	l.inFlight.Wait()
}

// replace puts a gateway in the place of another one, which it returns.
func (l *load) replace(n int, g *process) (old *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gateways := slices.Clone(l.f.gateways)
	old, gateways[n] = gateways[n], g
	l.f.gateways = gateways
	return old
}

// members returns the gateways that the load balancer knows.
func (l *load) members() []*process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.f.gateways
}

// check plays the load balancer.
func (l *load) check() {
	for {
		for _, g := range l.members() {
			ready := platformtest.IsReady(g.ready)
			l.mu.Lock()
			if l.misses[g.name]++; ready {
				l.misses[g.name] = 0
			}
			l.mu.Unlock()
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(checkInterval):
		}
	}
}

// gateway returns the next gateway in rotation, or any if there is none.
func (l *load) gateway() *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.f.gateways {
		l.next++
		if g := l.f.gateways[l.next%len(l.f.gateways)]; l.misses[g.name] < maxMisses {
			return g
		}
	}
	return l.f.gateways[l.next%len(l.f.gateways)]
}

// send sends one request, and once more if it was refused and the client may come back in time.
func (l *load) send(t tenant) {
	o := observation{at: time.Now(), tenant: t.name}
	for left := deadline; ; left = deadline - time.Since(o.at) {
		g := l.gateway()
		o.tries++
		o.gateway, o.id = g.name, fmt.Sprintf("%s-%06d", t.name, l.ids.Add(1))
		o.response = platformtest.Send(context.Background(), &l.client, g.caller, platformtest.Request{
			ID: o.id, Key: t.key(), Path: "/notes/" + strconv.Itoa(o.tries), PromptTokens: promptTokens, OutputTokens: outputTokens, Timeout: left,
		})
		l.f.rec.request(o)
		seconds, err := strconv.ParseFloat(o.response.RetryAfter, 64)
		pause := time.Duration(seconds * float64(time.Second))
		if o.tries > 1 || !o.response.NotRun() || err != nil || pause > (deadline-time.Since(o.at))/3 {
			break
		}
		time.Sleep(pause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, o)
}

func (l *load) observed() []observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]observation{}, l.seen...)
}

// share returns how many of the requests sent in a period were served, and how many there were.
func (l *load) share(from, to time.Time) (served, all int) {
	for _, o := range l.observed() {
		if o.at.Before(from) || !o.at.Before(to) {
			continue
		}
		all++
		if o.served() {
			served++
		}
	}
	return served, all
}
