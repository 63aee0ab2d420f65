package admit

import "sync"

// Budget bounds second tries to a share of first tries, so that retries never
// feed an overload. It is a bucket that each first try fills a little, and each
// retry empties by one.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// maxSavedRetries is how many retries may be saved up.
const maxSavedRetries = 10

// RecordFirstTry notes a first try; percent is the share that retries may have.
func (b *Budget) RecordFirstTry(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+float64(percent)/100)
}

// AllowRetry says whether one more try may be made.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
