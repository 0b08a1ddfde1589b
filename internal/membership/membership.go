// Package membership reads the platform's list of hosts, which lags behind the hosts' actual state.
package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/listsplitter"
)

const (
	// viewTTL is how long a result of Members is cached while no host's state changes.
	viewTTL      = time.Second
	pollInterval = 500 * time.Millisecond
	maxListBytes = 4 << 20
)

// Role is the kind of a host, and with it the program that it runs.
type Role string

// Roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Member is one host of the list.
type Member struct {
	Host           ident.Host   `json:"host"`
	Role           Role         `json:"role"`
	Zone           ident.Zone   `json:"zone"`
	Region         ident.Region `json:"region"`
	Pool           ident.Pool   `json:"pool,omitempty"`
	DataAddress    string       `json:"data"`
	ControlAddress string       `json:"control"`
	Leaving        bool         `json:"leaving,omitempty"`
	StartTime      int64        `json:"birth"`
}

// List polls the membership service and holds the hosts that it listed. Set its fields before Run.
type List struct {
	// URL is the base address of the membership service.
	URL string
	// HTTP sends the requests.
	HTTP *http.Client
	// Self is the local host, which every poll announces to the service.
	Self Member
	// Logger receives the events.
	Logger log.Interface

	mu      sync.Mutex
	members map[ident.Host]Member
	roster  roster.Roster
	leaving bool
	// listVersion is the entity tag of the last list, and listed are the hosts that it contained.
	listVersion string
	listed      []roster.Observation
	// views caches the results of Members until a host's state changes or viewTTL has passed.
	views map[Role]cachedMembers
}

type cachedMembers struct {
	members []Member
	madeAt  time.Time
}

// Run polls until ctx ends.
func (l *List) Run(ctx context.Context) error {
	for {
		if err := l.poll(ctx); err != nil && ctx.Err() == nil {
			event.MembershipUnreadable.Log(l.Logger, log.Fields{"error": err.Error()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

func (l *List) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 4*pollInterval)
	defer cancel()
	self := l.Self
	l.mu.Lock()
	self.Leaving = l.leaving
	version := l.listVersion
	l.mu.Unlock()
	body, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode membership announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/hosts", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create membership request: %w", err)
	}
	if version != "" {
		req.Header.Set("If-None-Match", version)
	}
	resp, err := l.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("poll membership list: %w", err)
	}
	defer resp.Body.Close()
	return l.handleResponse(resp)
}

// handleResponse merges the list of a response. For a response with status 304 (not modified), it applies the last
// list again.
func (l *List) handleResponse(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotModified:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.roster.ApplyList(time.Now(), l.listed)
		return nil
	case http.StatusOK:
	default:
		return fmt.Errorf("poll membership list: service responded with status %d", resp.StatusCode)
	}
	data, err := bodyreader.ReadAll(resp.Body, maxListBytes)
	if err != nil {
		return fmt.Errorf("read membership list: %w", err)
	}
	elements, err := listsplitter.Split(data)
	if err != nil {
		return fmt.Errorf("decode membership list: %w", err)
	}
	l.merge(l.decodeMembers(elements))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listVersion = resp.Header.Get("ETag")
	return nil
}

// decodeMembers returns the members of a list without entries that cannot be decoded or name no host.
func (l *List) decodeMembers(elements []json.RawMessage) []Member {
	list := make([]Member, 0, len(elements))
	for i, element := range elements {
		var m Member
		err := json.Unmarshal(element, &m)
		if err == nil && m.Host == "" {
			err = errors.New("no host")
		}
		if err != nil {
			event.MemberInvalid.Log(l.Logger, log.Fields{"error": err.Error(), "position": i, "bytes": len(element)})
			continue
		}
		list = append(list, m)
	}
	return list
}

// merge adds a list to the known members, and drops the hosts that are gone according to the roster.
func (l *List) merge(list []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	listed := make([]roster.Observation, len(list))
	for i, m := range list {
		listed[i] = roster.Observation{Host: m.Host, Zone: m.Zone, StartTime: m.StartTime, Leaving: m.Leaving}
	}
	l.roster.ApplyList(now, listed)
	l.listed = listed
	known := make(map[ident.Host]Member)
	for _, h := range l.roster.Hosts(now) {
		if m, ok := l.members[h.Host]; ok {
			known[h.Host] = m
		}
	}
	for _, m := range list {
		if old, ok := known[m.Host]; (!ok || m.StartTime >= old.StartTime) && l.roster.State(now, m.Host) != roster.Gone {
			known[m.Host] = m
		}
	}
	l.members = known
	l.views = nil
}

// Observe records a message that came directly from a host. It reports whether the message is from the host's latest
// known incarnation.
func (l *List) Observe(s roster.Observation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.roster.State(time.Now(), s.Host)
	ok := l.roster.Observe(time.Now(), s)
	if before != l.roster.State(time.Now(), s.Host) {
		l.views = nil
	}
	return ok
}

// RecordRefusal records why a host did not run a request.
func (l *List) RecordRefusal(h ident.Host, r outcome.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.views = nil
	switch r {
	case outcome.HostLeaving:
		l.roster.MarkLeaving(h)
	case outcome.Unreachable:
		l.roster.MarkUnreachable(time.Now(), h)
	}
}

// HostState returns the state of a host.
func (l *List) HostState(h ident.Host) roster.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.State(time.Now(), h)
}

// AnnounceLeaving announces immediately that the local host is leaving, and with every later poll.
func (l *List) AnnounceLeaving(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.poll(ctx)
}

// Members returns the hosts of one role that are not gone, sorted by name. Callers must not change the slice.
func (l *List) Members(role Role) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if v, ok := l.views[role]; ok && now.Sub(v.madeAt) < viewTTL {
		return v.members
	}
	if l.views == nil {
		l.views = make(map[Role]cachedMembers)
	}
	v := cachedMembers{members: l.membersOf(now, role), madeAt: now}
	l.views[role] = v
	return v.members
}

func (l *List) membersOf(now time.Time, role Role) []Member {
	var out []Member
	for h, m := range l.members {
		st := l.roster.State(now, h)
		if m.Role != role || st == roster.Gone {
			continue
		}
		m.Leaving = m.Leaving || st == roster.Leaving
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
