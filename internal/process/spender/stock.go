package spender

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Budget is the durable state of an organisation's prepaid budget, in tokens, as
// the routers of a platform keep it: one row for each organisation, changed by
// conditional commits, and only when tokens are drawn or returned.
//
// It answers the load of large fleets: what a request costs is settled in the
// router's own Holding, so that routers seldom meet in this row, and its size
// does not grow with their number.
type Budget struct {
	// Granted is what holders have drawn and not returned, whether spent or not; it
	// never exceeds the limit that its writers know.
	Granted int64
	// Spent is the part of Granted that requests have cost, as far as it is shown here.
	Spent int64
	// Busy, Rate and Holders sum up what holders have shown: promises to running
	// requests, demand in tokens a second, and themselves.
	Busy    int64
	Rate    int64
	Holders int
	// Lenders are the routers that could spare most when they last wrote the row.
	Lenders []Lender
}

// Lender is a router that could spare tokens of a budget.
type Lender struct {
	Router string
	Spare  int64
}

// maxKnownLenders bounds a budget's row.
const maxKnownLenders = 5

// Holding is the durable state of what one router holds of one budget, in tokens.
// Only that router writes it, one incarnation after the other.
type Holding struct {
	Incarnation string
	// Held is drawn and not settled yet.
	Held int64
	// Mark is how much of Held the holder may promise at once, Slope how much
	// more it may promise with each second since its last beat.
	Mark  int64
	Slope float64
	// Commit numbers the incarnation's commits; it resolves a commit whose answer was lost.
	Commit uint64
	// Unshown is what was settled and isn't in the budget's Spent yet.
	Unshown int64
	// ShownBusy and ShownRate are this holder's part of the budget's sums.
	ShownBusy int64
	ShownRate int64
}

// Allowance is a mark that a beat renews between two commits of the row.
type Allowance struct {
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
	Beaten    Allowance
	BeatenAge time.Duration
	Sent      Allowance
	SentAge   time.Duration
}

// with returns the holding with the mark of a beat, if that belongs to it.
func (h Holding) with(b Allowance) Holding {
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
func (h Holding) Authorised(sinceBeat time.Duration) int64 {
	if sinceBeat >= FullAfter {
		return h.Held
	}
	return min(h.Held, h.Mark+int64(h.Slope*max((sinceBeat-slopeDelay).Seconds(), 0)))
}

// show adds what a holder has to show to the budget's sums, and takes over its
// new holding; drawn is negative for tokens that are returned.
func (b Budget) show(before, after Holding, drawn int64, exists, remains bool) Budget {
	b.Granted += drawn
	b.Spent += before.Unshown
	b.Busy += after.ShownBusy - before.ShownBusy
	b.Rate += after.ShownRate - before.ShownRate
	if remains {
		b.Holders++
	}
	if exists {
		b.Holders--
	}
	return b
}

// withLender returns the budget with a router among its lenders if it can spare
// more than others that are known.
func (b Budget) withLender(router string, spare int64) Budget {
	lenders := slices.DeleteFunc(slices.Clone(b.Lenders), func(l Lender) bool { return l.Router == router })
	if spare > 0 {
		lenders = append(lenders, Lender{Router: router, Spare: spare})
	}
	slices.SortStableFunc(lenders, func(x, y Lender) int { return cmp.Compare(y.Spare, x.Spare) })
	b.Lenders = lenders[:min(len(lenders), maxKnownLenders)]
	return b
}

// describe lists the lenders other than self as ROUTER:SPARE.
func (b Budget) describe(self string) string {
	var s strings.Builder
	for _, l := range b.Lenders {
		if l.Router != self {
			fmt.Fprintf(&s, "%s:%d ", l.Router, l.Spare)
		}
	}
	return strings.TrimSpace(s.String())
}

// Stock policy figures.
const (
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
	// idleFactor is the same while at least half of what is left can still be drawn.
	idleFactor = 4
	// idleShare is the fraction of what is left that holders without demand hold
	// together, for demand that begins during a cut; floorShare is what they may
	// spend of it each second while they can't renew their marks, and half of it
	// what they may promise unseen.
	idleShare  = 0.02
	floorShare = 0.01
	// sharePart is the part of its share of what is left that a holder may keep; the
	// rest stays with the platform for whoever needs it at the end.
	sharePart = 0.5
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
	return max(slopeFactor*v.SpendRate, v.part(floorShare))
}

// StockMark returns the mark of a holding that should last for a time beside what
// running requests may cost.
func StockMark(v StockView, held int64, cover time.Duration) int64 {
	floor := int64(v.part(floorShare) / 2)
	return min(held, v.Busy+max(int64(v.SpendRate*cover.Seconds()), floor)+v.Need)
}

// StockTarget returns what a holder should hold.
//
// It answers the load of a cut: a holder must live on its stock for the length
// of the cut, and whatever it holds can't be used elsewhere. So it holds its
// demand over the horizon, but never more than a part of its share of what is
// left by demand, which shrinks by itself as the budget runs out.
func StockTarget(v StockView) int64 {
	pool := v.Limit - v.Spent - v.Busy
	if pool <= 0 {
		return v.Busy
	}
	share := 1.0 / float64(v.Others+1)
	if v.Rate+v.OthersRate > 0 {
		share = evenShare*share + (1-evenShare)*v.Rate/(v.Rate+v.OthersRate)
	}
	stock := min(max(v.Rate*v.Horizon.Seconds(), v.part(idleShare)), float64(pool)*share*sharePart)
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

// part returns a holder's even part of a fraction of what is left.
func (v StockView) part(fraction float64) float64 {
	return fraction * float64(max(v.Limit-v.Spent, 0)) / float64(v.Others+1)
}

// StockChange returns what to draw (positive) or return (negative) now.
func StockChange(v StockView) int64 {
	target := StockTarget(v)
	room := v.room()
	free := v.Held - v.Busy
	wanted := target - v.Busy
	switch {
	case v.Need > 0 || float64(free) < drawFactor*float64(wanted):
		return max(min(wanted-free, room), 0)
	case float64(free) > returnFactor*float64(wanted) && (room < (v.Limit-v.Spent)/2 || float64(free) > idleFactor*float64(wanted)):
		return wanted - free
	default:
		return 0
	}
}

// showDivisor is the fraction of what is left, over all holders, by which their
// figures may differ from those in the budget's row: an eighth keeps shares fair.
const showDivisor = 8

// room returns what the platform still has of the budget.
func (v StockView) room() int64 {
	return max(v.Limit-v.Spent-v.OthersHeld-v.Held, 0)
}

// Shows reports whether a holder's figures, that differ from those it has shown by
// the given tokens, should be shown: the less is left, the sooner.
func (v StockView) Shows(unshown int64) bool {
	left := max(v.Limit-v.Spent, 0)
	return unshown > left/int64(showDivisor*(v.Others+1))
}

// stockAccount is the local state of one organisation's holding, in tokens.
type stockAccount struct {
	limit int64
	// known is set once a configuration has told the limit.
	known bool
	// held is this router's holding as it is known to be committed, heldVersion its
	// row's version.
	held        Holding
	heldVersion uint64
	// budget is the organisation's row as last seen, at seenAt.
	budget        Budget
	budgetVersion uint64
	seenAt        time.Time
	// shownAt is when this holder last changed the budget's row.
	shownAt time.Time
	// inherited is set while held is what is left of an earlier incarnation's
	// holding: it can't be promised before a commit has made it this one's.
	inherited bool
	// spent is settled and not yet committed; busy is promised to running requests.
	spent int64
	busy  int64
	// need sums up the reservations that could not be covered, until a commit or a beat
	// answers them; round numbers these times.
	need  int64
	round uint64
	// asked is the most that requests asked for in tokens a second; cost and
	// bound sum up what settled requests cost and could have cost.
	asked meter
	cost  meter
	bound meter
	// commit numbers the commits; open is the one whose outcome isn't known. It
	// is sent again unchanged until it is: its condition lets it take effect once.
	commit uint64
	open   *stockPlan
	// changed is set by every settlement or failed reservation.
	changed bool
	// plannedAt is when the account was last looked at.
	plannedAt time.Time
}

// stockPlan is a change of one account's rows that was sent.
type stockPlan struct {
	commit uint64
	settle int64
	need   int64
	held   Holding
	// budget is the new state of the organisation's row, or nil if that stays.
	budget *Budget
	// ends is set if the holding's row is to be deleted.
	ends bool
	// unanswered is set once the plan was sent and no answer came.
	unanswered bool
}

// free returns what a new reservation may take: it must be authorised whatever
// of the newest commit and the newest beat has taken effect.
func (a *stockAccount) free(c Credit) int64 {
	if a.inherited {
		return 0
	}
	free := a.authorised(a.held, c) - a.spent - a.busy
	if a.open != nil {
		free = min(free, a.authorised(a.open.held, c)-(a.spent-a.open.settle)-a.busy)
	}
	return free
}

// authorised returns what a holding allows by the last beat known to have taken
// effect and by the one under way.
func (a *stockAccount) authorised(h Holding, c Credit) int64 {
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
func (a *stockAccount) view(horizon time.Duration, now time.Time) StockView {
	v := StockView{
		Limit: a.limit, Spent: a.budget.Spent + a.held.Unshown + a.spent, Held: a.held.Held - a.spent, Busy: a.busy, Need: a.need,
		OthersHeld: a.budget.Granted - a.budget.Spent - a.held.Unshown - a.held.Held,
		OthersRate: float64(a.budget.Rate - a.held.ShownRate), OthersBusy: a.budget.Busy - a.held.ShownBusy,
		Others: a.budget.Holders, Rate: a.rate(now), SpendRate: a.cost.value(now), Horizon: horizon,
	}
	if a.heldVersion != 0 {
		v.Others--
	}
	v.Others = max(v.Others, 0)
	return v
}
