package soak_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// What the hosts' logs say about waits.

// counted are texts of the hosts' logs that waits counts.
var counted = []string{
	"lasting-task-waits", "unsettled", "isolated-run", "worker-kept", "capacity", "worker-not-usable", "returned", "delegation", "table-silent",
	"members-awaited", "cell-led", "cell-settled", "cell-predecessor-over", "task-suspected", "worker-silent", "worker-gone", "inventory-read", "inventory-not-read",
	"the inventory does not list it",
}

// settlements is how long cells took to settle.
type settlements struct {
	ledAt   map[string]time.Time // by host, its life and cell
	longest time.Duration
}

// take takes a line of a log.
func (s *settlements) take(line string) {
	m := struct {
		At                      time.Time
		Event, Host, Life, Cell string
	}{}
	if json.Unmarshal([]byte(line), &m) != nil {
		return // not a line of an event
	}
	key := m.Host + m.Life + m.Cell
	switch led := s.ledAt[key]; m.Event {
	case "cell-led":
		s.ledAt[key] = m.At
	case "cell-settled":
		if !led.IsZero() {
			s.longest = max(s.longest, m.At.Sub(led))
		}
		delete(s.ledAt, key)
	}
}

// waits counts lines of the hosts' logs.
func (d *day) waits() string {
	counts, settled := map[string]int{}, settlements{ledAt: map[string]time.Time{}}
	d.mu.Lock()
	hosts := slices.Clone(d.hosts)
	d.mu.Unlock()
	for _, h := range hosts {
		text, err := os.ReadFile(h.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			settled.take(line)
			for _, c := range counted {
				if strings.Contains(line, c) {
					counts[c]++
				}
			}
		}
	}
	var list []string
	for _, c := range counted {
		list = append(list, fmt.Sprintf("%s %d", c, counts[c]))
	}
	return fmt.Sprintf("longest wait of a lasting task %s; longest settlement %s; lines of the hosts' logs: %s", d.checker.longestIdle(), settled.longest, strings.Join(list, ", "))
}
