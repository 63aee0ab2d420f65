// Package eventlog writes the log of a process as one JSON object per line.
// Logging never blocks the caller.
//
// logrus formats the lines into a bounded buffer, which one goroutine empties.
// A line is dropped and counted if the buffer is full or the budget of lines for
// the current second is used up. The event log-lines-dropped reports the count.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// bufferLines limits the lines that wait to be written, about 1 MB.
	bufferLines = 4096
	// linesPerSecond is the budget of log lines. A busy leader writes about 200.
	linesPerSecond = 2000
	// flushInterval is how long a line may wait, so that many lines share one write.
	flushInterval = 200 * time.Millisecond
	// flushBytes is the target size of one write. A pipe writes this much
	// atomically (PIPE_BUF), so no line is torn.
	flushBytes = 4 << 10
)

// Log is the log of a process. It is safe for concurrent use.
type Log struct {
	logger    *logrus.Logger
	lines     chan []byte
	out       io.Writer
	dropped   atomic.Int64
	total     atomic.Int64
	budget    atomic.Int64
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

// With returns an entry that adds the given fields to each of its lines.
func (l *Log) With(fields logrus.Fields) *logrus.Entry { return l.logger.WithFields(fields) }

// SetLevel sets the lowest severity that is logged.
func (l *Log) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }

// Dropped returns the number of lines dropped since the process started.
func (l *Log) Dropped() int64 { return l.total.Load() }

// queue is the writer that logrus uses; it puts lines into the buffer.
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

// String returns the name of the log writer for the supervisor.
func (l *Log) String() string { return "log writer" }

// Serve writes buffered lines until the context ends.
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

// Flush writes all buffered lines.
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

// write writes whole lines. It ignores errors, since there is no other place to
// report that the log can't be written.
func (l *Log) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = l.out.Write(batch)
	}
}
