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
	// entryClients send a request each entryGap, one after the other.
	entryClients = 24
	entryGap     = 160 * time.Millisecond
	// entryReplicas is the number of replicas of the service; one of them leaves at leaveAt.
	entryReplicas = 3
	leaveAt       = 6 * time.Second
	entryTime     = 15 * time.Second
	// drainMargin is how much later than drain-ms a request must reach the replica to count.
	drainMargin = 250 * time.Millisecond
)

// foreignEntry is what another writer leaves in place of an entry: its state is none that the pages name.
const foreignEntry = `{"service":"desk","address":%q,"zone":"a","version":"v1","slots":6,"state":"retired","cold-remaining-ms":0,"sequence":9,"born":%d}`

func playEntries(d *deployment, trouble bool) (bool, error) {
	platformtest.Configuration{Version: 1, AlphaBudget: 1_000_000}.Put(d.store)
	pool := &replicas{store: d.store, service: "desk", work: workTime}
	defer pool.exitAll()
	for range entryReplicas {
		if err := pool.add(); err != nil {
			return false, err
		}
	}
	gateways, err := d.startFleet(2)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), entryTime)
	defer cancel()
	var mu sync.Mutex
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for i := range entryClients {
		wg.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			sleep(ctx, time.Duration(i)*entryGap/entryClients)
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("e%d-%d", i, n)
				r := platformtest.Send(context.Background(), client, gateways[i%len(gateways)].client, platformtest.Request{
					ID: id, Key: "beta-key", Path: "/orders/a", Timeout: time.Second,
				})
				mu.Lock()
				statuses[r.Status]++
				mu.Unlock()
				if r.Status != http.StatusOK {
					d.logf("%s: status %d, error %v, body %q", id, r.Status, r.Err, r.Body)
				}
				sleep(ctx, entryGap)
			}
		})
	}
	sleep(ctx, leaveAt)
	leaving := pool.ready[0]
	if trouble {
		d.store.Put("servers", "", leaving.id, fmt.Appendf(nil, foreignEntry, leaving.address, leaving.started.UnixMilli()))
	} else {
		d.store.Delete("servers", "", leaving.id)
	}
	acknowledged := time.Now()
	d.logf("the entry of %s names no replica any more", leaving.id)
	sleep(ctx, drainTime+lingerTime)
	late := leaving.arrivedAfter(acknowledged.Add(drainTime + drainMargin))
	d.logf("%s exits; %d requests have reached it later than drain-ms", leaving.id, late)
	leaving.exit()
	<-ctx.Done()
	wg.Wait()
	d.logf("answers by status: %v", statuses)
	return late > 0, nil
}
