package soaker

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// noteTime is how long it may take until an exit is noted.
	noteTime = 2 * time.Second
	// standinScript ends half a second after SIGTERM, with the status that takes the place of STATUS.
	standinScript = "trap 'sleep 0.5; exit STATUS' TERM\necho ready\nwhile :; do sleep 0.02; done\n"
)

// An exit is noted in time although the machine holds up the files of a reload.
func TestStopNotNotedDuringAReload(t *testing.T) {
	for _, c := range []struct {
		name        string
		reloadFirst bool
		startingUp  bool // the process fails, which it may while it starts
	}{
		{name: "after the signal"},
		{name: "before the signal", reloadFirst: true},
		{name: "starting up", startingUp: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			status := "0"
			if c.startingUp {
				status = "1"
			}
			p := startStandin(t, status)
			if c.startingUp {
				p.mu.Lock()
				p.startedAt = time.Now().Add(noteTime / 2)
				p.mu.Unlock()
			}
			release := stallWrites(t, p.settingsPath()+".next")
			var reloaded, stopped <-chan struct{}
			if c.reloadFirst {
				reloaded = inBackground(func() { _ = p.reload(false) }) // the file is a pipe
				time.Sleep(50 * time.Millisecond)
				stopped = inBackground(p.stop)
			} else {
				stopped = inBackground(p.stop)
				waitFor(t, func() bool {
					return slices.ContainsFunc(p.noted(), func(s Signal) bool { return s.Signal == syscall.SIGTERM })
				})
				reloaded = inBackground(func() { _ = p.reload(false) })
			}
			if !endsIn(stopped, noteTime) {
				t.Errorf("the exit was not noted within %v", noteTime)
				endsIn(stopped, stopLimit) // until it would be taken for a stop that took too long
			}
			assert.Assert(t, !endsIn(reloaded, 0), "the file was written")
			release()
			<-stopped
			<-reloaded
			assert.Equal(t, len(p.collectFindings()), 0, "%v", p.collectFindings())
		})
	}
}

// An exit is noted in time although the machine holds up the files of the next start.
func TestKillNotNotedDuringAStart(t *testing.T) {
	for _, suffix := range []string{".toml.next", ".log"} {
		t.Run(suffix, func(t *testing.T) {
			t.Parallel()
			p := startStandin(t, "0")
			release := stallWrites(t, filepath.Join(p.dir, p.name+suffix))
			p.mu.Lock() // so that the start comes between the kill and the note of it
			killed := inBackground(p.kill)
			time.Sleep(50 * time.Millisecond)
			started := inBackground(func() { _ = p.start() }) // the file is a pipe
			time.Sleep(50 * time.Millisecond)
			p.mu.Unlock()
			if !endsIn(killed, noteTime) {
				t.Errorf("the exit was not noted within %v", noteTime)
			}
			release()
			<-killed
			<-started
			assert.Equal(t, len(p.collectFindings()), 0, "%v", p.collectFindings())
		})
	}
}

// An order for a process waits for its start.
func TestStopWaitsForAStart(t *testing.T) {
	p := startStandin(t, "0")
	p.kill()
	release := stallWrites(t, filepath.Join(p.dir, p.name+".log"))
	started := inBackground(func() { _ = p.start() })
	time.Sleep(50 * time.Millisecond)
	killed := inBackground(p.kill)
	assert.Assert(t, !endsIn(killed, 200*time.Millisecond))
	release()
	<-started
	<-killed
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.command == nil)
	assert.Equal(t, p.signals[len(p.signals)-1].Signal, syscall.SIGKILL)
}

// A process that ends later than its limit is reported.
func TestStopThatTakesTooLong(t *testing.T) {
	t.Parallel()
	p := startStandin(t, "0; sleep 60")
	p.signal(syscall.SIGSTOP)
	begun := time.Now()
	p.stop()
	assert.Assert(t, time.Since(begun) >= stopLimit+time.Second)
	assert.Equal(t, len(p.collectFindings()), 1)
	assert.Assert(t, strings.HasPrefix(p.collectFindings()[0], "STOP"), p.collectFindings()[0])
}

// An exit that nobody asked for and one with an error are reported.
func TestCrashes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		end  func(p *program)
	}{
		{name: "unasked", end: func(p *program) { p.signal(syscall.SIGTERM) }},
		{name: "with an error", end: (*program).stop},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startStandin(t, "1")
			time.Sleep(signalSetupTime)
			c.end(p)
			waitFor(t, func() bool { return len(p.collectFindings()) > 0 })
			assert.Equal(t, len(p.collectFindings()), 1)
			assert.Assert(t, strings.HasPrefix(p.collectFindings()[0], "CRASH"), p.collectFindings()[0])
		})
	}
}

// startStandin starts a shell script in place of a gateway, and waits until it handles signals.
func startStandin(t *testing.T, status string) *program {
	t.Helper()
	dir := t.TempDir()
	script := filepath.Join(dir, "standin.sh")
	assert.NilError(t, os.WriteFile(script, []byte(strings.ReplaceAll(standinScript, "STATUS", status)), 0o600))
	p := &program{name: "standin", kind: script, binary: "/bin/sh", dir: dir, storeProxy: &proxy{}}
	assert.NilError(t, p.start())
	t.Cleanup(p.kill)
	waitFor(t, func() bool {
		log, err := os.ReadFile(filepath.Join(dir, "standin.log"))
		return err == nil && strings.Contains(string(log), "ready")
	})
	return p
}

// stallWrites lets whoever opens a file for writing wait until release is called.
func stallWrites(t *testing.T, path string) (release func()) {
	t.Helper()
	_ = os.Remove(path) // it may not exist
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	return func() {
		reader, err := os.OpenFile(path, os.O_RDWR, 0)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = reader.Close() })
	}
}

// inBackground calls f and returns a channel that is closed when it has returned.
func inBackground(f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	return done
}

// endsIn reports whether a channel is closed within a time.
func endsIn(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return true
	default:
	}
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "waited in vain")
	}
}
