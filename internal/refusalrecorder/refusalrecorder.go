// Package refusalrecorder records operators' refused requests in a stream of the log service.
package refusalrecorder

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

// Stream is the log stream of refused attempts.
const Stream logclient.Stream = "attempts"

const (
	appendTimeout    = 2 * time.Second
	appendsPerSecond = 1
	maxAppendBurst   = 20
	pageRecords      = 1000
)

// Recorder appends attempts at a limited rate, so that a flood of them cannot fill the log service. Every attempt,
// appended or not, is also an event in the process's own log. Create it with New.
type Recorder struct {
	Client *logclient.Client
	Logger log.Interface

	limiter *rate.Limiter
}

// New returns a Recorder that appends over the given client.
func New(c *logclient.Client, l log.Interface) *Recorder {
	return &Recorder{Client: c, Logger: l, limiter: rate.NewLimiter(appendsPerSecond, maxAppendBurst)}
}

// Record logs one attempt and, within the rate limit, appends it to the stream.
func (a *Recorder) Record(ctx context.Context, attempt adminapi.RefusedAttempt) {
	fields := log.Fields{"action": attempt.Action, "from": attempt.RemoteAddress, "name": attempt.Author, "reason": attempt.Reason}
	event.AdminRequestRefused.Log(a.Logger, fields)
	if !a.limiter.Allow() {
		return
	}
	data, err := json.Marshal(attempt)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	if _, err := a.Client.Append(ctx, Stream, data); err != nil {
		event.AuditWriteFailed.Log(a.Logger, log.Fields{"error": err.Error()})
	}
}

// List returns the attempts that the log service still retains, oldest first.
func (a *Recorder) List(ctx context.Context) ([]adminapi.RefusedAttempt, error) {
	out := []adminapi.RefusedAttempt{}
	var from ident.Offset
	for {
		page, err := a.Client.Read(ctx, Stream, from, pageRecords, 0)
		if err != nil {
			return nil, fmt.Errorf("refused attempts: %w", err)
		}
		for _, rec := range page.Records {
			var attempt adminapi.RefusedAttempt
			if json.Unmarshal(rec.Data, &attempt) == nil {
				out = append(out, attempt)
			}
			from = rec.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.NextOffset {
			return out, nil
		}
	}
}
