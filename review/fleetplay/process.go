package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// graceTime is the platform's time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
	// settingsVariable names the settings file, as the deploy file's processes expect it.
	settingsVariable = "EGRETROUTE_SETTINGS"
	zone             = "a"
	region           = "r"
)

// process is a gateway or a companion on a host of its own.
type process struct {
	name, role string
	caller     string
	ready      string
	fleet      string
	metrics    string
	f          *fleet

	mu      sync.Mutex // guards all below
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

func (f *fleet) newProcess(name, role string) *process {
	p := &process{
		name: name, role: role, f: f, caller: platformtest.NewAddress(), ready: platformtest.NewAddress(),
		fleet: platformtest.NewAddress(), metrics: platformtest.NewAddress(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p
}

// settings returns the settings file as the deploy file's templates give it.
func (p *process) settings(first bool) string {
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s = %v\n", key, value) }
	text := func(key, value string) { fmt.Fprintf(&b, "%s = %q\n", key, value) }
	text("name", p.name)
	text("domain", zone)
	text("fleetAddress", p.fleet)
	text("store", p.f.storeAddress)
	text("secret", "egretroute-fleet-link")
	line("maxDescriptors", 4200)
	if p.role == "companion" {
		line("maxMemory", 216)
		return b.String()
	}
	line("regions", fmt.Sprintf("{ %q = %q }", zone, region))
	text("callerAddress", p.caller)
	text("readyAddress", p.ready)
	text("metricsAddress", p.metrics)
	line("seeds", "["+strings.Join(p.f.seeds, ", ")+"]")
	line("maxMemory", 284)
	text("shutdownLimit", graceTime.String())
	line("retryRatio", 0.2)
	text("retryWindow", "10s")
	line("retrySlack", 54.0)
	if first {
		line("firstStart", true)
	}
	return b.String()
}

// start starts the process; its log goes to a file of its own in the work folder.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.f.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0 && !p.f.running.Load())), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.f.binary, p.role)
	c.Env = append(os.Environ(), settingsVariable+"="+path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.starts++
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	p.f.rec.event("start %s", p.name)
	go func() {
		err := c.Wait()
		p.f.rec.event("end %s: %v", p.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.f.rec.event("%v to %s", s, p.name)
		_ = p.command.Process.Signal(s) // it may have just ended
	}
}

// wait waits until the process has ended, at most for a time, and reports whether it has.
func (p *process) wait(most time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// stop ends the process as the platform does.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	if !p.wait(graceTime) {
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(graceTime)
}

// isRunning reports whether the process runs.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until the process says that it is ready.
func (p *process) waitReady(most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if platformtest.IsReady(p.ready) {
			return true
		}
	}
	return false
}
