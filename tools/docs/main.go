// Command docs generates the pages that consist of output of the programs: settings,
// commands and events. Without -write it reports pages that are not up to date and
// exits with 1 if there are any.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
)

// page is a generated page and the commands whose output it contains.
type page struct {
	path     string
	title    string
	intro    string
	commands [][]string
}

var pages = []page{
	{
		path: "docs/SETTINGS.md", title: "Settings",
		intro: "The tree that operators edit, as the programs know it. Values are inherited from\nthe root by teams, services and kinds, in that order.",
		commands: [][]string{
			{"bin/wrenferry", "settings", "keys"},
			{"bin/wrenferry", "settings", "check", "examples/try.jsonc"},
			{"bin/wrenferry", "settings", "check", "examples/montreal.jsonc"},
			{"bin/wrenferry", "settings", "check", "examples/istanbul.jsonc"},
			{"bin/wrenferry", "settings", "check", "docs/bad-example.jsonc"},
		},
	},
	{
		path: "docs/COMMANDS.md", title: "Commands",
		intro: "What the two programs say of themselves.",
		commands: [][]string{
			{"bin/wrenferryd", "--help"},
			{"bin/wrenferry", "--help"},
			{"bin/wrenferry", "settings", "edit", "--help"},
			{"bin/wrenferry", "service", "drain", "quotes", "--dry-run"},
			{"bin/wrenferry", "explain", "--help"},
			{"bin/wrenferryd", "fleet", "--help"},
			{"bin/wrenferryd", "fleet", "try", "--help"},
			{"bin/wrenferry", "logs", "--help"},
			{"bin/wrenferry", "delays", "--help"},
			{"bin/wrenferry", "fleet", "status", "--help"},
			{"bin/wrenferry", "lab", "run", "--help"},
			{"bin/wrenferry", "lab", "compare", "--help"},
			{"bin/wrenferry", "lab", "ablate", "--help"},
			{"bin/wrenferry", "lab", "mechanisms"},
		},
	},
	{
		path: "docs/EVENTS.md", title: "Events",
		intro:    "What the scheduler of a cell logs: one JSON object a line, on standard output.\nFields: at, event, host, life, cell, and where they fit job, task, run, worker, detail,\nage_ms (how old the information was, or how long ago the job came). Callers' calls log\njob-accepted, job-accepted-again, job-refused, job-refusal-logged, job-accept-retried, job-cancel, job-cancel-late,\njob-cancel-without-job, job-cancel-failed, pending-from-table, pending-changed\nand call-refused, with why, status and ms; processes table-away, table-back, host-started, host-stopping, host-stopped, host-woke, manifest-in-force,\nmanifest-not-read, evacuation-ordered, evacuation-withdrawn, evacuation-ignored, lead-write-failed, cell-load-failed, cell-handed-over,\nhandover-offered, handover-unanswered, claim-deferred, tombstones-removed, tombstones-not-removed, relay-changed, relay-avoided,\nregistry-reader-avoided, inventory-read (pages, hosts, workers, ms), inventory-not-read, control-time (in age_ms: batches, messages, the largest batch, applying_ms, deciding_ms, the longest most_ms, messages waiting),\nsettings-reloaded, settings-refused, settings-unchanged, settings-need-restart and\nlog-lines-dropped.",
		commands: [][]string{{"bin/wrenferry", "events"}},
	},
}

func main() {
	write := flag.Bool("write", false, "write the pages")
	flag.Parse()
	stale := false
	for _, p := range pages {
		text := p.render()
		if *write {
			if err := os.WriteFile(p.path, text, 0o644); err != nil {
				fmt.Fprintln(os.Stderr, "docs:", err)
				os.Exit(1)
			}
			continue
		}
		held, err := os.ReadFile(p.path)
		if err != nil || !bytes.Equal(held, text) {
			fmt.Fprintf(os.Stderr, "docs: %s is not current; run make docs\n", p.path)
			stale = true
		}
	}
	if stale {
		os.Exit(1)
	}
}

// render runs the commands of the page and returns its text.
func (p page) render() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n<!-- Made by \"make docs\" from the commands shown. -->\n\n%s\n", p.title, p.intro)
	for _, c := range p.commands {
		command := exec.Command(c[0], c[1:]...)
		command.Env = append(os.Environ(), "USER=operator", "WRENFERRY_ADDRESS=")
		output, err := command.CombinedOutput()
		fmt.Fprintf(&b, "\n```console\n$ %s", c[0][len("bin/"):])
		for _, word := range c[1:] {
			fmt.Fprintf(&b, " %s", word)
		}
		fmt.Fprintf(&b, "\n%s", output)
		if err != nil {
			fmt.Fprintf(&b, "(%s)\n", err)
		}
		fmt.Fprint(&b, "```\n")
	}
	return b.Bytes()
}
