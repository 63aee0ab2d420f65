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

// reloadInterval is the interval at which the settings file is checked for a change without a signal. No
// setting needs to apply sooner than within a few seconds.
const reloadInterval = 3 * time.Second

// SettingsFollower reads the settings file at a signal and at a fixed interval. A changed file is checked as a
// whole: a file with a fault changes no setting. Changed settings that need a new process are logged;
// the others are applied.
type SettingsFollower struct {
	File string
	// Source is the content of the file at the start, and Config the settings in it.
	Source []byte
	Config Config
	// Signals receives the signals that request a reload.
	Signals <-chan os.Signal
	Log     *logrus.Entry
	// Apply is called with the settings after each change.
	Apply func(Config)
}

// String returns the name that the supervisor logs.
func (r *SettingsFollower) String() string { return "settings follower" }

// Serve reads the file until the context ends.
func (r *SettingsFollower) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Signals:
			r.reloadFile("signal")
		case <-ticker.C:
			r.reloadFile("change")
		}
	}
}

func (r *SettingsFollower) reloadFile(cause string) {
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
	r.Source = source // so that a faulty version is logged once
	config, err := ParseConfig(r.File, source)
	if err != nil {
		log.WithField("why", err.Error()).Error("settings-refused")
		return
	}
	if fixed := changedFixedSettings(r.Config, config); len(fixed) > 0 {
		log.WithField("fields", strings.Join(fixed, ", ")).Warn("settings-need-restart")
	}
	r.Config = config.withFixedSettingsOf(r.Config)
	r.Apply(r.Config)
	log.WithFields(logrus.Fields{
		"max_lease": config.MaxLease.String(), "retention": config.Retention.String(), "grace": config.Grace.String(),
		"memory_mb": config.MemoryMB, "log_level": config.LogLevel,
	}).Info("settings-reloaded")
}

// changedFixedSettings returns the names of changed settings that can't change while the process runs: its ports
// are open, and other hosts know it by its name.
func changedFixedSettings(before, after Config) []string {
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
		{"confirmedHandover", before.ConfirmedHandover != after.ConfirmedHandover},
		{"confirmAcceptance", before.ConfirmAcceptance != after.ConfirmAcceptance},
	}
	var list []string
	for _, f := range fields {
		if f.changed {
			list = append(list, f.name)
		}
	}
	return list
}

// withFixedSettingsOf returns the other settings, with those that may change while the process runs taken from c.
func (c Config) withFixedSettingsOf(other Config) Config {
	other.MaxLease, other.Retention, other.Grace = c.MaxLease, c.Retention, c.Grace
	other.MemoryMB, other.LogLevel, other.RefuseLate = c.MemoryMB, c.LogLevel, c.RefuseLate
	return other
}
