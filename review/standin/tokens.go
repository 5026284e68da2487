package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// playTime is the length of the case; the hot tenant sends more from hotAt on for hotTime.
	playTime = 30 * time.Second
	hotAt    = 10 * time.Second
	hotTime  = 6500 * time.Millisecond
	// hotTenths is ten times x of the site's hot_tenant.
	hotTenths = 75
	// usualGap is the time between two requests of the tenant, promptTokens and outputTokens what each asks for.
	usualGap     = 250 * time.Millisecond
	promptTokens = 100
	outputTokens = 200
	// prepaidFactor is prepaid_x of the site: the budget is that much more than the usual use.
	prepaidFactor = 1.3
	engineWork    = 60 * time.Millisecond
	tokenReplicas = 3
)

// prepaid is the tenant's budget.
var prepaid = int64(prepaidFactor * float64(promptTokens+outputTokens) * playTime.Seconds() / usualGap.Seconds())

// tokenConfiguration has a route of model requests that may be repeated and are not streamed.
func tokenConfiguration() []byte {
	return fmt.Appendf(nil, `{"version":1,"routes":[
{"name":"summaries","hostname":"api.example","prefix":"/summaries/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"llm","max-attempts":2,"public":false,"session-affinity":true}],
"services":[{"name":"llm","health-path":"/healthz","max-connections":250,"engine":{"slots":%d,"kv-capacity":336834,"stride":4}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"alpha","api-keys":["alpha-key"],"priority":1,"prepaid":%d}]}`, slots, prepaid)
}

func playTokens(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "", "config", tokenConfiguration())
	pool := &replicas{store: d.store, service: "llm", work: engineWork}
	defer pool.exitAll()
	for range tokenReplicas {
		if err := pool.add(); err != nil {
			return false, err
		}
	}
	gateways, err := d.startFleet(2)
	if err != nil {
		return false, err
	}
	seen := &observations{}
	began := time.Now()
	var wg sync.WaitGroup
	client := newClient()
	for n := 0; time.Since(began) < playTime; n++ {
		g := gateways[n%len(gateways)]
		wg.Go(func() {
			r := platformtest.Send(context.Background(), client, g.client, platformtest.Request{
				ID: fmt.Sprintf("t%d", n), Key: "alpha-key", Path: "/summaries/a", PromptTokens: promptTokens, OutputTokens: outputTokens, Timeout: 3 * time.Second,
				Parts: []string{"a1", fmt.Sprintf("b%04x", n)},
			})
			seen.add(r.Status)
		})
		gap := usualGap
		if since := time.Since(began); trouble && since >= hotAt && since < hotAt+hotTime {
			gap = usualGap * 10 / hotTenths
		}
		time.Sleep(gap)
	}
	wg.Wait()
	runs, tokens := pool.consumed("alpha")
	d.logf("alpha: %s; %d requests ran, which have read and delivered %d tokens; prepaid %d", seen.summary(playTime), runs, tokens, prepaid)
	return tokens > prepaid, nil
}
