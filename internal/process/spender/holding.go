package spender

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Budget is the durable state of an organisation's prepaid budget, in tokens: one row
// for each organisation, shared by all routers. It changes by conditional commits, and
// only when a router draws or returns tokens or publishes its figures.
//
// Gateways use it instead of bookkeeper.Budget. It is built for large fleets: the cost of
// a request is settled in the router's own Holding, so that routers seldom conflict on
// this row, and the row's size does not grow with their number.
type Budget struct {
	// Granted is the number of tokens that holders have drawn and not returned, whether
	// spent or not; it never exceeds the limit that its writers know.
	Granted int64
	// Spent is the part of Granted that requests have cost, as far as published here.
	Spent int64
	// Reserved, Rate and Holders sum up what holders have published: the tokens reserved
	// for running requests, demand in tokens per second, and the number of holders.
	Reserved int64
	Rate     int64
	Holders  int
	// Lenders lists the routers with the most tokens to spare when they last wrote the row.
	Lenders []Lender
}

// Lender is a router that has tokens of a budget to spare.
type Lender struct {
	Router string
	Spare  int64
}

// maxListedLenders bounds the size of a budget's row.
const maxListedLenders = 5

// Holding is the durable state of the tokens that one router holds of one budget. Only
// that router writes it, one incarnation after another.
type Holding struct {
	Incarnation string
	// Held is the number of tokens drawn and not yet settled.
	Held int64
	// Allowance is how many tokens of Held the holder may reserve without a further
	// heartbeat, AllowanceGrowth how many more with each second since the last heartbeat.
	Allowance       int64
	AllowanceGrowth float64
	// Commit numbers the incarnation's commits; it resolves a commit with unknown outcome.
	Commit uint64
	// Unpublished is what is settled and not yet part of the budget's Spent.
	Unpublished int64
	// PublishedReserved and PublishedRate are this holder's part of the budget's sums.
	PublishedReserved int64
	PublishedRate     int64
	// Published is what is settled and part of the budget's Spent, over all incarnations.
	Published int64
	// Closed is set if the holder holds nothing and is not among the budget's Holders. The row
	// is kept, as Published tells later what the budget's row contains of it.
	Closed bool
	// Withheld is what an earlier incarnation may have drawn, at most, when that can't be known. It
	// is never used.
	Withheld int64
}

// drawn returns the tokens that the holder has drawn and not returned, spent or not.
func (h Holding) drawn() int64 {
	return h.Held + h.Unpublished + h.Published + h.Withheld
}

// Allowance is the allowance that a heartbeat sets between two commits of a holding.
type Allowance struct {
	// Commit is the commit of the holding that Amount applies to.
	Commit uint64
	Amount int64
	// Growth is in tokens per second and applies to both commits.
	Growth float64
	// NextAmount applies instead of Amount if NextCommit, which was in flight when the
	// heartbeat was built, has taken effect.
	NextCommit uint64
	NextAmount int64
}

// Allowances are the allowances of a holding in the newest heartbeats, with their ages.
type Allowances struct {
	// Confirmed belongs to the newest heartbeat known to have taken effect, Sent to the
	// newest one built; they are the same if none is in flight.
	Confirmed    Allowance
	ConfirmedAge time.Duration
	Sent         Allowance
	SentAge      time.Duration
}

// withAllowance returns the holding with its allowance raised to that of a heartbeat, if
// that applies to its commit.
func (h Holding) withAllowance(a Allowance) Holding {
	switch {
	case h.Commit == 0:
	case a.Commit == h.Commit:
		h.Allowance = max(h.Allowance, a.Amount)
		h.AllowanceGrowth = max(h.AllowanceGrowth, a.Growth)
	case a.NextCommit == h.Commit:
		h.Allowance = max(h.Allowance, a.NextAmount)
		h.AllowanceGrowth = max(h.AllowanceGrowth, a.Growth)
	}
	return h
}

// MaxReserved returns how many tokens of a holding its holder may have reserved, given the
// time since its last heartbeat.
//
// When a holder crashes, its reservations since its last commit are unknown and must
// count as spent. The allowance therefore is as small as possible while the platform
// replies, and the whole holding once the platform has been unreachable for long.
func (h Holding) MaxReserved(sinceHeartbeat time.Duration) int64 {
	if sinceHeartbeat >= FullAllowanceAfter {
		return h.Held
	}
	return min(h.Held, h.Allowance+int64(h.AllowanceGrowth*max((sinceHeartbeat-growthDelay).Seconds(), 0)))
}

// publish returns the budget with the change from one state of a holding to the next
// added to its sums; drawn is negative for tokens that are returned. exists and remains
// tell whether the holding's row exists before and after the commit.
func (b Budget) publish(before, after Holding, drawn int64, exists, remains bool) Budget {
	b.Granted += drawn
	b.Spent += before.Unpublished
	b.Reserved += after.PublishedReserved - before.PublishedReserved
	b.Rate += after.PublishedRate - before.PublishedRate
	if remains {
		b.Holders++
	}
	if exists {
		b.Holders--
	}
	return b
}

// rebase returns the budget with a holding that is before in the row replaced by after, where drawn
// is the difference of their draws.
func (b Budget) rebase(before, after Holding, drawn int64, existed bool) Budget {
	b.Granted += drawn
	b.Spent += after.Published - before.Published
	b.Reserved += after.PublishedReserved - before.PublishedReserved
	b.Rate += after.PublishedRate - before.PublishedRate
	if !existed || before.Closed {
		b.Holders++
	}
	return b
}

// withLender returns the budget with a router among its lenders if it can spare more
// tokens than others that are listed.
func (b Budget) withLender(router string, spare int64) Budget {
	lenders := slices.DeleteFunc(slices.Clone(b.Lenders), func(l Lender) bool { return l.Router == router })
	if spare > 0 {
		lenders = append(lenders, Lender{Router: router, Spare: spare})
	}
	slices.SortStableFunc(lenders, func(x, y Lender) int { return cmp.Compare(y.Spare, x.Spare) })
	b.Lenders = lenders[:min(len(lenders), maxListedLenders)]
	return b
}

// formatLenders lists the lenders other than self as ROUTER:SPARE.
func (b Budget) formatLenders(self string) string {
	var s strings.Builder
	for _, l := range b.Lenders {
		if l.Router != self {
			fmt.Fprintf(&s, "%s:%d ", l.Router, l.Spare)
		}
	}
	return strings.TrimSpace(s.String())
}

// Parameters of the size of holdings and allowances.
const (
	// growthFactor is the multiple of the recent rate of spending at which a holder may
	// spend while its heartbeats fail.
	growthFactor = 2
	// growthDelay is the time since the last heartbeat after which the allowance grows.
	// Most crashes and restarts of a process take less.
	growthDelay = 2 * time.Second
	// FullAllowanceAfter is the time since the last heartbeat after which a holder may
	// reserve all that it holds. It is longer than the partitions that the users expect.
	FullAllowanceAfter = 12 * time.Second
	// unusedShare is the share of a running request's reservation that it is expected not
	// to cost.
	unusedShare = 0.1
	// rateWindow is the time over which demand is averaged.
	rateWindow = 5 * time.Second
	// returnFactor is the multiple of its wanted size above which a holding returns the
	// excess.
	returnFactor = 1.5
	// idleReturnFactor is the same while at least half of the unspent budget is undrawn.
	idleReturnFactor = 4
	// idleShare is the fraction of the unspent budget that holders without demand hold
	// together, for demand that begins during a partition. minGrowthShare is the fraction
	// of it by which their allowances grow each second while heartbeats fail; half of that
	// is their minimum allowance.
	idleShare      = 0.02
	minGrowthShare = 0.01
	// maxShareFraction is the fraction of its share of the unspent budget that a holder may
	// keep; the rest stays at the platform for routers that need it when the budget runs
	// out.
	maxShareFraction = 0.5
	// StockHolders is how many routers hold tokens of an organisation whatever their own
	// demand, so that others can borrow them: two, since one may be down.
	StockHolders = 2
	// minStockRequests is the number of requests within the horizon from which any other
	// router holds tokens for them, and arrivalWindow the time over which they are counted.
	minStockRequests = 5
	arrivalWindow    = 10 * time.Second
	// meanRequests is the number of requests over which their mean is averaged.
	meanRequests = 8
	// drawFactor is the fraction of its wanted size below which a holding is refilled.
	drawFactor = 0.8
)

// HoldingView is the state of a budget and of one holding of it that decides how much
// the holder should hold, in tokens.
type HoldingView struct {
	Limit int64
	Spent int64
	// OthersHeld and OthersRate sum up the other holders.
	OthersHeld int64
	OthersRate float64
	// OthersReserved is what the other holders have reserved for running requests.
	OthersReserved int64
	// Others is the number of other holders.
	Others int
	// Held is what this holder holds, Reserved the part of it reserved for running
	// requests, and Unmet what requests that could not be covered ask for.
	Held     int64
	Reserved int64
	Unmet    int64
	// Rate is the demand at its expected cost and SpendRate the cost of settled requests,
	// in tokens per second.
	Rate      float64
	SpendRate float64
	// AllowedRate is the spending that allowances provide for. Settled costs lag behind demand by as
	// long as requests run, so in a fleet that shares stocks a load that has just begun goes by its demand.
	AllowedRate float64
	// Horizon is the time for which a holding should last.
	Horizon time.Duration
	// Sparse is set if this holder expects too few requests within the horizon to keep
	// tokens for them; see Allocator.StockRank.
	Sparse bool
	// LeastStock is the least part, besides reservations, that is of use to this holder: what one of its
	// requests reserves, or 0 if other routers borrow from it.
	LeastStock float64
}

// AllowanceGrowth returns the growth of a holding's allowance, in tokens per second; a
// holder without demand gets a small minimum.
func AllowanceGrowth(v HoldingView) float64 {
	return max(growthFactor*v.AllowedRate, v.evenPart(minGrowthShare))
}

// AllowanceAmount returns the allowance of a holding: what running requests may cost, unmet
// demand, and what is expected to be spent over a period.
func AllowanceAmount(v HoldingView, held int64, period time.Duration) int64 {
	floor := int64(v.evenPart(minGrowthShare) / 2)
	return min(held, v.Reserved+max(int64(v.AllowedRate*period.Seconds()), floor)+v.Unmet)
}

// WantedHolding returns how many tokens a holder should hold.
//
// During a partition a holder has only its holding to spend, and no other router can use
// what it holds. So it holds its demand over the horizon, but never more than a fraction
// of its share, by demand, of the unspent budget, which shrinks as the budget runs out.
//
// In a fleet of many holders, what each request leaves behind would add up to the whole budget,
// in parts that are smaller than a request. So a sparse holder holds nothing for later requests, nor
// does any holder that others don't borrow from once its part would not cover one of its requests.
func WantedHolding(v HoldingView) int64 {
	pool := v.Limit - v.Spent - v.Reserved
	if pool <= 0 {
		return v.Reserved
	}
	if v.Sparse {
		return v.Reserved + v.Unmet
	}
	share := 1.0 / float64(v.Others+1)
	if v.Rate+v.OthersRate > 0 {
		share = evenShare*share + (1-evenShare)*v.Rate/(v.Rate+v.OthersRate)
	}
	free := min(max(v.Rate*v.Horizon.Seconds(), v.evenPart(idleShare)), float64(pool)*share*maxShareFraction)
	if free < v.LeastStock {
		free = 0
	}
	return v.Reserved + int64(free) + v.Unmet
}

// MayCover reports whether a budget may still cover a request, counting all unreserved
// tokens and the share of reserved ones that running requests are expected not to use.
//
// When a budget runs out, a request that would wait for tokens that are not going to be
// released is refused at once.
func (v HoldingView) MayCover(amount int64) bool {
	reserved := v.Reserved + v.OthersReserved
	left := v.Limit - v.Spent - reserved
	return left+int64(unusedShare*float64(reserved)) >= amount
}

// evenPart returns a holder's part of a fraction of the unspent budget, split evenly.
func (v HoldingView) evenPart(fraction float64) float64 {
	return fraction * float64(max(v.Limit-v.Spent, 0)) / float64(v.Others+1)
}

// HoldingChange returns how many tokens to draw (positive) or return (negative).
func HoldingChange(v HoldingView) int64 {
	holding := WantedHolding(v)
	undrawn := v.undrawn()
	free := v.Held - v.Reserved
	wanted := holding - v.Reserved
	switch {
	case v.Unmet > 0 || float64(free) < drawFactor*float64(wanted):
		return max(min(wanted-free, undrawn), 0)
	case float64(free) > returnFactor*float64(wanted) && (undrawn < (v.Limit-v.Spent)/2 || float64(free) > idleReturnFactor*float64(wanted)):
		return wanted - free
	default:
		return 0
	}
}

// publishDivisor bounds the difference, over all holders, between their figures and those
// in the budget's row: an eighth of the unspent budget, which keeps shares fair.
const publishDivisor = 8

// undrawn returns how many tokens of the budget no holder has drawn.
func (v HoldingView) undrawn() int64 {
	return max(v.Limit-v.Spent-v.OthersHeld-v.Held, 0)
}

// ShouldPublish reports whether a holder whose figures differ from the published ones by
// unpublished tokens should publish them; the threshold falls with the unspent budget.
func (v HoldingView) ShouldPublish(unpublished int64) bool {
	left := max(v.Limit-v.Spent, 0)
	return unpublished > left/int64(publishDivisor*(v.Others+1))
}

// holdingAccount is the local state of one organisation's holding, in tokens.
type holdingAccount struct {
	limit int64
	// limitKnown is set once a configuration has set the limit.
	limitKnown bool
	// held is this router's holding as last known to be committed, heldVersion the version
	// of its row.
	held        Holding
	heldVersion uint64
	// budget is the organisation's row as last read, at budgetReadAt.
	budget        Budget
	budgetVersion uint64
	budgetReadAt  time.Time
	// publishedAt is when this holder last changed the budget's row.
	publishedAt time.Time
	// inherited is set while held is the remainder of an earlier incarnation's holding:
	// nothing of it may be reserved before a commit has made it this incarnation's.
	inherited bool
	// spent is settled and not yet committed; reserved is for running requests and loans.
	spent    int64
	reserved int64
	// unmet sums up the reservations that could not be covered, until a commit or heartbeat
	// has brought what there is for them; round counts these commits and heartbeats.
	unmet int64
	round uint64
	// requested is the worst-case cost of all requests, cost and worstCase the actual and
	// the worst-case cost of settled ones.
	requested meter
	cost      meter
	worstCase meter
	// arrivals counts requests; stockRank is Allocator.StockRank for the organisation.
	arrivals meter
	// sharesStocks is Allocator.SharesStocks.
	sharesStocks func() bool
	// meanRequest is the moving average of what a request reserves.
	meanRequest float64
	stockRank   func() int
	// lastCommit is the number of the newest commit; pending is the commit whose outcome is
	// unknown. It is sent again unchanged until the outcome is known; its condition lets it
	// take effect only once.
	lastCommit uint64
	pending    *holdingPlan
	// changed is set by every settlement or failed reservation.
	changed bool
	// rebase is set from when the store has come back from a copy until the rows show again what
	// this holder has drawn and spent. copied is the holding in the copy, once copyRead is set.
	rebase   bool
	copyRead bool
	copied   Holding
	// recorded is what the newest record of this holder's draws says, once hasRecord is set;
	// unconfirmed is set until other processes have confirmed the record.
	recorded    int64
	hasRecord   bool
	unconfirmed bool
	// plannedAt is when a commit of the account was last considered.
	plannedAt time.Time
}

// holdingPlan is a change of one account's rows, planned or sent.
type holdingPlan struct {
	commit uint64
	settle int64
	unmet  int64
	held   Holding
	// budget is the new state of the organisation's row, or nil if that does not change.
	budget *Budget
	// closes is set if the holding ends.
	closes bool
	// rebase is set if the plan ends the account's rebase; rebasedBy is what the budget's row lacked.
	rebase    bool
	rebasedBy int64
	// unanswered is set once the plan was sent without a reply.
	unanswered bool
}

// free returns how many tokens a new reservation may take. They must be within the
// allowance whether or not the newest commit and the newest heartbeat have taken effect.
func (a *holdingAccount) free(allowances Allowances) int64 {
	if a.inherited {
		return 0
	}
	free := a.maxReserved(a.held, allowances) - a.spent - a.reserved
	if a.pending != nil {
		free = min(free, a.maxReserved(a.pending.held, allowances)-(a.spent-a.pending.settle)-a.reserved)
	}
	if a.hasRecord {
		// After a death in the same moment as a loss of the store, only the record tells of draws.
		free = min(free, a.recorded-a.held.Published-a.held.Unpublished-a.spent-a.reserved)
	}
	return free
}

// counted reports whether the holder is among the budget's Holders.
func (a *holdingAccount) counted() bool {
	return a.heldVersion != 0 && !a.held.Closed
}

// maxReserved returns how many tokens of a holding may be reserved both by the newest
// heartbeat known to have taken effect and by the newest one built.
func (a *holdingAccount) maxReserved(h Holding, allowances Allowances) int64 {
	return min(h.withAllowance(allowances.Confirmed).MaxReserved(allowances.ConfirmedAge), h.withAllowance(allowances.Sent).MaxReserved(allowances.SentAge))
}

// exceedsHolding reports whether an amount exceeds the unreserved part of the holding,
// regardless of its allowance.
func (a *holdingAccount) exceedsHolding(amount int64) bool {
	return a.held.Held-a.spent-a.reserved < amount
}

// addDemand counts a request that reserves an amount.
func (a *holdingAccount) addDemand(amount int64, now time.Time) {
	a.requested.add(amount, now)
	a.arrivals.add(1, now)
	if a.meanRequest == 0 {
		a.meanRequest = float64(amount)
	}
	a.meanRequest += (float64(amount) - a.meanRequest) / meanRequests
}

// rate returns the demand at its expected cost, in tokens per second.
func (a *holdingAccount) rate(now time.Time) float64 {
	requested := a.requested.rate(now)
	worstCase := a.worstCase.rate(now)
	if worstCase <= 0 {
		return requested
	}
	return requested * min(a.cost.rate(now)/worstCase, 1)
}

// holdsForOthers reports whether other routers borrow the organisation's tokens from this one.
func (a *holdingAccount) holdsForOthers() bool {
	return a.stockRank != nil && a.stockRank() < StockHolders
}

// sparse reports whether the holder should leave the organisation's tokens to others.
func (a *holdingAccount) sparse(horizon time.Duration, now time.Time) bool {
	return a.stockRank != nil && a.arrivals.rate(now)*horizon.Seconds() < minStockRequests && !a.holdsForOthers()
}

// view returns the state that decides the change of the holding.
func (a *holdingAccount) view(horizon time.Duration, now time.Time) HoldingView {
	v := HoldingView{
		Limit: a.limit, Spent: a.budget.Spent + a.held.Unpublished + a.spent, Held: a.held.Held - a.spent, Reserved: a.reserved, Unmet: a.unmet,
		OthersHeld: a.budget.Granted - a.budget.Spent - a.held.Unpublished - a.held.Held,
		OthersRate: float64(a.budget.Rate - a.held.PublishedRate), OthersReserved: a.budget.Reserved - a.held.PublishedReserved,
		Others: a.budget.Holders, Rate: a.rate(now), SpendRate: a.cost.rate(now), AllowedRate: a.cost.rate(now), Horizon: horizon, Sparse: a.sparse(horizon, now),
	}
	if a.counted() {
		v.Others--
	}
	v.Others = max(v.Others, 0)
	if a.sharesStocks != nil && a.sharesStocks() {
		v.AllowedRate = max(v.SpendRate, v.Rate)
		if !a.holdsForOthers() {
			v.LeastStock = a.meanRequest
		}
	}
	return v
}
