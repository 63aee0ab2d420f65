package soak_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// What the hosts' logs say about waits.

// counted are texts of the hosts' logs that waits counts.
var counted = []string{
	"lasting-task-waits", "unsettled", "isolated-run", "worker-kept", "capacity", "worker-not-usable", "returned", "delegation", "table-silent",
	"members-awaited", "cell-led", "cell-settled", "cell-predecessor-over", "task-suspected", "worker-silent", "worker-gone", "inventory-read", "inventory-not-read",
	"the inventory does not list it",
}

// waits counts lines of the hosts' logs.
func (d *day) waits() string {
	counts := map[string]int{}
	d.mu.Lock()
	hosts := slices.Clone(d.hosts)
	d.mu.Unlock()
	for _, h := range hosts {
		text, err := os.ReadFile(h.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
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
	return fmt.Sprintf("longest wait of a lasting task %s; lines of the hosts' logs: %s", d.checker.longestIdle(), strings.Join(list, ", "))
}
