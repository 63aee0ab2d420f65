package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The first call of Now after a suspension must not use a reading from before the suspension.
func TestReadingIsInvalidAfterSuspension(t *testing.T) {
	t.Parallel()
	must.True(t, readingIsValid(5*time.Millisecond, 5*time.Millisecond))
	must.False(t, readingIsValid(5*time.Millisecond, 5005*time.Millisecond))
	must.False(t, readingIsValid(5*time.Millisecond, -3*time.Second))
	must.False(t, readingIsValid(maxReadingAge, maxReadingAge))
	must.False(t, readingIsValid(-time.Millisecond, -time.Millisecond))
}
