// Package retrybudget bounds retries to a share of the live requests, so that faults cannot multiply the load.
package retrybudget

import "sync"

const (
	defaultRatio = 0.1
	defaultBurst = 10
	// Start is the number of retries that may be made before any live request has filled the bucket.
	Start = 4
)

// Budget is a token bucket that live requests fill and retries empty. Set its fields before use.
type Budget struct {
	// Ratio is the number of tokens that one live request adds; zero means a tenth.
	Ratio float64
	// Burst is the most tokens that are kept; zero means ten.
	Burst float64

	mu     sync.Mutex
	tokens float64
	// begun tells that the bucket holds what it starts with.
	begun bool
}

// Earn counts one live request, which is the first attempt of a caller's request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	ratio, burst := b.Ratio, b.Burst
	if ratio == 0 {
		ratio = defaultRatio
	}
	if burst == 0 {
		burst = defaultBurst
	}
	b.tokens = min(burst, b.tokens+ratio)
}

func (b *Budget) begin() {
	if !b.begun {
		b.begun = true
		b.tokens = Start
	}
}

// SetBurst changes the most tokens that are kept, as the share of one host changes with the number of hosts.
func (b *Budget) SetBurst(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = n
	b.tokens = min(n, b.tokens)
}

// Spend takes one token for a retry. It returns false if there is none, and then the retry must not be made.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	// Sums of a tenth fall short of one by rounding.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}
