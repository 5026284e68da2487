package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// alphaInterval and betaInterval are the times between two requests of the tenants: beta's are 28 in 100 of all, and all together keep
	// three fifths of the targets' slots busy.
	alphaInterval = 8 * time.Millisecond
	betaInterval  = 20 * time.Millisecond
	pollTimeout   = 1500 * time.Millisecond
	pollTime      = 60 * time.Second
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
	refused        platformtest.Response
}

// playPolls lets two tenants look up records of a plain service. All clients of beta ask for the same record, those of alpha each for
// another one. All targets of the service crash at the same moment and are back after some seconds.
func playPolls(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 3, 1, []tenant{{"alpha", 2_000_000}, {"beta", 2_000_000}})
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
	clients.Go(func() { p.poll(f.tenants[0], alphaInterval) })
	clients.Go(func() { p.poll(f.tenants[1], betaInterval) })
	if trouble {
		time.Sleep(crashAfter)
		f.crashDesks()
	}
	clients.Wait()
	return p.judge(), nil
}

// poll sends a tenant's requests for pollTime.
func (p *polls) poll(t tenant, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	began := time.Now()
	for n := 0; time.Since(began) < pollTime; n++ {
		<-ticker.C
		requests.Go(func() { p.send(t, n) })
	}
}

func (p *polls) send(t tenant, n int) {
	g := p.f.gateways[n%len(p.f.gateways)]
	id, path := fmt.Sprintf("%s-%06d", t.name, n), "/checks/board"
	if t.name == "alpha" {
		path = fmt.Sprintf("/checks/%d", n)
	}
	o := observation{at: time.Now(), id: id, tenant: t.name, gateway: g.name, tries: 1}
	o.response = platformtest.Send(context.Background(), &p.client, g.caller, platformtest.Request{ID: id, Key: t.key(), Path: path, Timeout: pollTimeout})
	p.f.rec.request(o)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[t.name]++
	switch r := o.response; {
	case r.Status == http.StatusOK && r.Signed && r.Ended:
		p.answered[t.name]++
	case t.name == "beta":
		p.refused = r
	}
}

// judge reports whether beta's requests were served less than a quarter as often as all.
func (p *polls) judge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, allSent := p.answered["alpha"]+p.answered["beta"], p.sent["alpha"]+p.sent["beta"]
	p.f.rec.event("served: alpha %d of %d, beta %d of %d, all %d of %d", p.answered["alpha"], p.sent["alpha"], p.answered["beta"], p.sent["beta"], all, allSent)
	p.f.rec.event("beta's last failure: status %d, Retry-After %q, %q", p.refused.Status, p.refused.RetryAfter, p.refused.Body)
	return 4*p.answered["beta"]*allSent < all*p.sent["beta"]
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
