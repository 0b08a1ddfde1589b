package entry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/nutmegdock/nutmegdock/internal/admin"
	"github.com/nutmegdock/nutmegdock/internal/auditor"
	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/publisher"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// adminHandler returns the handler of the admin address: the operators' interface, metrics, health and readiness.
func (s *Server) adminHandler(tokens *authorizer.Authorizer) http.Handler {
	logs := &logclient.Client{URL: s.Settings.Log, HTTP: &http.Client{}}
	store := &weightclient.Client{HTTP: &http.Client{}}
	attempts := auditor.New(logs, s.Logger)
	p := &publisher.Publisher{
		Append: func(ctx context.Context, data []byte) (ident.Offset, error) {
			return logs.Append(ctx, logclient.Config, data)
		},
		FindAudit: s.findChange,
		Changed:   s.follower.Changed,
	}
	a := &admin.Admin{
		Authorizer: tokens,
		Publish:    p.Publish,
		View:       s.follower.View,
		Resolve: func(ctx context.Context, name, version string) (ident.Digest, error) {
			return store.Resolve(ctx, s.Settings.Store, name, version)
		},
		Reports:  s.reports.Reports,
		Refused:  attempts.Record,
		Attempts: attempts.List,
	}
	mux := http.NewServeMux()
	a.Register(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

func (s *Server) findChange(id ident.Change) (audit reducer.Audit, ok bool) {
	s.follower.View(func(r *reducer.Reducer) { audit, ok = r.Find(id) })
	return audit, ok
}
