package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/process/elector"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// tendInterval is how often a router looks for members that are gone.
	tendInterval = time.Second
	// goneAfter is how long a member can't be reached until it is declared gone: longer than the
	// restart of a host and the partitions that the users expect. refusedAfter is the same if its host
	// replies that no process listens: longer than the restart of a process.
	goneAfter    = 12 * time.Second
	refusedAfter = 4 * time.Second
	// cutOffFactor is the multiple of goneAfter for a router that reaches no process at all: it may
	// itself be cut off.
	cutOffFactor = 3
	// maxRejoinSteps bounds how often the time doubles until a router counts as gone again that has come back.
	maxRejoinSteps = 2
)

// newEnroller returns the enroller of the gateway's row in the members table.
func (g *Gateway) newEnroller() *enroller.Enroller {
	return &enroller.Enroller{Store: g.store, Key: g.Schema.RowKey(membersTable, "", g.Name), Self: enroller.Member{
		Name: g.Name, Incarnation: g.Incarnation, Kind: enroller.Router, Address: g.FleetListener.Addr().String(),
		Domain: g.Domain,
	}, OnGone: func() {
		g.enrolledAt.Store(nil)
		g.recorder.Reset() // routers have recorded draws elsewhere meanwhile
		logger.MemberRejoins.Log(g.Log, "host", g.Name)
	}}
}

// enroll writes the gateway's row to the members table, where the fleet's other
// processes find it, and writes it again after the store has come back from a copy, or others have declared
// the gateway gone.
func (g *Gateway) enroll(ctx context.Context) {
	for g.enroller.Run(ctx) == nil {
		now := time.Now()
		g.enrolledAt.CompareAndSwap(nil, &now)
		logger.MemberEnrolled.Log(g.Log, "host", g.Name, "address", g.FleetListener.Addr().String())
		select {
		case <-g.enrollAgain:
		case <-ctx.Done():
			return
		}
	}
}

// requestEnrolment has the gateway's row written again.
func (g *Gateway) requestEnrolment() {
	select {
	case g.enrollAgain <- struct{}{}:
	default:
	}
}

// leave tells the fleet that the gateway has ended. It serves nothing any more: no client, and no record
// of a draw.
func (g *Gateway) leave() {
	g.recorder.Close()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	err := g.enroller.Leave(ctx)
	logger.MemberLeaves.Log(g.Log, "host", g.Name, "error", err) // without the row, others find out that it is gone
}

// tendMembers keeps the members table true until ctx ends: it declares members gone that can't be reached, and
// deletes the rows of those that have ended long ago.
func (g *Gateway) tendMembers(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, tendInterval)
		now := time.Now()
		g.peers.recountRouters(now)
		g.updateLinks(ctx)
		g.declareGone(ctx)
		g.declareEnded(ctx)
		g.deleteExpired(ctx, now)
	}
}

// declareGone declares members gone that have not been reached for long: those that are elected to record this
// router's draws, and routers, each of which one of the others watches.
func (g *Gateway) declareGone(ctx context.Context) {
	limit := goneAfter
	if g.peers.companions.LiveCount()+g.peers.routers.LiveCount() == 0 {
		limit *= cutOffFactor
	}
	var recorders []string
	for _, v := range g.peers.ownRecorders(g.Name)[0].Voters {
		recorders = append(recorders, v.Member.Name)
	}
	for _, m := range g.peers.running() {
		since, refused := g.peers.unreached(m)
		if !isGone(m, since, refused, limit) {
			continue
		}
		if !slices.Contains(recorders, m.Name) && (m.Kind != enroller.Router || !g.tends(m)) {
			continue // another router declares it
		}
		if err := enroller.Declare(ctx, g.store, g.Schema.RowKey(membersTable, "", m.Name), m, enroller.Gone); err != nil {
			continue // tried again
		}
		logger.MemberGone.Log(g.Log, "member", m.Name, "kind", m.Kind.String(), "unreachedFor", since, "refused", refused)
	}
}

// isGone reports whether a member counts as gone that could not be reached for a time; limit is the one for a
// member that never was gone. A router that has come back from that was out of this one's reach only, and
// gets more time.
func isGone(m enroller.Member, unreachedFor time.Duration, refused bool, limit time.Duration) bool {
	if m.Kind == enroller.Router {
		limit <<= min(m.Joins, maxRejoinSteps)
	}
	return unreachedFor >= limit || (refused && unreachedFor >= refusedAfter)
}

// declareEnded declares again what the store's copy has taken back: that members have ended.
func (g *Gateway) declareEnded(ctx context.Context) {
	for _, m := range g.peers.takenBack() {
		if !g.tends(m) {
			continue
		}
		running := m
		running.State = enroller.Running
		_ = enroller.Declare(ctx, g.store, g.Schema.RowKey(membersTable, "", m.Name), running, m.State) // tried again
	}
}

// tends reports whether this router keeps a member's row: of the routers that are linked, one does so for each
// member.
func (g *Gateway) tends(m enroller.Member) bool {
	routers := []enroller.Member{{Name: g.Name}}
	for _, name := range g.peers.routers.Live() {
		routers = append(routers, enroller.Member{Name: name})
	}
	return elector.Choose(m.Name, routers, 1)[0].Name == g.Name
}

// deleteExpired deletes the rows of members that have ended long ago.
func (g *Gateway) deleteExpired(ctx context.Context, now time.Time) {
	g.peers.mu.Lock()
	expired := g.peers.members.Expired(now)
	g.peers.mu.Unlock()
	for _, m := range expired {
		key := g.Schema.RowKey(membersTable, "", m.Name)
		if !g.tends(m) || enroller.Delete(ctx, g.store, key, m) != nil {
			continue // tried again, here or elsewhere
		}
		g.peers.remove(m.Name)
		logger.MemberDeleted.Log(g.Log, "member", m.Name, "kind", m.Kind.String(), "state", m.State)
	}
}
