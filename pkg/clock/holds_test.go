package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The first call of Now after a suspension must not use a reading from before the suspension.
func TestAReadingServesOnlyWhileNothingSpeaksForASuspension(t *testing.T) {
	t.Parallel()
	must.True(t, holds(5*time.Millisecond, 5*time.Millisecond))
	must.False(t, holds(5*time.Millisecond, 5005*time.Millisecond))
	must.False(t, holds(5*time.Millisecond, -3*time.Second))
	must.False(t, holds(readEvery, readEvery))
	must.False(t, holds(-time.Millisecond, -time.Millisecond))
}
