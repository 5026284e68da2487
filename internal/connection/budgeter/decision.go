package budgeter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ordinaryBytes is the size up to which a claim is ordinary: a connection and a request of usual
	// size.
	ordinaryBytes = 128 << 10
	// largeShare is the share of the limit that is open to claims that are larger. The rest is for
	// ordinary ones.
	largeShare = 0.75
	// QuietTime is the time without progress after which a claim loses its place when room is
	// needed.
	QuietTime = time.Second
)

// Claim is what is held for one connection.
type Claim struct {
	Held int64
	// Quiet is the time since the connection last made progress.
	Quiet time.Duration
	// Closable is unset while a request runs: its answer may still be delivered.
	Closable bool
}

// Load is the state of a budget when a claim asks for more.
type Load struct {
	Limit int64
	Held  int64
	// Claims are all claims but the one that asks, Asker is that one.
	Claims []Claim
	Asker  Claim
	Need   int64
}

// Decision says whether a claim gets what it asks for, and which others lose their place.
type Decision struct {
	Admit bool
	// Evict are indexes of Claims.
	Evict []int
}

// room returns how much more the asker may hold without an eviction; it may be negative.
func (l Load) room() int64 {
	if l.ordinary() {
		return l.Limit - l.Held
	}
	return int64(largeShare*float64(l.Limit)) - l.Held
}

// ordinary reports whether the asker stays ordinary with what it needs.
func (l Load) ordinary() bool {
	return l.Asker.Held+l.Need <= ordinaryBytes
}

// Decide decides about a claim that asks for more. It answers a crowd of clients that send large
// requests and mostly stop before their end. Quiet claims are evicted, the largest first; for an ordinary
// asker also large ones that are not quiet. A large asker is not admitted before the evicted have
// released what they hold.
func Decide(l Load) Decision {
	missing := l.Need - l.room()
	if missing <= 0 {
		return Decision{Admit: true}
	}
	var candidates []int
	for i, c := range l.Claims {
		if c.Closable && (c.Quiet >= QuietTime || (l.ordinary() && c.Held > ordinaryBytes)) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(i, j int) int {
		a, b := l.Claims[i], l.Claims[j]
		if quiet := cmp.Compare(b.rank(), a.rank()); quiet != 0 {
			return quiet
		}
		return cmp.Compare(b.Held, a.Held)
	})
	var d Decision
	for _, i := range candidates {
		if missing <= 0 {
			break
		}
		missing -= l.Claims[i].Held
		d.Evict = append(d.Evict, i)
	}
	d.Admit = missing <= 0 && l.ordinary()
	return d
}

// rank orders quiet claims before others.
func (c Claim) rank() int {
	if c.Quiet >= QuietTime {
		return 1
	}
	return 0
}

// Slowest returns the indexes of at most n claims that are quiet and closable, the longest quiet
// first. It answers a crowd that opens connections and leaves them open without a whole request.
func Slowest(claims []Claim, n int) []int {
	var quiet []int
	for i, c := range claims {
		if c.Closable && c.Quiet >= QuietTime {
			quiet = append(quiet, i)
		}
	}
	slices.SortFunc(quiet, func(i, j int) int { return cmp.Compare(claims[j].Quiet, claims[i].Quiet) })
	return quiet[:max(min(n, len(quiet)), 0)]
}
