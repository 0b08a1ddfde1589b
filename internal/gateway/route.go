package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// assign chooses an endpoint among a few candidates, whose load it queries first. While none of them can serve the
// request in time, it tries further ones, the last ones after a moment. It sets the endpoints that query chose from.
func (g *Gateway) assign(ctx context.Context, req *request, query *assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	return g.assignAfter(ctx, query, func() { g.hold(ctx, req, query) })
}

// assignWithoutHold is assign for a request that keeps its place at another endpoint meanwhile.
func (g *Gateway) assignWithoutHold(ctx context.Context, query *assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	return g.assignAfter(ctx, query, func() {})
}

// assignAfter is assign with the function that delays the last round.
func (g *Gateway) assignAfter(ctx context.Context, query *assigner.Query, hold func()) (*assigner.Assignment, assigner.Refusal) {
	if g.QueryLoads == nil {
		return g.assignWithPermit(ctx, query)
	}
	among := make(map[string]bool)
	query.AvoidsSuspects = true
	var refusal assigner.Refusal
	for round := range assigner.MaxRounds {
		if round == assigner.MaxRounds-1 && refusal == assigner.Overload {
			hold()
		}
		candidates := g.Assigner.Candidates(*query, among, round > 0)
		if len(candidates) == 0 || ctx.Err() != nil {
			break
		}
		query.Among = among
		g.QueryLoads(ctx, candidates, loadexchanger.Asker{
			Requester: assigner.Requester{Rank: query.Rank, Organisation: query.Organisation}, IsFirst: round == 0 && len(query.Excluded) == 0,
		})
		var choice *assigner.Assignment
		if choice, refusal = g.assignWithPermit(ctx, query); refusal == "" {
			return choice, ""
		}
	}
	if query.Among == nil {
		query.AvoidsSuspects = false
		// No endpoint could be queried. The assigner knows the reason.
		return g.assignWithPermit(ctx, query)
	}
	if refusal == assigner.Suspect {
		query.AvoidsSuspects = false
		return g.assignWithPermit(ctx, query)
	}
	return nil, refusal
}

// assignWithPermit chooses an endpoint that may receive the request now. One that limits its requests, and for which there
// is no permit, is passed over until there may be one.
func (g *Gateway) assignWithPermit(ctx context.Context, query *assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	for {
		choice, refusal := g.Assigner.Assign(*query)
		if refusal != "" || g.TakePermit == nil || !g.needsPermit(choice.Endpoint) {
			return choice, refusal
		}
		askedAt := time.Now()
		ok, wait := g.TakePermit(ctx, choice.Endpoint)
		if ok {
			choice.PermitAskedAt = askedAt
			return choice, ""
		}
		g.Assigner.RecordNoPermit(choice.Endpoint, wait)
		g.Assigner.Release(choice, assigner.NotSent)
	}
}

// waitForEndpoints waits a moment for endpoints to recover, such as engines that are loading after a power failure,
// and reports whether to try again. Only callers that retry after a refusal wait, since they do not retry a second
// time. A request does not wait if an endpoint may have run it, or if too little time would be left for a response.
func (g *Gateway) waitForEndpoints(ctx context.Context, req *request, state *requestState) bool {
	if req.earlierTime == 0 || state.mayHaveRun > 0 || time.Until(req.deadline) < maxResponseTime || time.Since(req.arrivedAt) > maxEndpointWait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(endpointWaitInterval):
		return true
	}
}

// assignerQuery returns the query for an endpoint for the next attempt. A stream that has begun stays on its release.
func (g *Gateway) assignerQuery(req *request, state *requestState) assigner.Query {
	query := assigner.Query{
		Pool: req.pool, Model: req.Model, PromptTokens: req.PromptTokens, ResponseTokens: req.ResponseTokens, Excluded: state.tried, BeginDeadline: g.BeginDeadline,
		MayUse: g.zoneFilter(req), Rank: req.rank, IsRepeatable: req.route.MayRepeat(), HasFailed: state.mayHaveRun > 0,
		TimeLeft: req.route.Objective - req.earlierTime - time.Since(req.arrivedAt), ConfirmedAfter: state.refusedAt,
	}
	if req.org != nil {
		query.Organisation = req.org.Name.Key()
	}
	if req.Model != "" {
		query.Release = g.OldestRelease(req.Model)
	}
	if state.headerSent {
		query.Release, query.ExactRelease = state.release, state.release > 0
	}
	return query
}

// mayRetry reports whether another endpoint may be tried. A retry consumes one token of the retry budget, unless the
// last endpoint could not be reached.
func (g *Gateway) mayRetry(ctx context.Context, req *request, state *requestState) bool {
	if ctx.Err() != nil || state.isFinal {
		return false
	}
	var o *outcome.Error
	if errors.As(state.lastErr, &o) && o.Kind == outcome.NotRun {
		switch o.Reason {
		case outcome.Unreachable, outcome.HostLimit:
			return state.unreachable < maxUnreachable
		case outcome.Restricted, outcome.NoPermit:
			return true // no endpoint has received the request
		case outcome.Memory:
			return state.heldUp < maxUnreachable
		}
		return state.refused < maxRefusals && state.mayHaveRun+state.refused < max(req.route.MaxAttempts, 1) && g.RetryBudget.SpendRetry()
	}
	return req.route.MayRepeat() && state.mayHaveRun < req.route.MaxAttempts && g.RetryBudget.SpendRetry()
}

// refusalFields returns the figures behind a refusal as log fields, with times in milliseconds.
func refusalFields(snapshot assigner.Snapshot, timeLeft time.Duration) log.Fields {
	return log.Fields{
		"left": timeLeft.Milliseconds(), "serving": snapshot.ServingEndpoints, "unusable": snapshot.UnusableEndpoints, "soonest": snapshot.EarliestFirstEvent.Milliseconds(),
		"stalled": snapshot.StalledEndpoints, "restricted": snapshot.RestrictedEndpoints, "leaving": snapshot.LeavingEndpoints, "paused": snapshot.PausedEndpoints, "limited": snapshot.LimitedEndpoints, "ejected": snapshot.EjectedEndpoints,
		"reports": snapshot.ReportedEndpoints, "oldest": snapshot.OldestReport.Milliseconds(), "reserved": snapshot.ReservedSlots,
	}
}
