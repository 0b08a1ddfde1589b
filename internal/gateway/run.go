package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/sequencer"
	"github.com/nutmegdock/nutmegdock/internal/dialect"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

const (
	copyBytes = 16 << 10
	// maxPlainBytes bounds the answer that is held whole, so that a broken one can be told before its head is sent.
	maxPlainBytes = 1 << 20
	// refusals is the number of endpoints that may refuse one request as not run before the caller hears of it.
	refusals = 3
	// answerTime is about the longest time of an answer at a busy engine.
	answerTime = 2500 * time.Millisecond
	// loadWait and waitStep bound the wait for endpoints to come back: half the time that a caller has left then.
	loadWait = 2 * time.Second
	waitStep = 25 * time.Millisecond
	// unreachables is the number of endpoints that one request may fail to reach.
	unreachables = 4
)

// attempts is what was tried for one request.
type attempts struct {
	tried map[string]bool
	// sent counts the endpoints that may have run the request, refused those that said they did not, and unreached those
	// that got nothing.
	sent, refused, unreached int
	// last is how the latest attempt failed.
	last error
	// held is a failure that an endpoint gave, held back while the request is tried elsewhere.
	held *heldAnswer
	// seq follows the events of a stream once its head has been sent.
	seq     sequencer.Sequencer
	started bool
	release directory.Release
	// first and gap are the time to the first event and the longest time between two.
	first, gap time.Duration
	event      time.Time
	load       assigner.Load
	// seen is what this host believed of the endpoints when it found none.
	seen log.Fields
	// begin tells the assigner of the first event at the present endpoint.
	begin     func()
	predicted time.Duration
}

type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run tries endpoints until one answers or nothing more may be tried.
func (g *Gateway) run(ctx context.Context, q *request) {
	a := &attempts{tried: make(map[string]bool)}
	a.seq.Last, a.seq.Known = q.After, q.Resumes
	for {
		if a.started && a.release > 0 && a.release < g.Release(q.Model) {
			// A stream goes on on its own release alone, and that may no longer begin requests.
			g.giveUp(ctx, q, a, "release-over")
			return
		}
		actx, lost := context.WithCancel(ctx)
		query := g.query(q, a, lost)
		choice, why := g.Assigner.Assign(query)
		if why != "" {
			lost()
			if why == assigner.None && g.mayWait(ctx, q, a) {
				continue
			}
			a.seen = pictureFields(g.Assigner.Picture(query), query.Left)
			g.giveUp(ctx, q, a, string(why))
			return
		}
		a.tried[choice.Endpoint.ID] = true
		a.load, a.predicted = choice.Load, choice.First
		a.begin = func() { g.Assigner.Begin(choice) }
		g.Logger.WithFields(g.fields(q)).WithFields(log.Fields{
			"endpoint": choice.Endpoint.ID, "load": choice.Load.Requests, "unread": choice.Load.Unread,
			"first": choice.First.Milliseconds(), "attempt": len(a.tried),
		}).Debug("request sent")
		stop := g.takeBack(q, choice, lost)
		isDone := g.attempt(actx, q, a, choice)
		stop()
		lost()
		if isDone {
			return
		}
		if a.last != nil {
			f := g.fields(q)
			f["endpoint"], f["cause"], f["load"], f["sent"] = choice.Endpoint.ID, a.last.Error(), choice.Load.Requests, a.sent
			event.AttemptFailed.Log(g.Logger.WithFields(f), nil)
		}
		if !g.again(ctx, q, a) && !g.mayWait(ctx, q, a) {
			g.giveUp(ctx, q, a, "failed")
			return
		}
	}
}

// takeBack ends an attempt that still waits in the queue of an engine on an older release when that may no longer begin
// requests.
func (g *Gateway) takeBack(q *request, c *assigner.Choice, lost func()) (stop func()) {
	if q.Model == "" {
		return func() {}
	}
	at := g.Cutoff(q.Model, c.Release)
	if at.IsZero() {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(at), func() {
		if !g.Assigner.HasBegun(c) {
			lost()
		}
	})
	return func() { timer.Stop() }
}

// attempt makes one attempt and takes it from the endpoint's count however it ends, also if it breaks the caller's
// connection off. It tells whether the caller has got the whole answer.
func (g *Gateway) attempt(ctx context.Context, q *request, a *attempts, c *assigner.Choice) (isDone bool) {
	end := assigner.Withdrawn
	defer func() { g.Assigner.Release(c, end) }()
	end, isDone = g.try(ctx, q, a, c)
	return isDone
}

// mayWait waits a moment for endpoints that are about to serve again, such as engines that load after a loss of power. It
// does so for callers alone that came back after a refusal, as they do not come a third time, and only as long as no
// endpoint may have run the request and there is time for an answer then.
func (g *Gateway) mayWait(ctx context.Context, q *request, a *attempts) bool {
	if q.spent == 0 || a.sent > 0 || time.Until(q.final) < answerTime || time.Since(q.arrived) > loadWait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(waitStep):
		return true
	}
}

func (g *Gateway) query(q *request, a *attempts, lost func()) assigner.Query {
	out := assigner.Query{
		Pool: q.pool, Model: q.Model, Prompt: q.Prompt, Tried: a.tried,
		Left: q.route.Objective - q.spent - time.Since(q.arrived),
	}
	if q.route.MayRepeat() {
		out.Lost = lost
	}
	if q.Model != "" {
		out.Release = g.Release(q.Model)
	}
	if a.started {
		out.Release, out.Exact = a.release, a.release > 0
	}
	return out
}

// again tells whether another endpoint may be tried.
func (g *Gateway) again(ctx context.Context, q *request, a *attempts) bool {
	if ctx.Err() != nil {
		return false
	}
	var o *outcome.Error
	if errors.As(a.last, &o) && o.Kind == outcome.NotRun {
		if o.Reason == outcome.Unreachable {
			return a.unreached < unreachables
		}
		return a.refused < refusals && a.sent+a.refused < max(q.route.Attempts, 1) && g.Budget.Spend()
	}
	return q.route.MayRepeat() && a.sent < q.route.Attempts && g.Budget.Spend()
}

// giveUp ends a request for which nothing more is tried.
func (g *Gateway) giveUp(ctx context.Context, q *request, a *attempts, reason string) {
	if q.r.Context().Err() != nil {
		g.note(q, event.RequestLeft, "caller", a.last)
		panic(http.ErrAbortHandler)
	}
	switch {
	case a.started:
		g.note(q, event.RequestCut, reason, a.last)
		g.Meter.Cut(reason)
		panic(http.ErrAbortHandler)
	case a.held != nil:
		g.deliver(q, a.held.status, a.held.header, a.held.body)
	case a.sent > 0 && ctx.Err() != nil:
		g.refuse(q, rejection{status: http.StatusGatewayTimeout, reason: "deadline", text: text(a.last)})
	case a.sent > 0:
		g.refuse(q, rejection{status: http.StatusBadGateway, reason: "lost", text: text(a.last)})
	default:
		left := q.Remaining - time.Since(q.arrived)
		g.refuse(q, rejection{status: http.StatusServiceUnavailable, reason: reason, after: g.Return(left), text: text(a.last), seen: a.seen})
	}
}

// pictureFields returns what decided a refusal, in milliseconds where it is a time.
func pictureFields(p assigner.Picture, left time.Duration) log.Fields {
	return log.Fields{
		"left": left.Milliseconds(), "serving": p.Serving, "unusable": p.Unusable, "soonest": p.Soonest.Milliseconds(),
		"peers": p.Peers, "oldest": p.Oldest.Milliseconds(),
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// try makes one attempt. It returns how the endpoint did, and whether the caller has got the whole answer.
func (g *Gateway) try(ctx context.Context, q *request, a *attempts, c *assigner.Choice) (assigner.End, bool) {
	h := dialect.Handover{Endpoint: c.Endpoint.ID, Priority: q.route.Priority}
	if q.org != nil {
		h.Organisation = q.org.Name
		if q.org.Ranked {
			h.Priority = q.org.Priority
		}
	}
	if q.Remaining > 0 {
		h.Remaining = q.Remaining - time.Since(q.arrived)
	}
	if a.started {
		h.Release = a.release
	}
	if a.seq.Known {
		h.After, h.Resumes = a.seq.Last, true
	}
	a.last = nil
	ans, err := g.Sender.Send(ctx, sender.Attempt{
		Address: c.Endpoint.Address, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: g.Dialect.Compose(q.r, h), Body: q.body,
		Matches: func(h http.Header) bool { return g.Dialect.Matches(q.ID, h) },
	})
	if err != nil {
		return a.fail(ctx, q, err), false
	}
	defer ans.Close()
	v := g.Dialect.Judge(ans.Status, ans.Header)
	switch {
	case v.NotRun:
		a.refused++
		a.last = &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Text: "status " + strconv.Itoa(ans.Status)}
		if v.Moved {
			return assigner.Moved, false
		}
		return assigner.Shed, false
	case promises(ans.Status):
		// Without the endpoint's word the request may have run, and these statuses would tell the caller that it has not.
		a.sent++
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost, Text: "status " + strconv.Itoa(ans.Status)}
		return assigner.Served, false
	case ans.Status == http.StatusOK && q.route.Kind == directory.Stream:
		return g.stream(ctx, q, a, ans, v)
	default:
		return g.plain(ctx, q, a, ans)
	}
}

// promises tells whether callers take a status to say that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// fail counts an attempt that brought no answer.
func (a *attempts) fail(ctx context.Context, q *request, err error) assigner.End {
	a.last = err
	var o *outcome.Error
	isUnreached := errors.As(err, &o) && o.Kind == outcome.NotRun
	if isUnreached {
		a.unreached++
	} else {
		a.sent++
	}
	if q.r.Context().Err() != nil || ctx.Err() != nil {
		return assigner.Withdrawn
	}
	if isUnreached {
		return assigner.Unreached
	}
	return assigner.Failed
}

// plain passes on an answer that is read whole first.
func (g *Gateway) plain(ctx context.Context, q *request, a *attempts, ans *sender.Answer) (assigner.End, bool) {
	a.sent++
	body, err := io.ReadAll(io.LimitReader(ans, maxPlainBytes+1))
	if err == nil && len(body) > maxPlainBytes {
		return g.long(q, a, ans, body)
	}
	if err != nil {
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Cut, Text: err.Error()}
		if ctx.Err() != nil {
			return assigner.Withdrawn, false
		}
		return assigner.Failed, false
	}
	if a.started {
		// The head of a stream has been sent, and this is no part of it.
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Cut, Text: "status " + strconv.Itoa(ans.Status)}
		return assigner.Failed, false
	}
	if ans.Status >= http.StatusInternalServerError {
		a.held = &heldAnswer{status: ans.Status, header: ans.Header, body: body}
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost, Text: "status " + strconv.Itoa(ans.Status)}
		return assigner.Served, false
	}
	g.deliver(q, ans.Status, ans.Header, body)
	return assigner.Served, true
}

// long passes on an answer that is too large to hold.
func (g *Gateway) long(q *request, a *attempts, ans *sender.Answer, head []byte) (assigner.End, bool) {
	if a.started {
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Cut, Text: "answer is no stream"}
		return assigner.Failed, false
	}
	a.started = true
	g.writeHead(q, ans.Status, ans.Header, ans.Length)
	if _, err := q.w.Write(head); err == nil {
		_, err = io.Copy(q.w, ans)
		if err == nil {
			g.served(q, nil, ans.Status)
			return assigner.Served, true
		}
	}
	g.note(q, event.RequestCut, "body", nil)
	panic(http.ErrAbortHandler)
}

func (g *Gateway) writeHead(q *request, status int, h http.Header, length int64) {
	out := q.w.Header()
	for name, values := range h {
		out[name] = values
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length"} {
		out.Del(name)
	}
	if g.leaving.Load() {
		out.Set("Connection", "close")
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the library from guessing one.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.w.WriteHeader(status)
}

func (g *Gateway) deliver(q *request, status int, h http.Header, body []byte) {
	g.writeHead(q, status, h, int64(len(body)))
	if _, err := q.w.Write(body); err != nil {
		g.note(q, event.RequestLeft, "answer", err)
		return
	}
	g.served(q, nil, status)
}

// served counts a whole answer; a is nil unless it was a stream.
func (g *Gateway) served(q *request, a *attempts, status int) {
	took := time.Since(q.arrived)
	g.Meter.Answered(status, took)
	isLate := q.spent+took > q.route.Objective
	if a != nil {
		isLate = q.spent+a.first > q.route.Objective || a.gap > q.route.Gap && q.route.Gap > 0
	}
	if status >= http.StatusBadRequest || isLate || sampled(q) {
		f := g.fields(q)
		f["status"], f["late"] = status, isLate
		if a != nil {
			f["first"], f["gap"], f["load"], f["predicted"] = a.first.Milliseconds(), a.gap.Milliseconds(), a.load.Requests, a.predicted.Milliseconds()
			f["unread"] = a.load.Unread
		}
		event.RequestAnswered.Log(g.Logger.WithFields(f), nil)
	}
}

// sampled picks one plain success in sixteen, the same ones on each host.
func sampled(q *request) bool {
	const part = 16
	return draw(q.ID) < 1.0/part
}

// stream passes on the events of a stream as they come.
func (g *Gateway) stream(ctx context.Context, q *request, a *attempts, ans *sender.Answer, v dialect.Verdict) (assigner.End, bool) {
	a.sent++
	a.seq.Restart()
	ctl := http.NewResponseController(q.w)
	buf := make([]byte, copyBytes)
	for {
		n, err := ans.Read(buf)
		if n > 0 {
			out, bad := a.seq.Feed(buf[:n])
			if len(out) > 0 {
				if werr := g.pass(q, a, ans, v, ctl, out); werr != nil {
					return assigner.Withdrawn, false
				}
			}
			if bad != nil {
				err = bad
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !a.seq.Pending():
			if !a.started {
				g.begin(q, a, ans, v)
			}
			g.served(q, a, ans.Status)
			return assigner.Served, true
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		case err == nil:
			continue
		}
		a.last = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Cut, Text: err.Error()}
		if ctx.Err() != nil {
			return assigner.Withdrawn, false
		}
		return assigner.Failed, false
	}
}

func (g *Gateway) begin(q *request, a *attempts, ans *sender.Answer, v dialect.Verdict) {
	a.started = true
	a.release = v.Release
	a.first = time.Since(q.arrived)
	g.Meter.First(a.first)
	g.writeHead(q, ans.Status, ans.Header, -1)
}

func (g *Gateway) pass(q *request, a *attempts, ans *sender.Answer, v dialect.Verdict, ctl *http.ResponseController, out []byte) error {
	if !a.started {
		g.begin(q, a, ans, v)
	}
	now := time.Now()
	a.begin()
	if !a.event.IsZero() {
		a.gap = max(a.gap, now.Sub(a.event))
	}
	a.event = now
	if _, err := q.w.Write(out); err != nil {
		return err
	}
	return ctl.Flush()
}
