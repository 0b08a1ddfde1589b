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
	claimsLatency    = time.Millisecond // one way, between two hosts or between a host and the log service
	claimsAppendTime = 2 * time.Millisecond
	claimsSeed       = 1
	// claimsAppendsBound is the number of appends per second that claims may cause. The log service handles several
	// hundred per second in all.
	claimsAppendsBound = 200
	// claimsControlBytesBound is the control traffic that a daemon may cause, in bytes per second.
	claimsControlBytesBound = 9000
)

// claimsScenario describes one run: the size of the system and the rate of bookings with an idempotency key.
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

// quantileMs returns the p-quantile of the durations of the successful claims in milliseconds.
func (r claimsResult) quantileMs(p float64) float64 {
	if len(r.durations) == 0 {
		return 0
	}
	return r.durations[int(float64(len(r.durations)-1)*p)].Seconds() * 1000
}

// claimsLog simulates the log service.
type claimsLog struct {
	mu      sync.Mutex
	streams map[logclient.Stream][][]byte
	appends int
}

// claimsHost is an entry host that claims idempotency keys.
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

// jsonSize returns the number of bytes of a value encoded as JSON.
func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// appendFunc returns the function with which a host appends to the log.
func (l *claimsLog) appendFunc(h *claimsHost) func(context.Context, logclient.Stream, []byte) (ident.Offset, error) {
	return func(_ context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
		time.Sleep(claimsLatency + claimsAppendTime)
		h.addBytes(len(data))
		l.mu.Lock()
		l.appends++
		l.streams[s] = append(l.streams[s], data)
		offset := ident.Offset(len(l.streams[s]) - 1)
		l.mu.Unlock()
		time.Sleep(claimsLatency)
		return offset, nil
	}
}

// readFunc returns the function with which a host reads from the log.
func (l *claimsLog) readFunc(h *claimsHost) func(context.Context, logclient.Stream, ident.Offset, int, time.Duration) (logclient.Page, error) {
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

// startHosts starts the claim writers of all hosts. They run until ctx is done.
func (s claimsScenario) startHosts(ctx context.Context, logService *claimsLog, wg *sync.WaitGroup) []*claimsHost {
	hosts := make([]*claimsHost, s.hosts)
	byControlAddress := make(map[string]*claimsHost)
	for i := range hosts {
		controlAddress := fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250)
		zone := ident.Zone(fmt.Sprintf("zone-%d", i%s.zones))
		hosts[i] = &claimsHost{member: membership.Member{Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: zone, ControlAddress: controlAddress}}
		byControlAddress[controlAddress] = hosts[i]
	}
	for _, h := range hosts {
		writer := &claimwriter.Writer{Append: logService.appendFunc(h), Read: logService.readFunc(h), Logger: &log.Logger{Handler: discard.Default}}
		writer.WriterCount = func() int { return s.zones }
		if s.withoutRelay {
			writer.WriterCount = func() int { return s.hosts }
		}
		h.relay = &claimrelayer.Relayer{LocalHost: h.member.Host, LocalWriter: writer, ZoneMembers: s.zoneMembersFunc(hosts, h.member.Zone)}
		h.relay.Send = func(ctx context.Context, address string, query messages.ClaimQuery) (messages.ClaimResponse, error) {
			time.Sleep(claimsLatency)
			target := byControlAddress[address]
			response, err := target.relay.HandleQuery(ctx, query)
			time.Sleep(claimsLatency)
			n := jsonSize(query) + jsonSize(response)
			h.addBytes(n)
			target.addBytes(n)
			return response, err
		}
		wg.Go(func() { _ = writer.Run(ctx) })
	}
	return hosts
}

// zoneMembersFunc returns a function that returns the entry hosts of a zone, or none if claims are not relayed.
func (s claimsScenario) zoneMembersFunc(hosts []*claimsHost, zone ident.Zone) func() []membership.Member {
	var out []membership.Member
	for _, h := range hosts {
		if h.member.Zone == zone && !s.withoutRelay {
			out = append(out, h.member)
		}
	}
	return func() []membership.Member { return out }
}

// run claims keys at random times on random hosts and returns the counts.
func (s claimsScenario) run(t *testing.T) claimsResult {
	t.Helper()
	var out claimsResult
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(claimsSeed, 0))
		ctx, cancel := context.WithCancel(context.Background())
		var background, claims sync.WaitGroup
		logService := &claimsLog{streams: make(map[logclient.Stream][][]byte)}
		hosts := s.startHosts(ctx, logService, &background)
		var mu sync.Mutex
		end := time.Now().Add(time.Duration(s.seconds) * time.Second)
		for i := 0; time.Now().Before(end); i++ {
			h := hosts[rng.IntN(len(hosts))]
			claim := claimreducer.Claim{
				Key: claimreducer.KeyDigest(fmt.Sprintf("%032x", rng.Uint64())), RequestDigest: fmt.Sprintf("%016x", rng.Uint64()),
				Attempt: ident.RequestID(fmt.Sprintf("00000000-0000-4000-8000-%012d", i)), ControlAddress: h.member.ControlAddress,
			}
			claims.Go(func() {
				claimCtx, cancelClaim := context.WithTimeout(ctx, 3*time.Second)
				defer cancelClaim()
				begin := time.Now()
				_, err := h.relay.Claim(claimCtx, claim)
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
		out.appends = float64(logService.appends) / float64(s.seconds)
		for _, h := range hosts {
			out.bytes = max(out.bytes, float64(h.bytes)/float64(s.seconds))
		}
	})
	sort.Slice(out.durations, func(i, j int) bool { return out.durations[i] < out.durations[j] })
	return out
}

func (r claimsResult) report(t *testing.T, name string, hasBounds bool) {
	t.Helper()
	boundKind, noBound := measure.AtMost, measure.NoBound
	if !hasBounds {
		boundKind = noBound
	}
	for _, f := range []measure.Figure{
		{Name: "appends", Value: r.appends, Unit: "1/s", BoundKind: boundKind, Bound: claimsAppendsBound},
		{Name: "p50", Value: r.quantileMs(0.5), Unit: "ms"},
		{Name: "p95", Value: r.quantileMs(0.95), Unit: "ms"},
		{Name: "refused", Value: float64(r.refused), Unit: "claims", BoundKind: boundKind},
		{Name: "bytes", Value: r.bytes, Unit: "B/s", BoundKind: boundKind, Bound: claimsControlBytesBound},
	} {
		f.Name = "request.claims." + name + "." + f.Name
		measure.Report(t, f)
	}
}

// TestMeasureRequestClaims measures claims at the present size, 8 entry hosts in 3 availability zones, and at the
// target size, 330 entry hosts in 13 availability zones. At the target size, a tenth of the 1,800 requests per second
// are bookings with an idempotency key.
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
