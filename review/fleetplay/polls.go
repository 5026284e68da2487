package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// pollInterval is the mean time between two requests of a tenant, at random: those of all tenants keep three fifths of the targets' slots busy.
	pollInterval = 11500 * time.Microsecond
	pollTimeout  = 1500 * time.Millisecond
	pollTime     = 60 * time.Second
	// workTime is how long a plain service works on a request.
	workTime = 60 * time.Millisecond
	// crashAfter is when the targets crash, crashedFor how long they are down.
	crashAfter = 5 * time.Second
	crashedFor = 4 * time.Second
)

// polls counts what the clients of the tenants sent and got.
type polls struct {
	f      *fleet
	client http.Client

	mu             sync.Mutex // guards all below
	sent, answered map[string]int
	// refused is the last response that was no success.
	refused platformtest.Response
}

// playPolls lets two tenants look up records of a plain service, the clients of each the same record again and again. All targets of the
// service crash at the same moment and are back after some seconds.
func playPolls(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 3, 1, []tenant{{"alpha", 500_000}, {"beta", 500_000}})
	if err != nil {
		return false, err
	}
	defer f.close()
	for n := range 3 {
		d := platformtest.NewTarget(fmt.Sprintf("d-%d", n+1), "desk")
		d.SetBehaviour(platformtest.Behaviour{Delay: workTime})
		f.desks = append(f.desks, d)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	p := &polls{
		f: f, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, sent: make(map[string]int), answered: make(map[string]int),
	}
	var clients sync.WaitGroup
	for _, t := range f.tenants {
		clients.Go(func() { p.poll(t) })
	}
	time.Sleep(crashAfter)
	if trouble {
		f.crashDesks()
	}
	clients.Wait()
	return p.judge(), nil
}

// poll sends a tenant's requests for pollTime.
func (p *polls) poll(t tenant) {
	var requests sync.WaitGroup
	defer requests.Wait()
	began := time.Now()
	for n := 0; time.Since(began) < pollTime; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pollInterval)))
		requests.Go(func() { p.send(t, n) })
	}
}

func (p *polls) send(t tenant, n int) {
	g := p.f.gateways[n%len(p.f.gateways)]
	id, path := fmt.Sprintf("%s-%06d", t.name, n), "/checks/"+t.name
	o := observation{at: time.Now(), id: id, tenant: t.name, gateway: g.name, tries: 1}
	o.response = platformtest.Send(context.Background(), &p.client, g.caller, platformtest.Request{ID: id, Key: t.key(), Path: path, Timeout: pollTimeout})
	p.f.rec.request(o)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[t.name]++
	switch r := o.response; {
	case r.Status == http.StatusOK && r.Signed && r.Ended:
		p.answered[t.name]++
	case r.Status != 0:
		p.refused = r
	}
}

// judge reports whether the requests of a tenant were served less than a quarter as often as all.
func (p *polls) judge() (isBroken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, allSent := 0, 0
	for _, t := range p.f.tenants {
		all, allSent = all+p.answered[t.name], allSent+p.sent[t.name]
	}
	for _, t := range p.f.tenants {
		p.f.rec.event("%s: %d of %d requests were served", t.name, p.answered[t.name], p.sent[t.name])
		isBroken = isBroken || 4*p.answered[t.name]*allSent < all*p.sent[t.name]
	}
	p.f.rec.event("served: %d of %d", all, allSent)
	p.f.rec.event("the last failure: status %d, Retry-After %q, %q", p.refused.Status, p.refused.RetryAfter, p.refused.Body)
	return isBroken
}

// crashDesks lets all targets of the plain service crash at once and start again after a while.
func (f *fleet) crashDesks() {
	f.rec.event("all targets of the plain service crash")
	var stops sync.WaitGroup
	for _, d := range f.desks {
		stops.Go(d.Stop)
	}
	stops.Wait()
	time.Sleep(crashedFor)
	for _, d := range f.desks {
		if err := d.Start(); err != nil {
			f.rec.event("%s does not start again: %v", d.ID, err)
		}
	}
	f.rec.event("they are back")
}
