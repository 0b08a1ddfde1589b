// Package auditor keeps the attempts of operators that were refused, in a stream of the log service.
package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/admin"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

// Stream is the stream of refused attempts.
const Stream logclient.Stream = "attempts"

const (
	appendTime  = 2 * time.Second
	appendRate  = 1
	appendBurst = 20
	pageRecords = 1000
)

// Auditor appends attempts at a bounded rate, so that a flood of them cannot fill the log service. Every attempt is
// an event of the process's log in any case. Set its fields before use.
type Auditor struct {
	Log    *logclient.Client
	Logger log.Interface

	limiter *rate.Limiter
}

// New returns an auditor.
func New(c *logclient.Client, l log.Interface) *Auditor {
	return &Auditor{Log: c, Logger: l, limiter: rate.NewLimiter(appendRate, appendBurst)}
}

// Record keeps one attempt.
func (r *Auditor) Record(ctx context.Context, a admin.Attempt) {
	fields := log.Fields{"action": a.Action, "from": a.From, "name": a.Name, "reason": a.Reason}
	event.AdminRefused.Log(r.Logger, fields)
	if !r.limiter.Allow() {
		return
	}
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTime)
	defer cancel()
	if _, err := r.Log.Append(ctx, Stream, data); err != nil {
		event.AttemptLost.Log(r.Logger, log.Fields{"error": err.Error()})
	}
}

// List returns the attempts that the log service still keeps, oldest first.
func (r *Auditor) List(ctx context.Context) ([]admin.Attempt, error) {
	out := []admin.Attempt{}
	var from ident.Offset
	for {
		page, err := r.Log.Read(ctx, Stream, from, pageRecords, 0)
		if err != nil {
			return nil, fmt.Errorf("refused attempts: %w", err)
		}
		for _, rec := range page.Records {
			var a admin.Attempt
			if json.Unmarshal(rec.Data, &a) == nil {
				out = append(out, a)
			}
			from = rec.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return out, nil
		}
	}
}
