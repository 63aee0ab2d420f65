package admit

import "sync"

// Budget limits retries to a share of first tries, so that retries never amplify an overload.
// It is a token bucket: each first try adds a fraction of a token, each retry takes one.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// maxSavedRetries is the capacity of the bucket, in retries.
const maxSavedRetries = 10

// RecordFirstTry counts a first try. percent is the permitted number of retries per 100 first tries.
func (b *Budget) RecordFirstTry(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+float64(percent)/100)
}

// AllowRetry returns whether a retry may be made, and takes it from the budget.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
