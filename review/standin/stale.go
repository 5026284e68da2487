package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// staleRounds is how often the store comes back from a copy.
	staleRounds = 3
	// applyTime is how long after the acknowledgement of a configuration requests are sent: more than
	// config-apply-ms (2000) and outer-ms (5000) together, and than contact-ms (3000) after the drill.
	applyTime = 9 * time.Second
	// silentTime is how long the store is silent, copiedBefore how long before that the copy was made, and
	// changeAfter how long after its return the operator's next change is acknowledged.
	silentTime   = 2500 * time.Millisecond
	copiedBefore = 700 * time.Millisecond
	changeAfter  = 200 * time.Millisecond
	// checkWork is the mean work of the site's fourth kind of request.
	checkWork = 15 * time.Millisecond
	desks     = 6
)

// keyConfiguration has a tenant with the keys key-N and on.
func keyConfiguration(version int) []byte {
	keys := ""
	for n := version; n <= staleRounds+1; n++ {
		if keys != "" {
			keys += ","
		}
		keys += fmt.Sprintf(`"key-%d"`, n)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"checks","hostname":"api.example","prefix":"/checks/","route-type":"idempotent","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"desk","max-attempts":2,"public":false}],
"services":[{"name":"desk","health-path":"/healthz","max-connections":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"alpha","api-keys":[%s],"priority":1,"prepaid":5064817}]}`, version, keys)
}

// playStale lets the store come back from a copy while the operator withdraws keys, one after the other.
func playStale(d *deployment, trouble bool) (bool, error) {
	d.store.SetEra(0)
	d.store.Put("op", "", "config", keyConfiguration(1))
	desk := &replicas{store: d.store, service: "desk", work: checkWork}
	d.onStop = append(d.onStop, desk.exitAll)
	for range desks {
		if err := desk.add(); err != nil {
			return false, err
		}
	}
	gateways, err := d.startFleet(3)
	if err != nil {
		return false, err
	}
	d.bootstrapped = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go desk.beat(ctx)
	sleep(ctx, contactTime+2*time.Second)
	client := newClient()
	served := 0
	for round := 1; round <= staleRounds; round++ {
		if trouble {
			d.silentDrill(ctx)
		}
		d.store.Put("op", "", "config", keyConfiguration(round+1))
		acknowledged := time.Now()
		d.logf("configuration %d is acknowledged: key-%d is withdrawn", round+1, round)
		sleep(ctx, applyTime)
		for _, g := range gateways {
			for _, key := range []int{round, round + 1} {
				r := platformtest.Send(ctx, client, g.client, platformtest.Request{
					ID: fmt.Sprintf("check-%d-%s-%d", round, g.name, key), Key: fmt.Sprintf("key-%d", key), Path: "/checks/1", Timeout: 1500 * time.Millisecond,
				})
				d.logf("%.1f s after the acknowledgement: request with key-%d to %s: status %d, signed by a replica %t, body %q",
					time.Since(acknowledged).Seconds(), key, g.name, r.Status, r.Signed, r.Body)
				if key == round && r.Status == http.StatusOK {
					served++
				}
				if key != round && r.Status != http.StatusOK {
					return false, fmt.Errorf("%s doesn't serve the key that holds", g.name)
				}
			}
		}
	}
	runs, _ := desk.consumed("alpha")
	d.logf("%d requests with a withdrawn key were served; the replicas ran %d requests", served, runs)
	return served > 0, nil
}

// silentDrill lets the store be silent and come back from a copy.
func (d *deployment) silentDrill(ctx context.Context) {
	c := d.store.Copy()
	sleep(ctx, copiedBefore)
	d.logf("the store is silent from version %d on", d.store.Version())
	d.store.SetFaults(platformtest.Faults{Silent: true})
	sleep(ctx, silentTime)
	rewrite := d.store.Restore(c)
	d.store.SetFaults(platformtest.Faults{})
	rewrite()
	d.logf("the store is back, at version %d, from a copy that is %v old", d.store.Version(), copiedBefore+silentTime)
	sleep(ctx, changeAfter)
}

// beat lets the replicas write their entries again every heartbeat-ms.
func (s *replicas) beat(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, heartbeat) {
		s.mu.Lock()
		for _, r := range s.ready {
			platformtest.PutTarget(s.store, r.id, r.entry())
		}
		s.mu.Unlock()
	}
}
