package days

import (
	"fmt"
	"io"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

func searchCommand(code *int) *cobra.Command {
	set, count, log := "", "", false
	verb := &cobra.Command{
		Use:     "search PLAN FIRST DAYS",
		Short:   "Play the days of many seeds, and print those that break a rule",
		Example: `  emulate search AllTroublesPlan 4000 1000 --count 'settled .* [1-9][0-9]* workers not heard'`,
		Args:    cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := newSearch(args, set, count)
			if err != nil {
				return err
			}
			s.log = log
			s.play(c.OutOrStdout(), c.ErrOrStderr())
			if s.broken > 0 {
				*code = exitRuleBroken
			}
			return nil
		},
	}
	verb.Flags().StringVar(&set, "set", "", "fields of the plan to set, as JSON")
	verb.Flags().StringVar(&count, "count", "", "a pattern: count the lines of the days' logs that match it")
	verb.Flags().BoolVar(&log, "log", false, "print the logs of the days that break a rule")
	return verb
}

// search plays the days of many seeds on all processors.
type search struct {
	name, set       string
	first, dayCount uint64
	pattern         *regexp.Regexp
	log             bool

	lock sync.Mutex
	// played is the number of days played, broken that of days that break a rule. matches is the number of log lines
	// that match pattern, matchingDays the number of days with such lines.
	played, broken, matches, matchingDays int
}

// newSearch returns a search for the arguments PLAN FIRST DAYS, or a BadInput error.
func newSearch(args []string, set, count string) (*search, error) {
	s := &search{name: args[0], set: set}
	for i, into := range []*uint64{&s.first, &s.dayCount} {
		n, err := strconv.ParseUint(args[i+1], 10, 64)
		if err != nil {
			return nil, fault.New(fault.BadInput, args[i+1], "is not a number", "write a whole number")
		}
		*into = n
	}
	if count != "" {
		expr, err := regexp.Compile(count)
		if err != nil {
			return nil, fault.New(fault.BadInput, "--count", "is not a pattern", "").WithCause(err)
		}
		s.pattern = expr
	}
	_, err := planOf(s.name, args[1], set)
	return s, err
}

// play plays the days of all seeds in parallel, and prints the result.
func (s *search) play(out, progress io.Writer) {
	seeds := make(chan uint64)
	var wait sync.WaitGroup
	for range runtime.NumCPU() {
		wait.Go(func() {
			for seed := range seeds {
				s.playDay(out, seed)
			}
		})
	}
	for i := range s.dayCount {
		seeds <- s.first + i
		if i%1000 == 999 {
			_, _ = fmt.Fprintf(progress, "%d of %d days\n", i+1, s.dayCount)
		}
	}
	close(seeds)
	wait.Wait()
	_, _ = fmt.Fprintf(out, "%s %d to %d: %d of %d days break a rule\n", s.name, s.first, s.first+s.dayCount-1, s.broken, s.played)
	if s.pattern != nil {
		_, _ = fmt.Fprintf(out, "%d lines on %d days match %s\n", s.matches, s.matchingDays, s.pattern)
	}
}

func (s *search) playDay(out io.Writer, seed uint64) {
	plan, err := planOf(s.name, strconv.FormatUint(seed, 10), s.set)
	if err != nil {
		return // can't happen: newSearch has checked the name and the fields
	}
	w, broken := emulator.Play(plan)
	matches := 0
	if s.pattern != nil {
		for _, line := range w.Log {
			if s.pattern.MatchString(line) {
				matches++
			}
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.played++
	if s.matches += matches; matches > 0 {
		s.matchingDays++
	}
	if len(broken) > 0 {
		s.broken++
		if s.log {
			printLines(out, w.Log)
		}
		_, _ = fmt.Fprintf(out, "seed %d breaks %d times: %s\n", seed, len(broken), strings.Join(broken[:min(2, len(broken))], "; "))
	}
}
