package entryhost

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/publisher"
	"github.com/nutmegdock/nutmegdock/internal/refusalrecorder"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// adminHandler returns the handler of the admin address: the operators' interface, metrics, health and readiness.
func (s *Server) adminHandler(tokens *authorizer.Authorizer) http.Handler {
	logs := &logclient.Client{URL: s.Settings.LogURL, HTTP: s.heads.Observe((&dialer.Dialer{}).Client())}
	store := &weightclient.Client{HTTP: s.heads.Observe((&dialer.Dialer{}).Client())}
	attempts := refusalrecorder.New(logs, s.Logger)
	p := &publisher.Publisher{
		Append: func(ctx context.Context, data []byte) (ident.Offset, error) {
			return logs.Append(ctx, logclient.ConfigStream, data)
		},
		FindAudit: s.findChange,
		Changed:   s.follower.Changed,
	}
	a := &adminapi.Admin{
		Authorizer: tokens,
		Buffers:    s.buffers,
		Publish:    p.Publish,
		View:       s.follower.View,
		ResolveArtifact: func(ctx context.Context, name, version string) (ident.Digest, error) {
			return store.ResolveArtifact(ctx, s.Settings.StoreURL, name, version)
		},
		Reports:       s.reports.Reports,
		RecordAttempt: attempts.Record,
		ListAttempts:  attempts.List,
	}
	mux := http.NewServeMux()
	a.Register(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

func (s *Server) findChange(id ident.ChangeID) (audit reducer.AuditEntry, ok bool) {
	s.follower.View(func(r *reducer.Reducer) { audit, ok = r.FindChange(id) })
	return audit, ok
}
