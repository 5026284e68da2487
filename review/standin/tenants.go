package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// applyTime is config-apply-ms, with room for the sending of a request.
	applyTime = 3 * time.Second
	// foreignKeys is the number of requests with keys that no configuration has held.
	foreignKeys   = 10
	tenantReplica = 2
)

// tenantConfiguration has one tenant, or none any more.
func tenantConfiguration(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"orders","hostname":"api.example","prefix":"/orders/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":300,"priority":0,"service":"desk","max-attempts":1,"public":false}],
"services":[{"name":"desk","health-path":"/healthz","max-connections":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[%s]}`, version, tenants)
}

func playTenants(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "", "config", tenantConfiguration(1, `{"name":"alpha","api-keys":["alpha-key"],"priority":1,"prepaid":1000000}`))
	pool := &replicas{store: d.store, service: "desk", work: workTime}
	defer pool.exitAll()
	for range tenantReplica {
		if err := pool.add(); err != nil {
			return false, err
		}
	}
	gateways, err := d.startFleet(2)
	if err != nil {
		return false, err
	}
	client := newClient()
	send := func(id, key string) int {
		r := platformtest.Send(context.Background(), client, gateways[0].client, platformtest.Request{ID: id, Key: key, Path: "/orders/a", Timeout: time.Second})
		d.logf("%s with key %s: status %d", id, key, r.Status)
		return r.Status
	}
	if s := send("first", "alpha-key"); s != http.StatusOK {
		return false, fmt.Errorf("the tenant's request got status %d", s)
	}
	if s := send("unknown", "made-up-key"); s != http.StatusUnauthorized {
		return false, fmt.Errorf("an unknown key got status %d", s)
	}
	if trouble {
		d.store.Put("op", "", "config", tenantConfiguration(2, ""))
		d.logf("version 2 is acknowledged: the tenant and its key are gone")
	}
	time.Sleep(applyTime)
	before, _ := pool.consumed("")
	for n := range foreignKeys {
		send(fmt.Sprintf("foreign-%d", n), fmt.Sprintf("never-held-%d", n))
	}
	if trouble {
		send("withdrawn", "alpha-key")
	}
	after, _ := pool.consumed("")
	d.logf("%d requests ran whose key the configuration in force does not hold", after-before)
	return after > before, nil
}
