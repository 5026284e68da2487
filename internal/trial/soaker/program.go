package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// program is a gateway or a companion; it may be started many times.
type program struct {
	name          string
	kind          string
	binary        string
	dir           string
	callerAddress string
	readyAddress  string
	fleetAddress  string
	seeds         []string
	storeProxy    *proxy

	// files serialises starts and reloads; it is taken before mu.
	files sync.Mutex

	// mu guards all below. Nothing that may wait for the machine is done under it, since an exit is
	// noted under it.
	mu         sync.Mutex
	retrySlack int
	// starting is closed when the start in progress is over; nil if there is none.
	starting chan struct{}
	command  *exec.Cmd
	exit     *exit
	// startedAt is when the process was started.
	startedAt time.Time
	starts    int
	frozen    bool
	// frozenFrom and frozenUntil are the last period in which the process was frozen.
	frozenFrom  time.Time
	frozenUntil time.Time
	stopping    bool
	findings    []string
	// signals are the signals and starts of all incarnations, in order.
	signals []Signal
}

// exit is the end of a process.
type exit struct {
	// noted is closed when at is set.
	noted chan struct{}
	at    time.Time
}

// signalSetupTime is how long a process may take until it handles signals. A
// process that is stopped earlier may fail, since it has no clients yet.
const signalSetupTime = 100 * time.Millisecond

// start starts a new incarnation, unless one is running.
func (p *program) start() error {
	p.files.Lock()
	defer p.files.Unlock()
	p.mu.Lock()
	if p.command != nil {
		p.mu.Unlock()
		return nil
	}
	p.starts++
	p.starting = make(chan struct{})
	settings := p.settings()
	p.mu.Unlock()

	command, err := p.startProcess(settings)
	startedAt := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.starting)
	p.starting = nil
	if err != nil {
		return err
	}
	p.command, p.exit = command, &exit{noted: make(chan struct{})}
	p.stopping, p.frozen, p.startedAt = false, false, startedAt
	p.noteSignal(start)
	go p.reap(p.command, p.exit)
	return nil
}

// startProcess starts the process with new settings.
func (p *program) startProcess(settings string) (*exec.Cmd, error) {
	if err := p.writeSettings(settings); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.binary, p.kind, "-settings", p.settingsPath())
	command.Stdout, command.Stderr = log, log
	return command, errors.Wrap(command.Start(), "start "+p.name)
}

// reap waits for a process to exit and records an unexpected or failed exit.
func (p *program) reap(command *exec.Cmd, e *exit) {
	err := command.Wait()
	at := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == command {
		startingUp := at.Sub(p.startedAt) < signalSetupTime
		if !p.stopping || (err != nil && !startingUp) {
			p.findings = append(p.findings, fmt.Sprintf("CRASH: %s exited unexpectedly: %v", p.name, err))
		}
		p.command = nil
	}
	e.at = at
	close(e.noted)
}

// lockStarted locks mu while no start is in progress.
func (p *program) lockStarted() {
	p.mu.Lock()
	for p.starting != nil {
		starting := p.starting
		p.mu.Unlock()
		<-starting
		p.mu.Lock()
	}
}

func (p *program) settingsPath() string {
	return filepath.Join(p.dir, p.name+".toml")
}

// settings returns the content of the settings file; the caller holds mu.
func (p *program) settings() string {
	var b strings.Builder
	line := func(key, value string) { fmt.Fprintf(&b, "%s = %q\n", key, value) }
	line("name", p.name)
	line("domain", "a")
	line("fleetAddress", p.fleetAddress)
	line("store", p.storeProxy.address)
	line("secret", secret)
	if p.kind == "gateway" {
		line("callerAddress", p.callerAddress)
		line("readyAddress", p.readyAddress)
		line("leaveTime", "300ms")
		line("shutdownLimit", stopLimit.String())
		fmt.Fprintf(&b, "retrySlack = %d.0\n", p.retrySlack)
		fmt.Fprintf(&b, "seeds = [%s]\n", quoted(p.seeds))
		fmt.Fprintf(&b, "firstStart = %t\n", p.starts <= 1)
	}
	return b.String()
}

// writeSettings replaces the settings file atomically, as an operator's tool does.
func (p *program) writeSettings(settings string) error {
	next := p.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(next, p.settingsPath()), "replace settings")
}

// quoted returns texts as the elements of a TOML array.
func quoted(texts []string) string {
	list := make([]string, len(texts))
	for i, text := range texts {
		list[i] = strconv.Quote(text)
	}
	return strings.Join(list, ", ")
}

// incarnation returns the name of the running process, or of the last one.
func (p *program) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s@%d", p.name, p.starts)
}

// reload changes a setting in the file and optionally sends SIGHUP.
func (p *program) reload(signal bool) error {
	p.files.Lock()
	defer p.files.Unlock()
	p.mu.Lock()
	p.retrySlack ^= 1 // any change to the file will do
	settings := p.settings()
	p.mu.Unlock()
	err := p.writeSettings(settings)
	if signal {
		p.signal(syscall.SIGHUP)
	}
	return err
}

// signal sends a signal to the process, if one is running.
func (p *program) signal(s syscall.Signal) {
	p.lockStarted()
	defer p.mu.Unlock()
	if p.command != nil {
		p.noteSignal(s)
		_ = p.command.Process.Signal(s) // it may have just ended
	}
}

// signalStopping sends a signal to the process if it is stopping.
func (p *program) signalStopping(s syscall.Signal) {
	p.lockStarted()
	defer p.mu.Unlock()
	if p.command != nil && p.stopping {
		p.noteSignal(s)
		_ = p.command.Process.Signal(s) // it may have just ended
	}
}

// noteSignal notes a signal or a start; the caller holds mu.
func (p *program) noteSignal(s syscall.Signal) {
	p.signals = append(p.signals, Signal{time.Now(), s})
}

// noted returns the signals and starts of all incarnations.
func (p *program) noted() []Signal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.signals)
}

// freeze stops the process with SIGSTOP until unfreeze.
func (p *program) freeze() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen, p.frozenFrom = true, time.Now()
}

func (p *program) unfreeze() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen {
		p.frozen, p.frozenUntil = false, time.Now()
	}
}

// frozenDuring reports whether the process was frozen at any time in a period.
func (p *program) frozenDuring(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozenFrom.Before(to) && (p.frozen || p.frozenUntil.After(from))
}

// kill ends the process with SIGKILL.
func (p *program) kill() {
	p.lockStarted()
	command, e := p.command, p.exit
	p.command = nil
	if command != nil {
		p.noteSignal(syscall.SIGKILL)
	}
	p.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill() // it may have just ended
		<-e.noted
	}
}

// stop ends the process with SIGTERM. A process that does not exit in time is
// recorded and killed.
func (p *program) stop() {
	p.lockStarted()
	p.stopping = true
	e, running := p.exit, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGTERM)
	deadline := time.Now().Add(stopLimit + time.Second)
	exited := e.isNotedBy(deadline)
	if !exited || e.at.After(deadline) {
		p.mu.Lock()
		if !p.frozen {
			p.findings = append(p.findings, fmt.Sprintf("STOP: %s did not exit within its shutdown limit", p.name))
		}
		p.mu.Unlock()
	}
	if !exited {
		p.kill()
	}
}

// isNotedBy waits until the exit is noted, at most until a deadline, and reports whether it is.
func (e *exit) isNotedBy(deadline time.Time) bool {
	select {
	case <-e.noted:
		return true
	case <-time.After(time.Until(deadline)):
	}
	select { // it may have come at the same time
	case <-e.noted:
		return true
	default:
		return false
	}
}

func (p *program) waitReady(timeout time.Duration) bool {
	if p.kind != "gateway" {
		return true
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if platformtest.IsReady(p.readyAddress) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (p *program) collectFindings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findings
}
