// Package checkpointer writes checkpoints of the configuration state to the log and restores the state from them.
//
// A checkpoint consists of parts and a mark. Parts and marks are in separate streams, so that followers of the
// configuration stream read neither. The mark is appended after its parts and lists their offsets, so that the parts of
// two concurrent writers may be interleaved.
package checkpointer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

// Log streams of checkpoints.
const (
	PartStream logclient.Stream = "checkpoint-parts"
	MarkStream logclient.Stream = "checkpoint-marks"
)

// DefaultInterval is the age of the latest checkpoint at which the next one is due. It has to be well below the
// retention time of the log, so that the log always holds a checkpoint.
const DefaultInterval = 5 * time.Minute

const (
	checkInterval     = 2 * time.Second
	stepTimeout       = 10 * time.Second
	marksPerPage      = 1000
	maxAppendAttempts = 3
)

// Checkpointer writes checkpoints when they are due. Its exported fields must be set before Run.
type Checkpointer struct {
	Self     ident.Host
	Follower *configfollower.Follower
	// Writers returns the hosts that may write checkpoints.
	Writers func() []ident.Host
	// Interval is the age of the latest checkpoint at which the next one is due; zero means DefaultInterval.
	Interval time.Duration
	// Read and Append read from and append to streams of the log service.
	Read   func(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	Append func(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error)
	// Logger records events.
	Logger log.Interface

	nextMark   ident.Offset
	latest     checkpointer.CompletionMark
	latestSeen time.Time
	dueSince   time.Time
}

// Run writes checkpoints until ctx is done.
func (c *Checkpointer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(checkInterval):
		}
		if err := c.Step(ctx); err != nil && ctx.Err() == nil {
			event.CheckpointFailed.Log(c.Logger, log.Fields{"error": err.Error()})
		}
	}
}

// Step reads the new marks once and writes a checkpoint if this host has to.
func (c *Checkpointer) Step(ctx context.Context) error {
	rank := slices.Index(ranker.Rank("config/checkpoint", c.Writers()), c.Self)
	if rank < 0 || rank >= checkpointer.MaxWriters || !c.Follower.Ready() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	logStart, err := c.readNewMarks(ctx)
	if err != nil {
		return err
	}
	conditions := c.currentConditions(rank, logStart)
	if !conditions.IsDue() {
		c.dueSince = time.Time{}
		return nil
	}
	if c.dueSince.IsZero() {
		c.dueSince = time.Now()
	}
	conditions.DueFor = time.Since(c.dueSince)
	if !conditions.ShouldWrite() {
		return nil
	}
	return c.Write(ctx, c.Follower.Snapshot())
}

func (c *Checkpointer) currentConditions(rank int, logStart ident.Offset) checkpointer.Conditions {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	out := checkpointer.Conditions{
		Rank: rank, Offset: c.Follower.Offset(), LogStart: logStart, LatestOffset: -1, Interval: interval,
	}
	if c.latest.PartsDigest != "" {
		out.LatestOffset = c.latest.Offset
		out.LatestAge = max(time.Since(c.latestSeen), time.Since(c.latest.Time))
	}
	return out
}

// readNewMarks reads the marks since the last call, compares their digests with the local state, and returns the lowest
// offset that the configuration stream still holds.
func (c *Checkpointer) readNewMarks(ctx context.Context) (ident.Offset, error) {
	marks, next, err := c.readMarks(ctx, c.nextMark)
	if err != nil {
		return 0, err
	}
	page, err := c.Read(ctx, logclient.ConfigStream, c.Follower.Offset(), 1, 0)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	c.nextMark = next
	for _, m := range marks {
		c.Follower.CheckDigest(m.Offset, m.Digest)
		if m.Offset >= c.latest.Offset && m.Offset <= page.NextOffset {
			c.latest, c.latestSeen = m, time.Now()
		}
	}
	return page.FirstOffset, nil
}

// readMarks returns the marks from an offset on and the offset after the last one. It skips invalid marks.
func (c *Checkpointer) readMarks(ctx context.Context, from ident.Offset) ([]checkpointer.CompletionMark, ident.Offset, error) {
	var out []checkpointer.CompletionMark
	for {
		page, err := c.Read(ctx, MarkStream, from, marksPerPage, 0)
		if err != nil {
			return nil, from, fmt.Errorf("read marks: %w", err)
		}
		from = max(from, page.FirstOffset)
		for _, rec := range page.Records {
			from = rec.Offset + 1
			if m, err := checkpointer.DecodeCompletionMark(rec.Data); err == nil {
				out = append(out, m)
			}
		}
		if from >= page.NextOffset || len(page.Records) == 0 {
			return out, from, nil
		}
	}
}

// Write appends the parts of a state and then its mark.
func (c *Checkpointer) Write(ctx context.Context, state *reducer.Reducer) error {
	encoded, err := checkpointer.Encode(state)
	if err != nil {
		return err
	}
	mark := checkpointer.CompletionMark{Offset: encoded.Offset, Digest: encoded.Digest, PartsDigest: encoded.PartsDigest, Host: c.Self, Time: time.Now().UTC()}
	for _, p := range encoded.Parts {
		offset, err := c.append(ctx, PartStream, p)
		if err != nil {
			return err
		}
		mark.PartOffsets = append(mark.PartOffsets, offset)
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("encode mark: %w", err)
	}
	if _, err := c.append(ctx, MarkStream, data); err != nil {
		return err
	}
	event.CheckpointWritten.Log(c.Logger, log.Fields{"offset": encoded.Offset, "parts": len(encoded.Parts)})
	return nil
}

// append appends a record and retries after a failure. If only the response was lost, the log holds the record twice,
// which is harmless.
func (c *Checkpointer) append(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
	var offset ident.Offset
	var err error
	for range maxAppendAttempts {
		offset, err = c.Append(ctx, s, data)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", s, err)
	}
	return offset, nil
}

// Restore returns the state from the usable checkpoint with the highest offset.
func (c *Checkpointer) Restore(ctx context.Context) (*reducer.Reducer, error) {
	marks, _, err := c.readMarks(ctx, 0)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(marks, func(a, b checkpointer.CompletionMark) int { return int(b.Offset - a.Offset) })
	lastErr := fmt.Errorf("checkpoint: log has no checkpoint")
	for _, m := range marks {
		state, err := c.fetchState(ctx, m)
		if err == nil {
			return state, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// fetchState reads the parts of a checkpoint from the log and decodes them.
func (c *Checkpointer) fetchState(ctx context.Context, m checkpointer.CompletionMark) (*reducer.Reducer, error) {
	parts := make([][]byte, len(m.PartOffsets))
	for i, offset := range m.PartOffsets {
		page, err := c.Read(ctx, PartStream, offset, 1, 0)
		if err != nil {
			return nil, fmt.Errorf("read checkpoint part: %w", err)
		}
		if len(page.Records) != 1 || page.Records[0].Offset != offset {
			return nil, &checkpointer.Error{Reason: fmt.Sprintf("part at offset %d is no longer in the log", offset)}
		}
		parts[i] = page.Records[0].Data
	}
	state, err := checkpointer.Decode(parts, m.PartsDigest)
	if err == nil && state.Offset() != m.Offset {
		return nil, &checkpointer.Error{Reason: "offset of the state differs from the offset in its mark"}
	}
	return state, err
}
