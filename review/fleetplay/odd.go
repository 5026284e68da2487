package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// crashText is in the body of the request that crashes engines, crashingSends how often it comes, crashingInterval the time between.
	crashText        = "crashes engines"
	crashingSends    = 6
	crashingInterval = 2 * time.Second
	// oddTime is how long the tenants send ordinary requests.
	oddTime = 105 * time.Second
	// oddModel is the name of a model with a byte that is no UTF-8.
	oddModel = "m\xff"
	// crashPause is how much longer than the stand-in's half a second an engine is down after a crash: it is back after some seconds.
	crashPause = 2500 * time.Millisecond
	// afterTime is when requests are counted that come long after the last odd one.
	afterTime = 45 * time.Second
)

// playOdd lets a client send a request that crashes the engines that run it, again and again, at all gateways in turn. Its header X-Model
// has an odd byte, or is an ordinary one if there is to be no trouble. There are two hosts with targets, so two companions.
func playOdd(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 2, 2, []tenant{{"alpha", 500_000}, {"beta", 500_000}})
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, e := range f.engines {
		e.OnCrash = func() {
			f.rec.event("%s crashes", e.ID)
			time.Sleep(crashPause)
		}
		e.OnRestart = func() { f.rec.event("%s is back", e.ID) }
	}
	if err := f.start(); err != nil {
		return false, err
	}
	l := newLoad(f, 50*time.Millisecond)
	began := time.Now()
	l.start()
	time.Sleep(10 * time.Second)
	model := "m"
	if trouble {
		model = oddModel
	}
	for _, e := range f.engines {
		e.CrashOn(crashText)
	}
	for n := range crashingSends {
		f.sendCrashing(n, model)
		time.Sleep(crashingInterval)
	}
	time.Sleep(time.Until(began.Add(oddTime)))
	l.stop()
	f.recordSpent(l)
	served, all := l.share(began, time.Now())
	f.rec.event("served: %d of %d", served, all)
	later, allLater := l.share(began.Add(afterTime), time.Now())
	f.rec.event("sent later than %v: %d of %d were served", afterTime, later, allLater)
	// Refused and failed requests are at most 60 in 100 of those owed.
	return 10*(all-served) > 6*all, nil
}

// sendCrashing sends the request that crashes engines: the same each time but for its ID.
func (f *fleet) sendCrashing(n int, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	g := f.gateways[n%len(f.gateways)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller+"/reviews/1", strings.NewReader(crashText))
	if err != nil {
		f.rec.event("request that crashes engines: %v", err)
		return
	}
	req.Host = "api.example"
	for name, value := range map[string]string{
		"X-Attempt-Id": fmt.Sprintf("crashing-%d", n), "Authorization": "Bearer " + f.tenants[0].key(), "X-Deadline-Ms": "3000", "X-Model": model,
		"X-Token-Count": fmt.Sprintf("%d,%d", promptTokens, outputTokens), "X-Prefix-Hash": "a1:20,b2:20,c3:20",
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.rec.event("request %s with the model %q at %s: %v", req.Header.Get("X-Attempt-Id"), model, g.name, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.rec.event("request %s with the model %q at %s: status %d, %.80q, %v", req.Header.Get("X-Attempt-Id"), model, g.name, resp.StatusCode, body, err)
}
