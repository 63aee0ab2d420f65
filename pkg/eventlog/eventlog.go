// Package eventlog writes the process's log: one JSON object a line, to
// standard output, without ever holding up who logs.
//
// Lines go through logrus into a bounded buffer that one goroutine empties. A
// line that finds the buffer full, or the second's budget spent, is dropped and
// counted; the count is a line of its own as soon as there is room.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// bufferLines bounds what waits to be written: about 1 MB.
	bufferLines = 4096
	// linesPerSecond is the budget. A leader on a busy day writes about 200.
	linesPerSecond = 2000
	// flushInterval is how long lines may wait, so that many share one write.
	flushInterval = 200 * time.Millisecond
	// flushBytes is about how much is written at once: a pipe takes so much
	// whole (PIPE_BUF), so that no line is torn.
	flushBytes = 4 << 10
)

// Log is the process's log. It is safe for many goroutines.
type Log struct {
	logger  *logrus.Logger
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	total   atomic.Int64
	budget  atomic.Int64
	writeLock chan struct{}
}

// New returns a log that writes to out once Serve runs.
func New(out io.Writer, level logrus.Level) *Log {
	l := &Log{out: out, lines: make(chan []byte, bufferLines), writeLock: make(chan struct{}, 1)}
	l.budget.Store(linesPerSecond)
	l.logger = &logrus.Logger{
		Out: queue{l}, Level: level, Hooks: logrus.LevelHooks{},
		Formatter: &logrus.JSONFormatter{
			TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
			FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event", logrus.FieldKeyTime: "at"},
		},
	}
	return l
}

// With returns an entry with fields that all its lines carry.
func (l *Log) With(fields logrus.Fields) *logrus.Entry { return l.logger.WithFields(fields) }

// SetLevel sets from which level on lines are written.
func (l *Log) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }

// Dropped is how many lines were dropped so far.
func (l *Log) Dropped() int64 { return l.total.Load() }

// queue is what logrus writes to.
type queue struct{ log *Log }

func (q queue) Write(line []byte) (int, error) {
	if q.log.budget.Add(-1) < 0 {
		q.log.countDropped()
		return len(line), nil
	}
	select {
	case q.log.lines <- append([]byte(nil), line...):
	default:
		q.log.countDropped()
	}
	return len(line), nil
}

func (l *Log) countDropped() {
	l.dropped.Add(1)
	l.total.Add(1)
}

// String names the part for the supervisor.
func (l *Log) String() string { return "log writer" }

// Serve writes lines until the context ends.
func (l *Log) Serve(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	refill := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return ctx.Err()
		case now := <-ticker.C:
			if now.Sub(refill) >= time.Second {
				refill = now
				l.budget.Store(linesPerSecond)
			}
			if n := l.dropped.Swap(0); n > 0 {
				l.logger.WithField("lines", n).Warn("log-lines-dropped")
			}
			l.Flush()
		}
	}
}

// Flush writes what waits.
func (l *Log) Flush() {
	l.writeLock <- struct{}{}
	defer func() { <-l.writeLock }()
	var batch []byte
	for {
		select {
		case line := <-l.lines:
			if len(batch)+len(line) > flushBytes {
				l.write(batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			l.write(batch)
			return
		}
	}
}

// write writes whole lines; a log that can't be written has nobody to be told.
func (l *Log) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = l.out.Write(batch)
	}
}
