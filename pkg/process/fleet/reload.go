package fleet

import (
	"bytes"
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadEvery is the pace of looking whether the settings file has changed: it may
// change without a signal, and nothing in it is more urgent than a few seconds.
const reloadEvery = 3 * time.Second

// Reload follows the settings file: at a signal, and every few seconds in any case,
// it is read and checked whole. What is wrong changes nothing; what can only change
// with a new process is said, and the rest is applied.
type Reload struct {
	File string
	// Source is the file as it was read at the start, and Config what stood in it.
	Source []byte
	Config Config
	// Asked is where signals come.
	Asked <-chan os.Signal
	Log   *logrus.Entry
	// Apply is called with each new version of the settings.
	Apply func(Config)
}

// String names the part for the supervisor.
func (r *Reload) String() string { return "settings follower" }

// Serve follows until the context ends.
func (r *Reload) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Asked:
			r.read("signal")
		case <-ticker.C:
			r.read("change")
		}
	}
}

func (r *Reload) read(cause string) {
	log := r.Log.WithFields(logrus.Fields{"file": r.File, "cause": cause})
	source, err := os.ReadFile(r.File)
	if err != nil {
		log.WithField("why", err.Error()).Error("settings-refused")
		return
	}
	if bytes.Equal(source, r.Source) {
		if cause == "signal" {
			log.Info("settings-unchanged")
		}
		return
	}
	r.Source = source // a version that is refused is refused once
	config, err := ParseConfig(r.File, source)
	if err != nil {
		log.WithField("why", err.Error()).Error("settings-refused")
		return
	}
	if fixed := changedFixed(r.Config, config); len(fixed) > 0 {
		log.WithField("fields", strings.Join(fixed, ", ")).Warn("settings-need-restart")
	}
	r.Config = config.withFixedOf(r.Config)
	r.Apply(r.Config)
	log.WithFields(logrus.Fields{
		"max_lease": config.MaxLease.String(), "retention": config.Retention.String(), "grace": config.Grace.String(),
		"memory_mb": config.MemoryMB, "log_level": config.LogLevel,
	}).Info("settings-reloaded")
}

// changedFixed names the settings that differ and can't change while the process
// runs: its ports are open, and others know it by its name.
func changedFixed(before, after Config) []string {
	fields := []struct {
		name    string
		changed bool
	}{
		{"name", before.Name != after.Name},
		{"hall", before.Hall != after.Hall},
		{"halls", !slices.Equal(before.Halls, after.Halls)},
		{"callers", before.Callers != after.Callers},
		{"ready", before.Ready != after.Ready},
		{"control", before.Control != after.Control},
		{"metrics", before.Metrics != after.Metrics},
		{"table", before.Table != after.Table},
		{"advice", before.Advice != after.Advice},
		{"processors", before.Processors != after.Processors},
	}
	var list []string
	for _, f := range fields {
		if f.changed {
			list = append(list, f.name)
		}
	}
	return list
}

// withFixedOf returns the settings with what can't change taken from others.
func (c Config) withFixedOf(other Config) Config {
	other.MaxLease, other.Retention, other.Grace = c.MaxLease, c.Retention, c.Grace
	other.MemoryMB, other.LogLevel = c.MemoryMB, c.LogLevel
	return other
}
