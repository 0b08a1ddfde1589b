// Package storerelayer reads the topics of the platform's store for one entry host, from another entry host or from the store, and
// passes what it holds on to other hosts. It holds the newest value of each key, so that a host that is behind gets each value
// once, however often it has changed. The source of a read is a decision of sourceselector.
package storerelayer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/sourceselector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/idletimer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// defaultPeriod applies unless Period is set.
	defaultPeriod = 800 * time.Millisecond
	// answerMargin is how much longer than it may wait a source may take to answer, and turnMargin the same for one that need not be
	// current.
	answerMargin = 150 * time.Millisecond
	turnMargin   = 100 * time.Millisecond
	// hostIdleTimeout is how long another host that has begun to answer may send nothing: several hosts may read from it.
	hostIdleTimeout = 600 * time.Millisecond
	// storeIdleTimeout is how long a call to the store may make no progress beside the time for which it waits, and maxCallTime
	// limits a call that makes progress: the largest state over the narrowest link of the target takes less.
	storeIdleTimeout = 1100 * time.Millisecond
	maxCallTime      = 8 * time.Second
	// maxTurnWait is how long this host waits for its turn before it reports that the topic cannot be read.
	maxTurnWait = 1100 * time.Millisecond
	// maxServeWait limits the time for which another host's query is held.
	maxServeWait = 12 * time.Second
	// listTimeout is how long the read of a list at the start may make no progress, and listPollInterval the time between two checks
	// for another host that can give it.
	listTimeout      = 300 * time.Millisecond
	listPollInterval = 25 * time.Millisecond
	// maxCallDelay is how much later than a period a call may succeed, counted from the end of the call before, if neither
	// this host nor the source stood still. It includes the pause between two calls.
	maxCallDelay = 300 * time.Millisecond
	// maxDrift is the difference between Elapsed and the clock of the runtime from which this host counts as suspended.
	maxDrift = 100 * time.Millisecond
	// fetchingTime is how long after the last bytes of its state a host counts as receiving it, and answerTime how long after it has
	// asked for it.
	fetchingTime = 600 * time.Millisecond
	answerTime   = 500 * time.Millisecond
)

var errNoAnswer = errors.New("no source has answered")

// UnknownError reports that a host does not hold the records that it was asked for.
type UnknownError struct {
	Host, Topic string
	From        int64
}

// Error names the host, the topic and the offset.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("host %s does not hold records of %s from offset %d", e.Host, e.Topic, e.From)
}

// AgeError reports that what a host knows is too old.
type AgeError struct {
	Host, Topic string
	Age, MaxAge time.Duration
}

// Error names the host, the topic, the age and its bound.
func (e *AgeError) Error() string {
	return fmt.Sprintf("what host %s knows of %s is %d ms old, at most %d ms are allowed", e.Host, e.Topic, e.Age.Milliseconds(), e.MaxAge.Milliseconds())
}

// Relayer reads the store for one host. Set its fields before use.
type Relayer struct {
	// Peers returns the other entry hosts in the order of their addresses, as this host sees them now.
	Peers func() []sourceselector.Peer
	// Period returns the longest time between two calls for a topic by a host that reads the store. Nil selects the default.
	Period func(topic string) time.Duration
	// Topics lists the topics that a host must hold to count as current.
	Topics []string
	// ReadStore reads changes from the store, and ReadStoreSnapshot a snapshot. They report progress to the idletimer of ctx.
	ReadStore         func(ctx context.Context, topic string, epoch watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error)
	ReadStoreSnapshot func(ctx context.Context, topic string) (watcher.Snapshot, error)
	// QueryReader queries another host for changes, and QuerySnapshot for a snapshot. They report progress as well.
	QueryReader func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsResponse, error)
	// Without QuerySnapshot, snapshots are read from the store alone.
	QuerySnapshot func(ctx context.Context, address string, q messages.SnapshotQuery) (messages.RecordsResponse, error)
	// Elapsed returns the time since some moment, including that for which the host was suspended. Nil means the clock of
	// the runtime, which does not count that.
	Elapsed func() time.Duration
	// Logger receives the log events of changes of the source and of reads that fail. It may be nil. LogsChanges says whether
	// each read that brings changes of a topic is logged as well; nil means none.
	Logger      log.Interface
	LogsChanges func(topic string) bool

	mu        sync.Mutex
	startedAt time.Time
	topics    map[string]*topic
	queries   map[*query]bool
}

// query is a call to another host that is under way.
type query struct {
	topic    *topic
	decision sourceselector.Decision
	cancel   context.CancelCauseFunc
	// progressAt is when bytes of the answer last arrived.
	progressAt time.Time
}

// topic returns the state of a topic. The caller must hold r.mu.
func (r *Relayer) topic(name string) *topic {
	if r.topics == nil {
		r.topics, r.queries, r.startedAt = make(map[string]*topic), make(map[*query]bool), time.Now()
	}
	t := r.topics[name]
	if t == nil {
		t = newTopic(defaultPeriod)
		if r.Period != nil {
			t.selector.Period = r.Period(name)
		}
		r.topics[name] = t
	}
	return t
}

// elapsed returns the time since some moment. The caller must hold r.mu.
func (r *Relayer) elapsed() time.Duration {
	if r.Elapsed != nil {
		return r.Elapsed()
	}
	return time.Since(r.startedAt)
}

// drift returns how much more time than the clock of the runtime Elapsed has counted. The caller must hold r.mu.
func (r *Relayer) drift() time.Duration {
	return r.elapsed() - time.Since(r.startedAt)
}

// own returns the state of this host for a topic. The caller must hold r.mu.
func (r *Relayer) own(t *topic) sourceselector.Own {
	return sourceselector.Own{IsLoaded: t.hasRead, Age: r.elapsed() - t.completeAt}
}

// State returns what this host says of itself in its beats.
func (r *Relayer) State() sourceselector.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := sourceselector.Current
	for _, name := range r.Topics {
		t := r.topic(name)
		if !t.selector.IsBehind(r.own(t)) {
			continue
		}
		if t.isFetching(r.elapsed()) {
			return sourceselector.Fetching
		}
		state = sourceselector.Behind
	}
	return state
}

// CheckQueries ends queries to hosts that are not worth waiting for any more. It is called after each beat.
func (r *Relayer) CheckQueries() {
	r.mu.Lock()
	hasQueries := len(r.queries) > 0
	r.mu.Unlock()
	if !hasQueries {
		return
	}
	peers, now := r.Peers(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for q := range r.queries {
		// A source that is no leader any more sends no beats, but may still be sending its answer.
		if now.Sub(q.progressAt) > fetchingTime && !q.topic.selector.IsUsable(now, q.decision, r.own(q.topic), peers) {
			q.cancel(errNoAnswer)
		}
	}
}

// next decides on the next source of a topic.
func (r *Relayer) next(name string) sourceselector.Decision {
	peers := r.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topic(name)
	return t.selector.Next(time.Now(), r.own(t), peers)
}

// ReadChanges returns the records of a topic from an offset of an epoch on. If the source is in a later epoch, the result has no
// records but that epoch.
func (r *Relayer) ReadChanges(ctx context.Context, name string, epoch watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error) {
	startedAt := time.Now()
	var cause error
	for ctx.Err() == nil {
		d := r.next(name)
		if d.Source == "" {
			sleep(ctx, d.Wait)
			continue
		}
		triedAt := time.Now()
		b, err := r.readFrom(ctx, d, name, epoch, from, wait)
		if err == nil && d.Source != sourceselector.Store && len(b.Changes) == 0 && b.Epoch == epoch && !d.Accepts(b.Age) {
			err = &AgeError{Host: d.Source, Topic: name, Age: b.Age, MaxAge: d.MaxAge}
		}
		isTurnOver := err != nil && d.IsTurnAwaited
		if !isTurnOver {
			r.logRead(name, d.Source, from, b, time.Since(triedAt), err)
		}
		if err == nil {
			r.recordSource(name, d.Source, startedAt, cause)
			return b, nil
		}
		if !isTurnOver {
			cause = err
		}
		if d.Source == sourceselector.Store || isTurnOver && time.Since(startedAt) > maxTurnWait {
			break
		}
	}
	if cause == nil {
		cause = errNoAnswer
	}
	return watcher.Batch{}, cause
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readFrom reads changes from one source.
func (r *Relayer) readFrom(ctx context.Context, d sourceselector.Decision, name string, epoch watcher.Epoch, from int64, wait time.Duration) (b watcher.Batch, err error) {
	r.mu.Lock()
	calledAt := r.elapsed()
	if d.IsOutside {
		r.topic(name).askedAt, r.topic(name).isAsking = calledAt, true
	}
	r.mu.Unlock()
	held := wait
	if d.Source == sourceselector.Store {
		b, err = r.readStore(ctx, d, name, epoch, from, wait)
	} else {
		b, held, err = r.queryChanges(ctx, d, name, epoch, from)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topic(name)
	if d.IsOutside {
		t.isAsking = false
	}
	now := time.Now()
	if err != nil {
		t.hasFailed = true
		r.recordFailure(t, d, now, err)
		return b, err
	}
	isCurrent := t.selector.RecordAnswer(now, d, b.Age, b.IsPending) || b.Epoch > epoch
	t.addDelay(b, calledAt, r.elapsed(), r.drift(), held, isCurrent)
	t.apply(from, b)
	for i := range b.Changes {
		if c := &b.Changes[i]; c.Position != 0 {
			c.Position = 0 // it serves the hosts that read from this one
		}
	}
	return b, nil
}

// recordFailure records that a source has failed, unless this host has given up waiting for it or only the offset is not held any more. The
// caller must hold r.mu.
func (r *Relayer) recordFailure(t *topic, d sourceselector.Decision, now time.Time, err error) {
	if errors.Is(err, errNoAnswer) {
		return
	}
	var unknown *UnknownError
	var gap *watcher.GapError
	if d.IsTurnAwaited && errors.As(err, &unknown) || errors.As(err, &gap) {
		return
	}
	t.selector.RecordFailure(now, d)
}

// readStore reads changes from the store, or its newest values if this host is far behind.
func (r *Relayer) readStore(ctx context.Context, d sourceselector.Decision, name string, epoch watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error) {
	ctx, cancel := idletimer.New(ctx, wait+storeIdleTimeout, storeIdleTimeout, maxCallTime, r.fetching(name))
	defer cancel()
	r.mu.Lock()
	t := r.topic(name)
	isWhole := d.IsWhole && t.isWhole && t.epoch == epoch && t.nextOffset == from
	r.mu.Unlock()
	if !isWhole {
		return r.ReadStore(ctx, name, epoch, from, wait)
	}
	s, err := r.readStoreSnapshot(ctx, name)
	if err != nil {
		return watcher.Batch{}, err
	}
	return r.difference(name, d.Source, s)
}

// readStoreSnapshot reads a snapshot from the store. If its values were read one after the other, it adds the changes made meanwhile, so
// that it is the state at its offset: hosts that read from this one take it for that.
func (r *Relayer) readStoreSnapshot(ctx context.Context, name string) (watcher.Snapshot, error) {
	s, err := r.ReadStoreSnapshot(ctx, name)
	for err == nil && s.NextOffset < s.EndOffset {
		var b watcher.Batch
		b, err = r.ReadStore(ctx, name, s.Epoch, s.NextOffset, 0)
		switch {
		case err != nil:
		case b.Epoch != s.Epoch:
			err = &watcher.EpochError{Topic: name, Epoch: s.Epoch, Seen: b.Epoch}
		case b.NextOffset <= s.NextOffset:
			err = &watcher.GapError{Topic: name, From: s.NextOffset}
		default:
			s.Add(b)
		}
	}
	s.EndOffset = 0
	return s, err
}

// difference returns a snapshot as the changes of the state that this host holds.
func (r *Relayer) difference(name, source string, s watcher.Snapshot) (watcher.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topic(name)
	b := watcher.Batch{NextOffset: s.NextOffset, Since: s.NextOffset, Epoch: s.Epoch, Age: s.Age}
	switch {
	case s.Epoch > t.epoch:
		return watcher.Batch{NextOffset: t.nextOffset, Epoch: s.Epoch}, nil
	case s.Epoch < t.epoch:
		return b, nil
	case s.NextOffset < t.nextOffset:
		return b, fmt.Errorf("snapshot of offset %d is older than offset %d", s.NextOffset, t.nextOffset)
	}
	b.Changes = t.difference(s)
	r.logMissed(name, source, t, t.missed(b.Changes))
	return b, nil
}

// fetching returns a function that records that this host receives a topic.
func (r *Relayer) fetching(name string) func() {
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.topic(name).recordBytes(r.elapsed())
	}
}

// call calls another host within the limits of a decision.
func (r *Relayer) call(ctx context.Context, d sourceselector.Decision, name string, call func(ctx context.Context) (messages.RecordsResponse, error)) (messages.RecordsResponse, error) {
	margin := answerMargin
	if d.IsTurnAwaited {
		margin = turnMargin
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.mu.Lock()
	q := &query{topic: r.topic(name), decision: d, cancel: cancel}
	r.queries[q] = true
	r.mu.Unlock()
	limited, stop := idletimer.New(ctx, d.Wait+margin, hostIdleTimeout, max(maxCallTime, d.Wait+margin), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		q.progressAt = time.Now()
		if d.IsOutside {
			q.topic.recordBytes(r.elapsed())
		}
	})
	defer stop()
	resp, err := call(limited)
	r.mu.Lock()
	delete(r.queries, q)
	r.mu.Unlock()
	if err != nil && errors.Is(context.Cause(ctx), errNoAnswer) {
		err = fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return resp, err
}

// queryChanges queries another host for changes. held is how long that host has waited for news.
func (r *Relayer) queryChanges(ctx context.Context, d sourceselector.Decision, name string, epoch watcher.Epoch, from int64) (b watcher.Batch, held time.Duration, err error) {
	resp, err := r.call(ctx, d, name, func(ctx context.Context) (messages.RecordsResponse, error) {
		return r.QueryReader(ctx, d.Source, messages.RecordsQuery{Topic: name, FromOffset: from, Epoch: int64(epoch), WaitMs: d.Wait.Milliseconds()})
	})
	if err != nil {
		return b, 0, err
	}
	if resp.Unknown || watcher.Epoch(resp.Epoch) < epoch {
		return b, 0, &UnknownError{Host: d.Source, Topic: name, From: from}
	}
	records, err := recordpacker.Unpack(resp.Data, resp.Compressed)
	if err != nil {
		return b, 0, err
	}
	held = time.Duration(resp.HeldMs) * time.Millisecond
	b = watcher.Batch{
		Changes: records, NextOffset: resp.NextOffset, Since: cmp.Or(resp.Since, resp.NextOffset), Epoch: watcher.Epoch(resp.Epoch), IsRelayed: true,
		Age: time.Duration(resp.AgeMs) * time.Millisecond, IsPending: resp.Pending,
	}
	if !resp.Whole {
		return b, held, nil
	}
	r.mu.Lock()
	t := r.topic(name)
	isWhole := t.isWhole && t.nextOffset == from
	r.mu.Unlock()
	if !isWhole {
		return b, held, &watcher.GapError{Topic: name, From: from}
	}
	b, err = r.difference(name, d.Source, snapshotOf(records, resp))
	b.IsRelayed = true
	return b, held, err
}

// snapshotOf returns the snapshot that a response of another host contains.
func snapshotOf(records []watcher.Change, resp messages.RecordsResponse) watcher.Snapshot {
	s := watcher.Snapshot{
		Values: make(map[string][]byte, len(records)), NextOffset: resp.NextOffset, Epoch: watcher.Epoch(resp.Epoch),
		Age: time.Duration(resp.AgeMs) * time.Millisecond,
	}
	for _, c := range records {
		s.Values[c.Key] = c.Value
	}
	return s
}

// ReadSnapshot returns a snapshot of a topic. If no source is current, it returns the newest one that another host holds.
func (r *Relayer) ReadSnapshot(ctx context.Context, name string) (watcher.Snapshot, error) {
	startedAt := time.Now()
	var old *watcher.Snapshot
	var cause error
	for ctx.Err() == nil {
		d := sourceselector.Decision{Source: sourceselector.Store, IsOutside: true}
		if r.QuerySnapshot != nil {
			d = r.next(name)
		}
		if d.Source == "" {
			sleep(ctx, d.Wait)
			continue
		}
		triedAt := time.Now()
		s, err := r.readSnapshotFrom(ctx, d, name)
		isOld := err == nil && d.Source != sourceselector.Store && s.Age > r.maxStartAge(name)
		if err == nil && !isOld {
			r.logSnapshot(name, d.Source, s, time.Since(startedAt), time.Since(triedAt))
			return r.setSnapshot(name, s), nil
		}
		if isOld && (old == nil || s.NextOffset > old.NextOffset) {
			old = &s
		}
		if err != nil && !d.IsTurnAwaited {
			cause = err
			r.logRead(name, d.Source, 0, watcher.Batch{}, time.Since(triedAt), err)
		}
		if d.Source == sourceselector.Store || d.IsTurnAwaited && time.Since(startedAt) > maxTurnWait {
			break
		}
	}
	if old != nil {
		r.logSnapshot(name, "", *old, time.Since(startedAt), 0)
		return r.setSnapshot(name, *old), nil
	}
	if cause == nil {
		cause = errNoAnswer
	}
	return watcher.Snapshot{}, cause
}

// maxStartAge returns the age up to which a snapshot of another host is taken.
func (r *Relayer) maxStartAge(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topic(name).selector.MaxStartAge()
}

// readSnapshotFrom reads a snapshot from one source.
func (r *Relayer) readSnapshotFrom(ctx context.Context, d sourceselector.Decision, name string) (s watcher.Snapshot, err error) {
	if d.Source == sourceselector.Store {
		limited, cancel := idletimer.New(ctx, storeIdleTimeout, storeIdleTimeout, maxCallTime, r.fetching(name))
		defer cancel()
		s, err = r.readStoreSnapshot(limited, name)
	} else {
		s, err = r.querySnapshot(ctx, d, name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topic(name)
	if err != nil {
		r.recordFailure(t, d, time.Now(), err)
		return s, err
	}
	t.selector.RecordAnswer(time.Now(), d, s.Age, false)
	return s, nil
}

func (r *Relayer) querySnapshot(ctx context.Context, d sourceselector.Decision, name string) (watcher.Snapshot, error) {
	r.mu.Lock()
	epoch := r.topic(name).latestEpoch
	r.mu.Unlock()
	resp, err := r.call(ctx, d, name, func(ctx context.Context) (messages.RecordsResponse, error) {
		return r.QuerySnapshot(ctx, d.Source, messages.SnapshotQuery{Topic: name, Epoch: int64(epoch), WaitMs: min(snapshotWait, d.Wait).Milliseconds()})
	})
	if err != nil {
		return watcher.Snapshot{}, err
	}
	if resp.Unknown || watcher.Epoch(resp.Epoch) < epoch {
		return watcher.Snapshot{}, &UnknownError{Host: d.Source, Topic: name}
	}
	records, err := recordpacker.Unpack(resp.Data, resp.Compressed)
	return snapshotOf(records, resp), err
}

// ReadList returns a snapshot of a small topic at the start of a host, when the other hosts are not known: from the store, or from a
// host from which a beat arrives meanwhile.
func (r *Relayer) ReadList(ctx context.Context, name string) (watcher.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		s   watcher.Snapshot
		err error
	}
	fromStore, fromHost := make(chan result, 1), make(chan result, 1)
	go func() {
		limited, stop := idletimer.New(ctx, listTimeout, listTimeout, maxCallTime, nil)
		defer stop()
		s, err := r.readStoreSnapshot(limited, name)
		fromStore <- result{s, err}
	}()
	go func() {
		s, err := r.readListFromHost(ctx, name)
		fromHost <- result{s, err}
	}()
	var got result
	for range 2 {
		select {
		case got = <-fromStore:
		case got = <-fromHost:
		}
		if got.err == nil {
			return r.setSnapshot(name, got.s), nil
		}
	}
	return got.s, got.err
}

func (r *Relayer) readListFromHost(ctx context.Context, name string) (watcher.Snapshot, error) {
	for end := time.Now().Add(listTimeout); ; {
		for _, p := range r.Peers() {
			if p.Contact == sourceselector.Heard && p.State == sourceselector.Current {
				return r.querySnapshot(ctx, sourceselector.Decision{Source: p.Address, Wait: listTimeout}, name)
			}
		}
		if time.Now().After(end) {
			return watcher.Snapshot{}, errNoAnswer
		}
		if sleep(ctx, listPollInterval); ctx.Err() != nil {
			return watcher.Snapshot{}, ctx.Err()
		}
	}
}

// setSnapshot replaces the state of a topic, and notifies the hosts that wait for it. It returns the state that is held now, which is
// another one if a newer one of the same epoch was held before.
func (r *Relayer) setSnapshot(name string, s watcher.Snapshot) watcher.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topic(name).setSnapshot(s, r.elapsed(), r.drift())
}

// recordSource logs where records come from if that has changed. cause is the failure of the source before it, if there
// was one.
func (r *Relayer) recordSource(name, source string, startedAt time.Time, cause error) {
	r.mu.Lock()
	t := r.topic(name)
	before := t.source
	t.source = source
	r.mu.Unlock()
	if source == before || r.Logger == nil {
		return
	}
	f := log.Fields{"topic": name, "source": source, "before": before, "took": time.Since(startedAt).Milliseconds()}
	if cause != nil {
		f["cause"] = cause.Error()
	}
	event.RecordsSourceChanged.Log(r.Logger, f)
}

// logRead logs a read that has failed, and one that has brought changes of a topic whose changes are logged.
func (r *Relayer) logRead(name, source string, from int64, b watcher.Batch, took time.Duration, err error) {
	if r.Logger == nil || err == nil && (len(b.Changes) == 0 || r.LogsChanges == nil || !r.LogsChanges(name)) {
		return
	}
	f := log.Fields{"topic": name, "source": source, "from": from, "took": took.Milliseconds()}
	if err != nil {
		r.mu.Lock()
		f["banned"] = r.topic(name).selector.BannedFor(time.Now(), source).Milliseconds()
		r.mu.Unlock()
		event.RecordsReadFailed.Log(r.Logger.WithError(err), f)
		return
	}
	size := 0
	for _, c := range b.Changes {
		size += len(c.Key) + len(c.Value)
	}
	f["next"], f["changes"], f["bytes"], f["age"] = b.NextOffset, len(b.Changes), size, b.Age.Milliseconds()
	event.RecordsRead.Log(r.Logger, f)
}

// logMissed logs changes that this host should have had before, with the first key and its position.
func (r *Relayer) logMissed(name, source string, t *topic, missed []watcher.Change) {
	if len(missed) == 0 || r.Logger == nil {
		return
	}
	event.RecordsMissed.Log(r.Logger, log.Fields{
		"topic": name, "source": source, "from": t.nextOffset, "changes": len(missed), "key": missed[0].Key, "position": int64(missed[0].Position),
	})
}

// logSnapshot logs a snapshot that was read, with the time since the first try and that of the last one. The source is empty if no source
// was current.
func (r *Relayer) logSnapshot(name, source string, s watcher.Snapshot, total, took time.Duration) {
	if r.Logger == nil {
		return
	}
	size := 0
	for key, value := range s.Values {
		size += len(key) + len(value)
	}
	event.SnapshotRead.Log(r.Logger, log.Fields{
		"topic": name, "source": source, "next": s.NextOffset, "keys": len(s.Values), "bytes": size, "age": s.Age.Milliseconds(),
		"total": total.Milliseconds(), "took": took.Milliseconds(),
	})
}
