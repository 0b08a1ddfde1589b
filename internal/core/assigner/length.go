package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// overlongShare is the part of the tokens that a response already has which it is expected to get in addition, once it is
// longer than estimated: estimates are often wrong by a factor.
const overlongShare = 0.25

// ResponseLoad is the part of a load that is still to be generated, of the requests whose callers estimate their length.
type ResponseLoad struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of these requests, and Tokens the number of tokens that remain. TokensPerSecond is the rate at
	// which they are generated now.
	Requests, Tokens, TokensPerSecond int
}

// Add returns the sum of two loads.
func (r ResponseLoad) Add(other ResponseLoad) ResponseLoad {
	r.Requests += other.Requests
	r.Tokens += other.Tokens
	r.TokensPerSecond += other.TokensPerSecond
	return r
}

// After returns the load as it is expected to be after a time without a change.
func (r ResponseLoad) After(d time.Duration) ResponseLoad {
	r.Tokens = max(0, r.Tokens-int(float64(r.TokensPerSecond)*d.Seconds()))
	return r
}

// responseLoad returns the load of the responses of this host at an endpoint. The caller must hold a.mu.
func (a *Assigner) responseLoad(s *endpointState, now time.Time) ResponseLoad {
	pool := a.pools[s.Pool]
	if s.estimated == 0 || pool == nil || pool.Engine == nil {
		return ResponseLoad{}
	}
	slots := slotCount(pool, s)
	perToken := a.currentSlowdown(s, now) * stepTime(pool.Engine, min(slots, max(1, s.localLoad.Requests+s.othersLoad.Requests))).Seconds()
	if perToken <= 0 {
		return ResponseLoad{}
	}
	var out ResponseLoad
	var tokens, rate float64
	for c := range s.inFlight {
		if c.responseTokens <= 0 {
			continue
		}
		out.Requests++
		if c.firstEventAt.IsZero() {
			tokens += c.responseTokens
			continue
		}
		generated := now.Sub(c.firstEventAt).Seconds() / perToken
		tokens += max(c.responseTokens-generated, overlongShare*generated)
		rate += 1 / perToken
	}
	out.Tokens, out.TokensPerSecond = int(tokens), int(rate)
	return out
}

// meanRemainingTokens returns the mean number of tokens that the requests at an engine still have to generate: the typical
// number of the profile if no caller has estimated it.
func meanRemainingTokens(e *fleetconfig.EngineProfile, load Load) float64 {
	if load.Response.Requests == 0 {
		return e.ResponseTokens
	}
	return float64(load.Response.Tokens) / float64(load.Response.Requests)
}
