package clock_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
)

func TestNowAdvancesWithMonotonicClock(t *testing.T) {
	t.Parallel()
	began, steady := clock.Now(), time.Now()
	time.Sleep(50 * time.Millisecond)
	passed, steadyPassed := clock.Now().Sub(began), time.Since(steady)
	must.Less(t, 20*time.Millisecond, (passed - steadyPassed).Abs())
	must.False(t, clock.Now().Before(began))
}

func TestSleptIsTimeNotCountedByMonotonicClock(t *testing.T) {
	t.Parallel()
	must.Eq(t, 0, clock.SuspendedFor(10*time.Second, 10*time.Second-20*time.Millisecond))
	must.Eq(t, 5*time.Second, clock.SuspendedFor(5250*time.Millisecond, 250*time.Millisecond))
}

// Packages that make decisions must take the time from this package, not from package time.
func TestDecidingPackagesDoNotCallTimeNow(t *testing.T) {
	t.Parallel()
	allowed := map[string]string{
		"pkg/process/fleet/control.go": "wall: time.Now,", // the time of day, for jobs with due times
	}
	other := regexp.MustCompile(`\btime\.(Now|Since|Until)\b`)
	for _, folder := range []string{
		"pkg/process/fleet", "pkg/process/cell", "pkg/process/election", "pkg/process/jobs", "pkg/process/workers", "pkg/process/poisontask",
		"pkg/process/orderwindow", "pkg/process/dutycycle", "pkg/process/relay", "pkg/process/registry", "pkg/request/cellchoice", "pkg/process/runtimes", "pkg/process/interference", "pkg/connection/store", "pkg/request/intake", "pkg/request/acceptance", "platform",
	} {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		must.NoError(t, err)
		must.Positive(t, len(files))
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			must.NoError(t, err)
			for line := range strings.Lines(string(text)) {
				name := filepath.ToSlash(filepath.Join(folder, filepath.Base(file)))
				if other.MatchString(line) && (allowed[name] == "" || !strings.Contains(line, allowed[name])) {
					t.Errorf("%s: %s", name, strings.TrimSpace(line))
				}
			}
		}
	}
}

// BenchmarkNow and BenchmarkSteady compare the cost of clock.Now with that of time.Now.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkSteady(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
