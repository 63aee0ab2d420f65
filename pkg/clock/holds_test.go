package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What is asked for right after a suspension is not answered from before it.
func TestAReadingServesOnlyWhileNothingSpeaksForASuspension(t *testing.T) {
	t.Parallel()
	must.True(t, holds(5*time.Millisecond, 5*time.Millisecond))
	must.False(t, holds(5*time.Millisecond, 5005*time.Millisecond))
	must.False(t, holds(5*time.Millisecond, -3*time.Second))
	must.False(t, holds(readEvery, readEvery))
	must.False(t, holds(-time.Millisecond, -time.Millisecond))
}
