package spender

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// minInterval is how often a router of a small fleet shows that it is in touch
	// with the platform.
	minInterval = 200 * time.Millisecond
	// fleetBeats is how many beats a second a whole fleet makes: a quarter of the
	// writes that the users' stores take (800 and more).
	fleetBeats = 200
	// beatSlack is how late a beat may be beside the time that a renewal takes.
	beatSlack = 50 * time.Millisecond
	// minBeatInterval bounds beats that are asked for.
	minBeatInterval = 20 * time.Millisecond
	// maxRenewal bounds the time for which a slow renewal raises marks.
	maxRenewal = time.Second
	// renewalFactor is how much of the time of a renewal a mark covers besides.
	renewalFactor = 2
	// unknownSilence stands for the silence of an incarnation that isn't known.
	unknownSilence = 24 * time.Hour
)

// Heartbeater writes a router's row with the time at which it was last in touch with
// the platform, and learns from it how long its predecessor can have lived on
// without.
//
// Times are by the platform's steady clock; a beat's time is a lower bound of
// when it took effect. Exported fields are set before Run.
type Heartbeater struct {
	Table       storer.Committer
	Incarnation string
	Key         string
	// Routers tells how many routers beat; nil means few.
	Routers func() float64
	// CollectAllowances hands the marks that a beat should carry to seal before anything more
	// is promised; Beaten is called when a beat has taken effect.
	CollectAllowances func(seal func(marks map[string]Allowance))
	OnConfirmed       func()
	// OnLost and Back are called when beats stop and begin to take effect.
	OnLost     func(err error)
	OnRestored func(silence time.Duration)

	mu      sync.Mutex // guards all below
	started time.Time
	// clock is the platform's clock as of its answer at clockAt.
	clock   time.Duration
	clockAt time.Time
	// beatAt is when the newest beat was made up, whether or not it took effect.
	beatAt      time.Time
	version     uint64
	predecessor string
	silence     time.Duration
	// marks are those of the newest beat known to have taken effect, sent those
	// of the one under way, left those of the predecessor.
	marks   map[string]Allowance
	marksAt time.Time
	// renewal is how long the last beat took.
	renewal time.Duration
	sent    map[string]Allowance
	left    map[string]Allowance
	wake    chan struct{}
	known   chan struct{}
	failing bool
}

// wireBeat is the form of a beat in the table.
type wireBeat struct {
	Incarnation string `json:"incarnation"`
	AtMillis    int64  `json:"atMillis"`
	// Marks are by organisation.
	Marks map[string]wireMark `json:"marks"`
}

type wireMark struct {
	Commit uint64  `json:"commit"`
	Mark   int64   `json:"mark"`
	Slope  float64 `json:"slope"`
	// NextCommit and NextMark are left out if no commit was under way.
	NextCommit uint64 `json:"nextCommit,omitempty"`
	NextMark   int64  `json:"nextMark,omitempty"`
}

// Credit returns the marks of an organisation that hold now.
func (b *Heartbeater) Credit(organisation string) Credit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beatAt.IsZero() {
		return Credit{}
	}
	now := time.Now()
	return Credit{
		Beaten: b.marks[organisation], BeatenAge: now.Sub(b.marksAt), Sent: b.sent[organisation], SentAge: now.Sub(b.beatAt),
	}
}

// interval returns the time between two beats that nothing asks for.
func (b *Heartbeater) interval() time.Duration {
	if b.Routers == nil {
		return minInterval
	}
	return max(minInterval, time.Duration(b.Routers()/fleetBeats*float64(time.Second)))
}

// Cover returns the time for which a mark should last: two intervals between
// beats, one of which may be late, and renewals that take as long as the last.
func (b *Heartbeater) Cover() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 2*b.interval() + beatSlack + renewalFactor*b.renewal
}

// Last returns the last mark of an earlier incarnation of this router, and an
// upper bound of how long after its last beat it can have lived.
func (b *Heartbeater) Last(incarnation, organisation string) (Allowance, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation == b.predecessor {
		return b.left[organisation], b.silence
	}
	return Allowance{}, unknownSilence
}

// Failing reports whether beats don't take effect.
func (b *Heartbeater) Failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// Wake asks for a beat at once.
func (b *Heartbeater) Wake() {
	select {
	case b.wakeChan() <- struct{}{}:
	default:
	}
}

func (b *Heartbeater) wakeChan() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// WaitKnown waits until the predecessor's beat is known.
func (b *Heartbeater) WaitKnown(ctx context.Context) bool {
	select {
	case <-b.knownChan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Heartbeater) knownChan() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = make(chan struct{})
	}
	return b.known
}

// Run beats until ctx ends.
func (b *Heartbeater) Run(ctx context.Context) {
	known := b.knownChan()
	b.mu.Lock()
	b.started = time.Now()
	b.mu.Unlock()
	var open *storer.Commit
	learned := false
	for ctx.Err() == nil {
		if open == nil {
			open = b.next()
		}
		sent := time.Now()
		receipt, err := b.Table.CommitWithReceipt(ctx, *open)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			b.answered(receipt.Clock, receipt.Version)
			open = nil
			if b.OnConfirmed != nil {
				b.OnConfirmed()
			}
		case errors.As(err, &conflict):
			b.conflicted(conflict, sent)
			open = nil
		}
		if !learned && (err == nil || conflict != nil) {
			learned = true
			close(known)
		}
		b.report(err, conflict != nil)
		if conflict == nil {
			b.rest(ctx)
		}
	}
}

// rest waits for the next beat.
func (b *Heartbeater) rest(ctx context.Context) {
	pauser.Pause(ctx, minBeatInterval)
	timer := time.NewTimer(b.interval() - minBeatInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wakeChan():
	}
}

// next makes up a beat; it is sent unchanged until its outcome is known, so that
// no beat can take effect that is younger than beatAt.
func (b *Heartbeater) next() *storer.Commit {
	var c *storer.Commit
	if b.CollectAllowances == nil {
		return b.seal(nil)
	}
	b.CollectAllowances(func(marks map[string]Allowance) { c = b.seal(marks) })
	return c
}

// seal makes the marks those of the beat under way.
func (b *Heartbeater) seal(marks map[string]Allowance) *storer.Commit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.beatAt = now
	at := b.clock
	if !b.clockAt.IsZero() {
		at += now.Sub(b.clockAt)
	}
	b.sent = marks
	beat := wireBeat{Incarnation: b.Incarnation, AtMillis: at.Milliseconds(), Marks: make(map[string]wireMark, len(marks))}
	for name, m := range marks {
		beat.Marks[name] = wireMark(m)
	}
	value, _ := json.Marshal(beat) // always encodes
	c := &storer.Commit{}
	c.Update(b.Key, b.version, value)
	return c
}

func (b *Heartbeater) answered(clock time.Duration, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clock, b.clockAt, b.version = clock, time.Now(), version
	b.took()
}

// took takes over the beat under way, which has taken effect.
func (b *Heartbeater) took() {
	b.marks, b.marksAt = b.sent, b.beatAt
	b.renewal = min(time.Since(b.beatAt), maxRenewal)
}

// conflicted learns the row: this incarnation's own beat, whose answer was lost,
// or the predecessor's.
func (b *Heartbeater) conflicted(conflict *storer.ConflictError, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clock, b.clockAt, b.version = conflict.Clock, time.Now(), 0
	var beat wireBeat
	for _, row := range conflict.Rows {
		b.version = row.Version
		if err := json.Unmarshal(row.Value, &beat); err != nil {
			return // an unreadable beat leaves the silence unknown
		}
	}
	if beat.Incarnation == b.Incarnation {
		b.took() // the beat whose answer was lost: it was sent unchanged
	}
	if beat.Incarnation == "" || beat.Incarnation == b.Incarnation {
		return
	}
	b.left = make(map[string]Allowance, len(beat.Marks))
	for name, m := range beat.Marks {
		b.left[name] = Allowance(m)
	}
	// The predecessor had ended when this process started, at most this much
	// platform time after its beat.
	start := conflict.Clock - sent.Sub(b.started)
	b.predecessor = beat.Incarnation
	b.silence = start - time.Duration(beat.AtMillis)*time.Millisecond
}

func (b *Heartbeater) report(err error, conflict bool) {
	b.mu.Lock()
	was := b.failing
	b.failing = err != nil && !conflict
	failing, silence := b.failing, time.Since(b.beatAt)
	b.mu.Unlock()
	switch {
	case failing && !was && b.OnLost != nil:
		b.OnLost(err)
	case !failing && was && b.OnRestored != nil:
		b.OnRestored(silence)
	}
}
