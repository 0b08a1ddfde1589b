// Package checkpointer writes checkpoints of the configuration to the log and restores them.
//
// Parts and marks have streams of their own, so that followers of the configuration read neither. A mark follows its
// parts and names their offsets, so that parts of two writers may lie between each other.
package checkpointer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

// Streams of checkpoints.
const (
	Parts logclient.Stream = "checkpoint-parts"
	Marks logclient.Stream = "checkpoint-marks"
)

// DefaultInterval is the age at which a checkpoint is written again. It has to be well below the log's retention.
const DefaultInterval = 5 * time.Minute

const (
	checkInterval = 2 * time.Second
	callTime      = 10 * time.Second
	pageMarks     = 1000
	appendTries   = 3
)

// Checkpointer writes checkpoints when they are due. Set its fields before Run.
type Checkpointer struct {
	Self     ident.Host
	Follower *follower.Follower
	// Writers returns the hosts that may write.
	Writers func() []ident.Host
	// Interval is the age at which a checkpoint is due; zero stands for DefaultInterval.
	Interval time.Duration
	// Read and Append reach the log service.
	Read   func(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	Append func(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error)
	// Logger receives the events.
	Logger log.Interface

	next   ident.Offset
	best   checkpointer.Mark
	bestAt time.Time
	due    time.Time
}

// Run writes checkpoints until ctx ends.
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

// Step looks at the marks once and writes a checkpoint if this process has to.
func (c *Checkpointer) Step(ctx context.Context) error {
	rank := slices.Index(ranker.Rank("config/checkpoint", c.Writers()), c.Self)
	if rank < 0 || rank >= checkpointer.MaxWriters || !c.Follower.Ready() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	first, err := c.look(ctx)
	if err != nil {
		return err
	}
	sit := c.situation(rank, first)
	if !sit.IsDue() {
		c.due = time.Time{}
		return nil
	}
	if c.due.IsZero() {
		c.due = time.Now()
	}
	sit.Waited = time.Since(c.due)
	if !sit.ShouldWrite() {
		return nil
	}
	return c.Write(ctx, c.Follower.Snapshot())
}

func (c *Checkpointer) situation(rank int, first ident.Offset) checkpointer.Situation {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	out := checkpointer.Situation{
		Rank: rank, Offset: c.Follower.Offset(), First: first, Latest: -1, Interval: interval,
	}
	if c.best.Sum != "" {
		out.Latest = c.best.Offset
		out.Age = max(time.Since(c.bestAt), time.Since(c.best.Time))
	}
	return out
}

// look reads the new marks and returns the first offset of the configuration stream.
func (c *Checkpointer) look(ctx context.Context) (ident.Offset, error) {
	marks, next, err := c.marks(ctx, c.next)
	if err != nil {
		return 0, err
	}
	page, err := c.Read(ctx, logclient.Config, c.Follower.Offset(), 1, 0)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	c.next = next
	for _, m := range marks {
		c.Follower.Compare(m.Offset, m.Digest)
		if m.Offset >= c.best.Offset && m.Offset <= page.Next {
			c.best, c.bestAt = m, time.Now()
		}
	}
	return page.First, nil
}

func (c *Checkpointer) marks(ctx context.Context, from ident.Offset) ([]checkpointer.Mark, ident.Offset, error) {
	var out []checkpointer.Mark
	for {
		page, err := c.Read(ctx, Marks, from, pageMarks, 0)
		if err != nil {
			return nil, from, fmt.Errorf("read marks: %w", err)
		}
		from = max(from, page.First)
		for _, rec := range page.Records {
			from = rec.Offset + 1
			if m, err := checkpointer.DecodeMark(rec.Data); err == nil {
				out = append(out, m)
			}
		}
		if from >= page.Next || len(page.Records) == 0 {
			return out, from, nil
		}
	}
}

// Write appends the parts and then the mark.
func (c *Checkpointer) Write(ctx context.Context, state *reducer.Reducer) error {
	blob, err := checkpointer.Encode(state)
	if err != nil {
		return err
	}
	mark := checkpointer.Mark{Offset: blob.Offset, Digest: blob.Digest, Sum: blob.Sum, Host: c.Self, Time: time.Now().UTC()}
	for _, p := range blob.Parts {
		at, err := c.append(ctx, Parts, p)
		if err != nil {
			return err
		}
		mark.Parts = append(mark.Parts, at)
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("encode mark: %w", err)
	}
	if _, err := c.append(ctx, Marks, data); err != nil {
		return err
	}
	event.CheckpointWritten.Log(c.Logger, log.Fields{"offset": blob.Offset, "parts": len(blob.Parts)})
	return nil
}

// append tries again after a lost answer; a record that stands twice does no harm.
func (c *Checkpointer) append(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
	var at ident.Offset
	var err error
	for range appendTries {
		at, err = c.Append(ctx, s, data)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", s, err)
	}
	return at, nil
}

// Restore returns the state of the complete checkpoint with the highest offset.
func (c *Checkpointer) Restore(ctx context.Context) (*reducer.Reducer, error) {
	marks, _, err := c.marks(ctx, 0)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(marks, func(a, b checkpointer.Mark) int { return int(b.Offset - a.Offset) })
	last := fmt.Errorf("checkpoint: log holds none")
	for _, m := range marks {
		state, err := c.fetch(ctx, m)
		if err == nil {
			return state, nil
		}
		last = err
	}
	return nil, last
}

func (c *Checkpointer) fetch(ctx context.Context, m checkpointer.Mark) (*reducer.Reducer, error) {
	parts := make([][]byte, len(m.Parts))
	for i, at := range m.Parts {
		page, err := c.Read(ctx, Parts, at, 1, 0)
		if err != nil {
			return nil, fmt.Errorf("read checkpoint part: %w", err)
		}
		if len(page.Records) != 1 || page.Records[0].Offset != at {
			return nil, &checkpointer.Error{Reason: fmt.Sprintf("part %d has expired", at)}
		}
		parts[i] = page.Records[0].Data
	}
	state, err := checkpointer.Decode(parts, m.Sum)
	if err == nil && state.Offset() != m.Offset {
		return nil, &checkpointer.Error{Reason: "state has another offset than its mark"}
	}
	return state, err
}
