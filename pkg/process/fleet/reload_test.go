package fleet_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/process/fleet"
)

const settingsFile = `{
  "name": "entry-1", "hall": "a", "halls": ["a", "b"],
  "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "127.0.0.1:3", "metrics": "127.0.0.1:4",
  "table": "127.0.0.1:5", "grace": "6s",
}`

// logBuffer is a log output that a test may read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *logBuffer) contains(words ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range words {
		if !strings.Contains(b.out.String(), w) {
			return false
		}
	}
	return true
}

// A settings file with a fault must change no setting. A valid one must change only the settings that
// may change while the process runs, after a signal and also without one.
func TestSettingsAreTakenInWholeOrNotAtAll(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(source string) { must.NoError(t, os.WriteFile(file, []byte(source), 0o600)) }
	write(settingsFile)
	config, err := fleet.ParseConfig(file, []byte(settingsFile))
	must.NoError(t, err)
	log := &logBuffer{}
	logger := logrus.New()
	logger.SetOutput(log)
	asked := make(chan os.Signal, 1)
	applied := make(chan fleet.Config, 10)
	r := &fleet.SettingsFollower{
		File: file, Source: []byte(settingsFile), Config: config, Signals: asked, Log: logrus.NewEntry(logger),
		Apply: func(c fleet.Config) { applied <- c },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.Serve(ctx) }()
	waitForLog := func(words ...string) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return log.contains(words...) }), wait.Timeout(30*time.Second)), must.Sprint(words))
	}

	asked <- syscall.SIGHUP
	waitForLog("settings-unchanged")

	write(strings.Replace(settingsFile, `"6s"`, `"quite long"`, 1))
	asked <- syscall.SIGHUP
	waitForLog("settings-refused", "grace")
	must.Eq(t, 0, len(applied))

	write(strings.Replace(strings.Replace(settingsFile, `"6s"`, `"9s"`, 1), `"127.0.0.1:5"`, `"127.0.0.1:6"`, 1))
	asked <- syscall.SIGHUP
	c := <-applied
	must.Eq(t, 9*time.Second, c.Grace)
	must.Eq(t, "127.0.0.1:5", c.Table, must.Sprint("its connections are open"))
	waitForLog("settings-need-restart", "table")

	write(strings.Replace(settingsFile, `"6s"`, `"7s", "refuseLate": "log"`, 1)) // found by the interval, without a signal
	c = <-applied
	must.Eq(t, 7*time.Second, c.Grace)
	must.Eq(t, "log", c.RefuseLate)
}
