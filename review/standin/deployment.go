package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// program is the program as the deploy file builds it.
	program = "target/egretroute"
	secret  = "egretroute-fleet-link"
	// contactTime is at least contact-ms of both sites.
	contactTime  = 4 * time.Second
	readyTimeout = 10 * time.Second
)

// site holds what a case takes from its site file: the least limits.max-fds of the edge machines, and retry-slack.
type site struct {
	maxDescriptors int
	retrySlack     int
}

var (
	hpousrEgret      = site{maxDescriptors: 4100, retrySlack: 58}
	hpousrEgretGrown = site{maxDescriptors: 4200, retrySlack: 80}
)

// process is a gateway or a companion.
type process struct {
	name     string
	role     string
	client   string
	ready    string
	fleet    string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
	// status is how the process ended; set before ended is closed.
	status string
}

// deployment is a small fleet on loopback addresses with the stand-ins around it.
type deployment struct {
	dir    string
	store  *platformtest.Store
	record *os.File
	began  time.Time
	site   site
	// bootstrapped is set once the whole system has started for the first time.
	bootstrapped bool
	// faultOnly is set if only the final fault is injected.
	faultOnly bool

	mu        sync.Mutex // guards all below
	processes []*process
	// onStop are called by stop.
	onStop []func()
}

func newDeployment(record string) (*deployment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	return &deployment{dir: dir, store: platformtest.NewStore(), record: f, began: time.Now(), site: hpousrEgret}, nil
}

// logf writes a line to the record, with the time since the start.
func (d *deployment) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = d.record.WriteString(line) // the result does not depend on it
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	d.mu.Lock()
	processes, onStop := d.processes, d.onStop
	d.mu.Unlock()
	for _, f := range onStop {
		f()
	}
	for _, p := range processes {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
	_ = d.record.Close()
}

// gateway starts a gateway with the settings that the deploy file's template gives it.
func (d *deployment) gateway(name, zone, store string, seeds []string, fleet string) (*process, error) {
	p := &process{name: name, role: "gateway", client: platformtest.NewAddress(), ready: platformtest.NewAddress(), fleet: fleet}
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s))
	}
	p.settings = fmt.Sprintf(`name = %q
domain = %q
callerAddress = %q
readyAddress = %q
fleetAddress = %q
store = %q
seeds = [%s]
secret = %q
maxDescriptors = %d
shutdownLimit = "8s"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = %d
firstStart = true
`, name, zone, p.client, p.ready, p.fleet, store, strings.Join(quoted, ","), secret, d.site.maxDescriptors, d.site.retrySlack)
	return p, d.start(p)
}

// companion starts a companion.
func (d *deployment) companion(name, zone, store string) (*process, error) {
	p := &process{name: name, role: "companion", fleet: platformtest.NewAddress()}
	p.settings = fmt.Sprintf("name = %q\ndomain = %q\nfleetAddress = %q\nstore = %q\nsecret = %q\n", name, zone, p.fleet, store, secret)
	return p, d.start(p)
}

// startFleet starts gateways and three companions, and waits until they are ready.
func (d *deployment) startFleet(gateways int) ([]*process, error) {
	var seeds []string
	for range gateways {
		seeds = append(seeds, platformtest.NewAddress())
	}
	var started []*process
	for i, address := range seeds {
		g, err := d.gateway(fmt.Sprintf("edge-%d", i), "a", d.store.Address(), seeds, address)
		if err != nil {
			return nil, err
		}
		started = append(started, g)
	}
	for i := range 3 {
		if _, err := d.companion(fmt.Sprintf("side-%d", i), "a", d.store.Address()); err != nil {
			return nil, err
		}
	}
	return started, waitReady(started...)
}

// start starts a process, again if it was started before.
func (d *deployment) start(p *process) error {
	path := filepath.Join(d.dir, p.name+".toml")
	if d.bootstrapped {
		p.settings = strings.Replace(p.settings, "firstStart = true\n", "", 1)
	}
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer output.Close()
	p.command = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s %s", d.site.maxDescriptors, program, p.role))
	p.command.Env = append(os.Environ(), "EGRETROUTE_SETTINGS="+path)
	p.command.Stdout, p.command.Stderr = output, output
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	d.logf("started %s: %s %s, process %d", p.name, program, p.role, p.command.Process.Pid)
	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		p.status = fmt.Sprint(err)
		d.logf("%s has ended: %v", p.name, err)
		close(ended)
	}(p.command, p.ended)
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return nil
}

// descriptors returns the number of open descriptors of a process, for the record only.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// waitReady waits until gateways say that they are ready.
func waitReady(gateways ...*process) error {
	for _, g := range gateways {
		until := time.Now().Add(readyTimeout)
		for !platformtest.IsReady(g.ready) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second} // clients allow a connection one second
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second}}
}

// honour waits as long as a refusal's Retry-After says.
func honour(ctx context.Context, retryAfter string) {
	if s, err := strconv.ParseFloat(retryAfter, 64); err == nil {
		sleep(ctx, time.Duration(s*float64(time.Second)))
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
