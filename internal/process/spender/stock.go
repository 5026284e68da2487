package spender

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Row is the durable state of an organisation's prepaid budget, in tokens, as
// the routers of a platform keep it: one row for each organisation, changed by
// conditional commits only.
//
// Spent + the sum of Held never exceeds the limit that its writers know.
type Row struct {
	// Spent is what all requests have cost that are settled.
	Spent   int64
	Holders map[string]RowHolder
}

// RowHolder is what one incarnation of a router holds, in tokens.
type RowHolder struct {
	// Router is the name that all incarnations of a router share.
	Router string
	// Held is drawn and not settled yet.
	Held int64
	// Mark is how much of Held the holder may promise at once, Slope how much
	// more it may promise with each second since its last beat.
	Mark  int64
	Slope float64
	// Busy is the part of Held that running requests may cost at most.
	Busy int64
	// Rate is the holder's demand in tokens a second.
	Rate float64
	// Commit numbers the holder's commits; it resolves a commit whose answer was lost.
	Commit uint64
}

// BeatMark is a mark that a beat renews between two commits of the row.
type BeatMark struct {
	// Commit is the commit of the holding that the mark belongs to.
	Commit uint64
	Mark   int64
	Slope  float64
	// NextCommit and NextMark hold instead if a commit that was under way when the
	// beat was made up has taken effect.
	NextCommit uint64
	NextMark   int64
}

// Credit is what beats add to a holding.
type Credit struct {
	// Beaten is the mark of the newest beat known to have taken effect, Sent that
	// of the newest beat made up; they are the same if none is under way.
	Beaten    BeatMark
	BeatenAge time.Duration
	Sent      BeatMark
	SentAge   time.Duration
}

// with returns the holding with the mark of a beat, if that belongs to it.
func (h RowHolder) with(b BeatMark) RowHolder {
	switch {
	case h.Commit == 0:
	case b.Commit == h.Commit:
		h.Mark = max(h.Mark, b.Mark)
		h.Slope = max(h.Slope, b.Slope)
	case b.NextCommit == h.Commit:
		h.Mark = max(h.Mark, b.NextMark)
		h.Slope = max(h.Slope, b.Slope)
	}
	return h
}

// Authorised returns how much of a holding its holder may have promised at a
// time since its last beat.
//
// It answers the death of holders: what they promised since their last commit
// isn't known and must count as spent, so as little as possible may be promised
// unseen while the platform answers, and all of it when it has been away for long.
func (h RowHolder) Authorised(sinceBeat time.Duration) int64 {
	if sinceBeat >= FullAfter {
		return h.Held
	}
	return min(h.Held, h.Mark+int64(h.Slope*max((sinceBeat-slopeDelay).Seconds(), 0)))
}

// heldByOthers returns the sum of all holdings but self's.
func (r Row) heldByOthers(self string) int64 {
	var sum int64
	for name, h := range r.Holders {
		if name != self {
			sum += h.Held
		}
	}
	return sum
}

// describe lists the holders other than self as NAME:HELD/BUSY.
func (r Row) describe(self string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.Holders)) {
		if h := r.Holders[name]; name != self && h.Held > 0 {
			fmt.Fprintf(&b, "%s:%d/%d ", name, h.Held, h.Busy)
		}
	}
	return strings.TrimSpace(b.String())
}

// lenders returns the routers other than self that hold more than they have
// promised, those with the most first.
func (r Row) lenders(self string) []string {
	spare := make(map[string]int64)
	for name, h := range r.Holders {
		if name != self && h.Held > h.Busy {
			spare[h.Router] += h.Held - h.Busy
		}
	}
	names := slices.Collect(maps.Keys(spare))
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(spare[b], spare[a]) })
	return names
}

// Stock policy figures.
const (
	// markTime is the spending that a mark covers beside running requests: two
	// intervals between beats, one of which may be late.
	markTime = 450 * time.Millisecond
	// renewalFactor is how much of the time of a renewal a mark covers besides.
	renewalFactor = 2
	// slopeFactor is how much faster than recent demand a holder may spend while
	// it can't renew its mark.
	slopeFactor = 2
	// slopeDelay is the time since the last beat from which a holder may spend
	// beyond its mark. Most crashes and restarts of a process take less.
	slopeDelay = 2 * time.Second
	// FullAfter is the time since the last beat after which a holder may promise
	// all that it holds: longer than the cuts that the users expect.
	FullAfter = 12 * time.Second
	// givenBack is the part of a running request's bound that it likely doesn't cost.
	givenBack = 0.1
	// stockWindow is the time over which demand is averaged.
	stockWindow = 5 * time.Second
	// returnFactor is how far above its target a holding may stand before the
	// rest goes back.
	returnFactor = 1.5
	// drawFactor is the fraction of its target below which a holding is refilled.
	drawFactor = 0.8
)

// StockView is what decides how much a holder should hold, in tokens.
type StockView struct {
	Limit int64
	Spent int64
	// OthersHeld and OthersRate sum up the other holders.
	OthersHeld int64
	OthersRate float64
	// OthersBusy is what the others have promised to running requests.
	OthersBusy int64
	// Others is the number of other holders.
	Others int
	// Held is what this holder holds, Busy what of it is promised, Need what
	// requests that could not be covered ask for.
	Held int64
	Busy int64
	Need int64
	// Rate is what requests ask for, SpendRate what they cost, in tokens a second.
	Rate      float64
	SpendRate float64
	// Horizon is the time for which a stock should last.
	Horizon time.Duration
}

// StockSlope returns the slope of a holding's mark, in tokens a second; a holder
// without demand gets the pace of a small one.
func StockSlope(v StockView) float64 {
	return max(slopeFactor*v.SpendRate, v.least(max(v.Limit-v.Spent, 0))/4)
}

// StockMark returns the mark of a holding after a commit, for a platform that
// takes the given time to renew it.
func StockMark(v StockView, held int64, renewal time.Duration) int64 {
	floor := int64(v.least(max(v.Limit-v.Spent, 0)) / 4)
	return min(held, v.Busy+max(int64(v.SpendRate*(markTime+renewalFactor*renewal).Seconds()), floor)+v.Need)
}

// StockTarget returns what a holder should hold.
//
// It answers the load of a cut: a holder must live on its stock for the length
// of the cut, and whatever it holds can't be used elsewhere. So it holds its
// demand over the horizon, but never more than its share of what is left by
// demand, which shrinks by itself as the budget runs out.
func StockTarget(v StockView) int64 {
	pool := v.Limit - v.Spent - v.Busy
	if pool <= 0 {
		return v.Busy
	}
	share := 1.0 / float64(v.Others+1)
	if v.Rate+v.OthersRate > 0 {
		share = evenShare*share + (1-evenShare)*v.Rate/(v.Rate+v.OthersRate)
	}
	stock := min(max(v.Rate*v.Horizon.Seconds(), v.least(pool)), float64(pool)*share)
	return v.Busy + int64(stock) + v.Need
}

// Covers reports whether a budget may yet cover a request, when all that is not
// promised and the part of running requests' bounds that they likely give back
// are counted.
//
// It answers the load at the end of a budget: a request that waits for tokens
// which won't come back is better told so at once.
func (v StockView) Covers(amount int64) bool {
	promised := v.Busy + v.OthersBusy
	left := v.Limit - v.Spent - promised
	return left+int64(givenBack*float64(promised)) >= amount
}

// least returns what a holder without demand should hold of a pool.
func (v StockView) least(pool int64) float64 {
	return evenShare * float64(pool) / float64(v.Others+1)
}

// StockChange returns what to draw (positive) or return (negative) now.
func StockChange(v StockView) int64 {
	target := StockTarget(v)
	room := max(v.Limit-v.Spent-v.OthersHeld-v.Held, 0)
	free := v.Held - v.Busy
	wanted := target - v.Busy
	switch {
	case v.Need > 0 || float64(free) < drawFactor*float64(wanted):
		return max(min(wanted-free, room), 0)
	case float64(free) > returnFactor*float64(wanted):
		return wanted - free
	default:
		return 0
	}
}

// stockAccount is the local state of one organisation's holding, in tokens.
type stockAccount struct {
	limit int64
	// held is what the last row known to be committed gives this holder.
	held RowHolder
	// spent is settled and not yet committed; busy is promised to running requests.
	spent int64
	busy  int64
	// need sums up the reservations that failed since the last plan or beat.
	need int64
	// asked is the most that requests asked for in tokens a second; cost and
	// bound sum up what settled requests cost and could have cost.
	asked meter
	cost  meter
	bound meter
	// version and row are the platform's row as last seen, at seenAt.
	version uint64
	row     Row
	seenAt  time.Time
	// commit numbers the commits; open is the one whose outcome isn't known. It
	// is sent again unchanged until it is: its condition lets it take effect once.
	commit uint64
	open   *stockPlan
	// changed is set by every settlement or failed reservation.
	changed bool
	// recovered is set while the row holds a recovery that isn't committed yet.
	recovered bool
	// plannedAt is when the account was last looked at.
	plannedAt time.Time
}

// stockPlan is a change of one row that was sent.
type stockPlan struct {
	commit uint64
	settle int64
	need   int64
	held   RowHolder
	row    Row
	// unanswered is set once the plan was sent and no answer came.
	unanswered bool
}

// free returns what a new reservation may take: it must be authorised whatever
// of the newest commit and the newest beat has taken effect.
func (a *stockAccount) free(c Credit) int64 {
	free := a.authorised(a.held, c) - a.spent - a.busy
	if a.open != nil {
		free = min(free, a.authorised(a.open.held, c)-(a.spent-a.open.settle)-a.busy)
	}
	return free
}

// authorised returns what a holding allows by the last beat known to have taken
// effect and by the one under way.
func (a *stockAccount) authorised(h RowHolder, c Credit) int64 {
	return min(h.with(c.Beaten).Authorised(c.BeatenAge), h.with(c.Sent).Authorised(c.SentAge))
}

// unheld returns how much of an amount isn't covered by what is held, whatever
// its mark.
func (a *stockAccount) unheld(amount int64) bool {
	return a.held.Held-a.spent-a.busy < amount
}

// rate returns demand in tokens a second as it will be settled.
func (a *stockAccount) rate(now time.Time) float64 {
	asked := a.asked.value(now)
	bound := a.bound.value(now)
	if bound <= 0 {
		return asked
	}
	return asked * min(a.cost.value(now)/bound, 1)
}

// view returns what decides the change of the holding.
func (a *stockAccount) view(self string, horizon time.Duration, now time.Time) StockView {
	v := StockView{
		Limit: a.limit, Spent: a.row.Spent + a.spent, Held: a.held.Held - a.spent, Busy: a.busy, Need: a.need,
		Rate: a.rate(now), SpendRate: a.cost.value(now), Horizon: horizon,
	}
	for name, h := range a.row.Holders {
		if name == self {
			continue
		}
		v.Others++
		v.OthersHeld += h.Held
		v.OthersRate += h.Rate
		v.OthersBusy += h.Busy
	}
	return v
}
