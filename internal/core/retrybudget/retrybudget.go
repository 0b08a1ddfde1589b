// Package retrybudget limits retries to a share of the live requests, so that failures cannot multiply the load.
package retrybudget

import "sync"

const (
	defaultTokensPerRequest = 0.1
	defaultBurst            = 10
	// InitialTokens is the number of tokens in a new bucket: the retries that are allowed before any live request.
	InitialTokens = 4
	// roundingError covers that ten additions of a tenth can be slightly less than one.
	roundingError = 1e-9
)

// Budget is a token bucket that live requests fill and retries drain. Set its fields before use.
type Budget struct {
	// TokensPerRequest is the number of tokens that one live request adds; zero means a tenth.
	TokensPerRequest float64
	// Burst is the maximum number of tokens in the bucket; zero means ten.
	Burst float64

	mu     sync.Mutex
	tokens float64
	// initialized says that the initial tokens have been added.
	initialized bool
}

// AddRequest adds the tokens for one live request, which is the first attempt of a caller's request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	tokensPerRequest, burst := b.TokensPerRequest, b.Burst
	if tokensPerRequest == 0 {
		tokensPerRequest = defaultTokensPerRequest
	}
	if burst == 0 {
		burst = defaultBurst
	}
	b.tokens = min(burst, b.tokens+tokensPerRequest)
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.tokens = InitialTokens
	}
}

// SetBurst sets the maximum number of tokens. It is called when the number of hosts changes, and with it the share of
// this host.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.tokens = min(burst, b.tokens)
}

// Retries returns the number of retries that may be made now.
func (b *Budget) Retries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	return int(b.tokens + roundingError)
}

// SpendRetry consumes one token for a retry. It returns false if there is none; the retry must not be made then.
func (b *Budget) SpendRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < 1-roundingError {
		return false
	}
	b.tokens--
	return true
}
