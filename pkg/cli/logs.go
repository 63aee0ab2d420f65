package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// The verb logs shows the history of one job from the collected logs of many hosts. It
// selects the lines that concern the job, sorts them by time and prints a table. It needs
// no running process.

var logsVerb = verb{
	path: "logs", args: "JOB FILE...", min: 2, max: 1000,
	short:   "Tell the story of one job from collected logs, with no process running",
	long:    "logs reads JSON lines of many hosts (- is standard input), takes those about the\njob, those about its cell and those about the workers of its runs, and orders them by\ntime. Lines that a host had to drop are shown where they are missing.",
	example: "  wrenferry logs 5c0e7a21d94b36f8 host-1.log host-2.log\n  cat *.log | wrenferry logs 5c0e7a21d94b36f8 -",
	run:     runLogs,
}

// logLine is one line of the log of a host.
type logLine struct {
	At     time.Time `json:"at"`
	Event  string    `json:"event"`
	Host   string    `json:"host"`
	Life   string    `json:"life"`
	Cell   string    `json:"cell,omitempty"`
	Job    string    `json:"job,omitempty"`
	Queue  string    `json:"queue,omitempty"`
	Task   string    `json:"task,omitempty"`
	Worker string    `json:"worker,omitempty"`
	Run    int64     `json:"run,omitempty"`
	AgeMs  *int64    `json:"age_ms,omitempty"`
	Ms     *int64    `json:"ms,omitempty"`
	Detail string    `json:"detail,omitempty"`
	Why    string    `json:"why,omitempty"`
	Path   string    `json:"path,omitempty"`
	Status int       `json:"status,omitempty"`
	Lines  int64     `json:"lines,omitempty"`
	// Reason is why a lasting task waits. FitsHere and FitsElsewhere count how often the
	// task fits into this cell and into other cells.
	Reason        string `json:"reason,omitempty"`
	FitsHere      int64  `json:"fits_here,omitempty"`
	FitsElsewhere int64  `json:"fits_elsewhere,omitempty"`
	// LeftMs is how much longer the task may wait for Worker, and KeptFor the task for which that worker is kept.
	LeftMs  int64  `json:"left_ms,omitempty"`
	KeptFor string `json:"kept_for,omitempty"`
}

// cellEventPrefix is the prefix of events about a cell as a whole. They concern each of
// its jobs.
const cellEventPrefix = "cell-"

// droppedEvent is the event of a host that had to drop log lines.
const droppedEvent = "log-lines-dropped"

func runLogs(_ context.Context, s *session) error {
	var all []logLine
	for _, file := range s.args[1:] {
		lines, err := s.readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := linesAboutJob(s.args[0], all)
	if len(story) == 0 {
		return fault.New(fault.NotFound, s.args[0], "no line of these logs is about the job", "collect the logs of all hosts, from before it was sent")
	}
	return show(s, story, "TIME HOST EVENT RUN WORKER WHAT", jobLogLines)
}

// readLog returns the JSON lines of one file, or of standard input for "-". It skips text
// before the JSON object of a line, such as the prefix of a log collector.
func (s *session) readLog(path string) ([]logLine, error) {
	in := s.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, fault.New(fault.BadInput, path, "can't be read", "check the path").WithCause(err)
		}
		defer file.Close()
		in = file
	}
	var list []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		line := logLine{}
		if json.Unmarshal([]byte(text[begin:]), &line) == nil && line.Event != "" {
			list = append(list, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.BadInput, path, "can't be read whole", "is it a log?").WithCause(err)
	}
	return list, nil
}

// linesAboutJob returns the lines that concern a job, sorted by time: its own lines, and
// between the first and the last of these the lines about its cells, about the workers of
// its runs and about dropped lines.
func linesAboutJob(job string, all []logLine) []logLine {
	cells, workers := map[string]bool{}, map[string]bool{}
	var own, story []logLine
	for _, l := range all {
		if l.Job == job || strings.HasPrefix(l.Task, job+".") || strings.HasSuffix(l.Path, "/"+job) {
			own = append(own, l)
			cells[l.Cell] = l.Cell != ""
			workers[l.Worker] = l.Worker != ""
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(list []logLine) {
		sort.SliceStable(list, func(a, b int) bool { return list[a].At.Before(list[b].At) })
	}
	byTime(own)
	first, last := own[0].At, own[len(own)-1].At
	for _, l := range all {
		about := l.Job == "" && l.Task == "" && l.Path == "" &&
			((strings.HasPrefix(l.Event, cellEventPrefix) && cells[l.Cell]) || workers[l.Worker] || l.Event == droppedEvent)
		if about && !l.At.Before(first) && !l.At.After(last) {
			story = append(story, l)
		}
	}
	story = append(story, own...)
	byTime(story)
	return story
}

func jobLogLines(story []logLine) [][]any {
	lines := make([][]any, 0, len(story))
	for _, l := range story {
		run := "-"
		if l.Run != 0 {
			run = fmt.Sprintf("%s#%d", shortTask(l), l.Run)
		}
		lines = append(lines, []any{l.At.UTC().Format("15:04:05.000"), l.Host, l.Event, run, orDash(l.Worker), l.text()})
	}
	return lines
}

// shortTask returns the name of a task without the job.
func shortTask(l logLine) string {
	_, rest, _ := strings.Cut(l.Task, ".")
	return rest
}

// text returns the facts of a line as one cell of the table.
func (l logLine) text() string {
	var words []string
	add := func(say bool, format string, args ...any) {
		if say {
			words = append(words, fmt.Sprintf(format, args...))
		}
	}
	add(l.Detail != "", "%s", l.Detail)
	add(l.Why != "", "%s", l.Why)
	add(l.Reason != "", "%s; fits %d times here, %d elsewhere", l.Reason, l.FitsHere, l.FitsElsewhere)
	add(l.LeftMs != 0, "for %d ms more", l.LeftMs)
	add(l.KeptFor != "", "kept for %s", l.KeptFor)
	add(l.Status != 0, "status %d", l.Status)
	add(l.Lines != 0, "%d lines are missing here", l.Lines)
	if l.AgeMs != nil {
		add(true, "(%d ms)", *l.AgeMs)
	}
	if l.Ms != nil {
		add(true, "(took %d ms)", *l.Ms)
	}
	return orDash(strings.Join(words, " "))
}
