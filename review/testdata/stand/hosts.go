package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: one process of target/wrenferryd, started as deploy/system.toml says.
type host struct {
	name, zone, frontend, ready, ip string
	ports                           [2]int
	file                            string
	table                           string
	log                             *os.File
	rec                             *record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

var zones = []string{"mtl-a", "mtl-b", "lvl-c"}

// freePorts returns free ports, all different. They lie below those that the kernel gives to outgoing connections, so that
// a host finds its own still free when it is started again.
func freePorts(n int) []int {
	var list []int
	for port := 20000 + os.Getpid()%110*100; len(list) < n && port < 32000; port++ {
		if taken[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		taken[port] = true
		list = append(list, port)
	}
	if len(list) < n {
		cantRun("no free ports")
	}
	return list
}

var taken = map[int]bool{}

// newHost fills deploy/settings.jsonc.template with the fields of DEPLOY.md, with the bounds of sites/bcb-quotes.toml.
func newHost(dir string, n int, zone, table, advice string, rec *record) *host {
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: "127.0.0.1", table: table, rec: rec}
	ports := freePorts(4)
	h.frontend = fmt.Sprintf("127.0.0.1:%d", ports[0])
	h.ready = fmt.Sprintf("127.0.0.1:%d", ports[1])
	h.ports = [2]int{ports[2], ports[3]}
	h.file = filepath.Join(dir, h.name+".jsonc")
	text, err := os.ReadFile("deploy/settings.jsonc.template")
	if err != nil {
		cantRun("%v", err)
	}
	var list []string
	for _, z := range zones {
		list = append(list, `"`+z+`"`)
	}
	filled := regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(string(text), strings.Join(list, ", "))
	for gap, value := range map[string]string{
		"node-name": h.name, "zone": zone, "bind-addresses.frontend": h.frontend, "bind-addresses.ready": h.ready, "ip": h.ip,
		"port-range.0": fmt.Sprint(h.ports[0]), "port-range.1": fmt.Sprint(h.ports[1]), "platform.address": table, "advice": advice,
		"bounds.hold-max-ms": "10000", "bounds.status_s": "120", "bounds.grace-s": "6", "limits.memory-mb": "284", "limits.cpu-share": "0.4",
	} {
		filled = strings.ReplaceAll(filled, "{{"+gap+"}}", value)
	}
	if i := strings.Index(filled, "{{"); i >= 0 {
		cantRun("a gap of the template is not filled: %.40s", filled[i:])
	}
	if err := os.WriteFile(h.file, []byte(filled), 0o600); err != nil {
		cantRun("%v", err)
	}
	if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
		cantRun("%v", err)
	}
	return h
}

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	c := exec.Command("target/wrenferryd", "fleet", "--config", h.file)
	c.Stdout, c.Stderr = h.log, h.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err := c.Start(); err != nil {
		cantRun("%v", err)
	}
	h.process, h.ended = c, make(chan struct{})
	h.rec.add("%s starts", h.name)
	go func(ended chan struct{}) {
		err := c.Wait()
		h.mu.Lock()
		if h.process == c {
			h.process = nil
		}
		h.mu.Unlock()
		h.rec.add("%s ended: %v", h.name, err)
		close(ended)
	}(h.ended)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
		h.rec.add("%s gets %v", h.name, s)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
}
