package request

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/nutmegdock/nutmegdock/internal/claimrelayer"
	"github.com/nutmegdock/nutmegdock/internal/claimwriter"
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/measure"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	claimsLatency    = time.Millisecond // between hosts, and to the log service
	claimsAppendTime = 2 * time.Millisecond
	claimsSeed       = 1
	// claimsAppendsBound is the number of appends per second that claims may cause. The log service handles several
	// hundred per second in all.
	claimsAppendsBound = 200
	// claimsControlBytesBound is the control traffic that a daemon may cause, in bytes per second.
	claimsControlBytesBound = 9000
)

// claimsScenario is one size of the system with a rate of bookings with an idempotency key.
type claimsScenario struct {
	zones, hosts int
	claimRate    float64 // per second, over all entry hosts
	seconds      int
	withoutRelay bool // every host writes its own claims to the log
}

// claimsResult holds the counts of one run.
type claimsResult struct {
	appends   float64 // per second
	refused   int
	durations []time.Duration
	bytes     float64 // per second at the busiest host: appended, read and relayed
}

func (r claimsResult) percentile(p float64) float64 {
	if len(r.durations) == 0 {
		return 0
	}
	return r.durations[int(float64(len(r.durations)-1)*p)].Seconds() * 1000
}

type claimsLog struct {
	mu      sync.Mutex
	streams map[logclient.Stream][][]byte
	appends int
}

type claimsHost struct {
	member membership.Member
	relay  *claimrelayer.Relayer
	mu     sync.Mutex
	bytes  int
}

func (h *claimsHost) addBytes(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += n
}

// encodedBytes returns the size of one message of a call as JSON.
func encodedBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (l *claimsLog) append(h *claimsHost) func(context.Context, logclient.Stream, []byte) (ident.Offset, error) {
	return func(_ context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
		time.Sleep(claimsLatency + claimsAppendTime)
		h.addBytes(len(data))
		l.mu.Lock()
		l.appends++
		l.streams[s] = append(l.streams[s], data)
		o := ident.Offset(len(l.streams[s]) - 1)
		l.mu.Unlock()
		time.Sleep(claimsLatency)
		return o, nil
	}
}

func (l *claimsLog) read(h *claimsHost) func(context.Context, logclient.Stream, ident.Offset, int, time.Duration) (logclient.Page, error) {
	return func(_ context.Context, s logclient.Stream, from ident.Offset, limit int, _ time.Duration) (logclient.Page, error) {
		time.Sleep(claimsLatency)
		l.mu.Lock()
		page := logclient.Page{NextOffset: ident.Offset(len(l.streams[s]))}
		for o := from; o < page.NextOffset && len(page.Records) < limit; o++ {
			page.Records = append(page.Records, logclient.Record{Offset: o, Data: l.streams[s][o]})
			h.addBytes(base64.StdEncoding.EncodedLen(len(l.streams[s][o])))
		}
		l.mu.Unlock()
		time.Sleep(claimsLatency)
		return page, nil
	}
}

func (s claimsScenario) build(ctx context.Context, l *claimsLog, wg *sync.WaitGroup) []*claimsHost {
	hosts := make([]*claimsHost, s.hosts)
	byControl := make(map[string]*claimsHost)
	for i := range hosts {
		name := fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250)
		zone := ident.Zone(fmt.Sprintf("zone-%d", i%s.zones))
		hosts[i] = &claimsHost{member: membership.Member{Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: zone, ControlAddress: name}}
		byControl[name] = hosts[i]
	}
	for _, h := range hosts {
		writer := &claimwriter.Writer{Append: l.append(h), Read: l.read(h), Logger: &log.Logger{Handler: discard.Default}}
		writer.WriterCount = func() int { return s.zones }
		if s.withoutRelay {
			writer.WriterCount = func() int { return s.hosts }
		}
		h.relay = &claimrelayer.Relayer{LocalHost: h.member.Host, LocalWriter: writer, ZoneMembers: s.zoneMembers(hosts, h.member.Zone)}
		h.relay.Send = func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimResponse, error) {
			time.Sleep(claimsLatency)
			to := byControl[control]
			a, err := to.relay.HandleQuery(ctx, q)
			time.Sleep(claimsLatency)
			n := encodedBytes(q) + encodedBytes(a)
			h.addBytes(n)
			to.addBytes(n)
			return a, err
		}
		wg.Go(func() { _ = writer.Run(ctx) })
	}
	return hosts
}

func (s claimsScenario) zoneMembers(hosts []*claimsHost, z ident.Zone) func() []membership.Member {
	var out []membership.Member
	for _, h := range hosts {
		if h.member.Zone == z && !s.withoutRelay {
			out = append(out, h.member)
		}
	}
	return func() []membership.Member { return out }
}

// run claims keys at random times on random hosts.
func (s claimsScenario) run(t *testing.T) claimsResult {
	t.Helper()
	var out claimsResult
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(claimsSeed, 0))
		ctx, cancel := context.WithCancel(context.Background())
		var background, claims sync.WaitGroup
		l := &claimsLog{streams: make(map[logclient.Stream][][]byte)}
		hosts := s.build(ctx, l, &background)
		var mu sync.Mutex
		end := time.Now().Add(time.Duration(s.seconds) * time.Second)
		for i := 0; time.Now().Before(end); i++ {
			h := hosts[rng.IntN(len(hosts))]
			c := claimreducer.Claim{
				Key: claimreducer.KeyDigest(fmt.Sprintf("%032x", rng.Uint64())), RequestDigest: fmt.Sprintf("%016x", rng.Uint64()),
				Attempt: ident.RequestID(fmt.Sprintf("00000000-0000-4000-8000-%012d", i)), ControlAddress: h.member.ControlAddress,
			}
			claims.Go(func() {
				claimCtx, cancelClaim := context.WithTimeout(ctx, 3*time.Second)
				defer cancelClaim()
				begin := time.Now()
				_, err := h.relay.Claim(claimCtx, c)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					out.refused++
					return
				}
				out.durations = append(out.durations, time.Since(begin))
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / s.claimRate * float64(time.Second)))
		}
		claims.Wait()
		cancel()
		background.Wait()
		out.appends = float64(l.appends) / float64(s.seconds)
		for _, h := range hosts {
			out.bytes = max(out.bytes, float64(h.bytes)/float64(s.seconds))
		}
	})
	sort.Slice(out.durations, func(i, j int) bool { return out.durations[i] < out.durations[j] })
	return out
}

func (r claimsResult) report(t *testing.T, name string, hasBounds bool) {
	t.Helper()
	limit, none := measure.AtMost, measure.NoBound
	if !hasBounds {
		limit = none
	}
	for _, f := range []measure.Figure{
		{Name: "appends", Value: r.appends, Unit: "1/s", Limit: limit, Bound: claimsAppendsBound},
		{Name: "p50", Value: r.percentile(0.5), Unit: "ms"},
		{Name: "p95", Value: r.percentile(0.95), Unit: "ms"},
		{Name: "refused", Value: float64(r.refused), Unit: "claims", Limit: limit},
		{Name: "bytes", Value: r.bytes, Unit: "B/s", Limit: limit, Bound: claimsControlBytesBound},
	} {
		f.Name = "request.claims." + name + "." + f.Name
		measure.Report(t, f)
	}
}

// TestMeasureRequestClaims measures claims at the present size, 8 entry hosts in 3 availability zones, and at the
// target size, 330 entry hosts in 13 availability zones. At the target a tenth of the 1,800 requests per second are
// bookings with an idempotency key.
func TestMeasureRequestClaims(t *testing.T) {
	for _, rate := range []float64{1, 10, 100} {
		r := claimsScenario{zones: 3, hosts: 8, claimRate: rate, seconds: 60}.run(t)
		r.report(t, fmt.Sprintf("today.%.0f", rate), true)
	}
	for _, rate := range []float64{90, 180, 360} {
		r := claimsScenario{zones: 13, hosts: 330, claimRate: rate, seconds: 10}.run(t)
		r.report(t, fmt.Sprintf("target.%.0f", rate), rate <= 180)
	}
	r := claimsScenario{zones: 13, hosts: 330, claimRate: 180, seconds: 10, withoutRelay: true}.run(t)
	r.report(t, "direct.180", false)
}
