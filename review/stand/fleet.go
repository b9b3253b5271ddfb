// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heathkeel/heathkeel/internal/link"
	"github.com/heathkeel/heathkeel/internal/site"
)

// Names in the configuration of the cases.
const (
	hostName  = "shop.example"
	workspace = "water-utility"
	key       = "key-of-water-utility"
	plain     = "cobro-api"
	documents = "letter-api"
	engines   = "heathkeel-pool"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// host is one hkedge process.
type host struct {
	name, front, ready, path string
	cmd                      *exec.Cmd
	ended                    chan struct{}
	startedAt, endedAt       time.Time
}

// runner is one runner process and its entry in the store.
type runner struct {
	instance, service string
	// address is in the entry; own is where the process listens. They differ if a proxy carries its connections.
	address, own string
	proxy        *link.Proxy
	version      string // of its software
	born         int64  // Unix time of its start in milliseconds, or 0 if its entry does not tell
	cmd          *exec.Cmd
	ended        chan struct{}

	mu    sync.Mutex
	state string // of the entry, empty while there is none
	seq   int
}

// fleet is the store, the runners and the hosts of a case.
type fleet struct {
	dir     string
	rec     *record
	store   *site.Store
	server  *http.Server
	storeAt string
	hosts   []*host
	stop    chan struct{}
	port    int

	mu      sync.Mutex
	runners []*runner
}

// allRunners returns the runners that were started so far.
func (f *fleet) allRunners() []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runners)
}

// newFleet starts a store that holds a configuration.
func newFleet(rec *record, config any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, store: site.NewStore(), stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = l.Addr().String()
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.store.Put("op/config", config)
	go f.beat()
	return f, nil
}

// beat writes the entries of all runners that live, as each runner does about every heartbeat. An entry goes after three heartbeats
// without a write.
func (f *fleet) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		for _, r := range f.allRunners() {
			f.putEntry(r)
		}
	}
}

// putEntry writes a runner's entry.
func (f *fleet) putEntry(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return
	}
	r.seq++
	f.store.Put("servers/"+r.instance, site.EndpointEntry{Service: r.service, Address: r.address, Zone: "zone-1", Version: cmp.Or(r.version, "v1"), Slots: 8, State: r.state, Seq: r.seq, StartedMS: r.born})
}

// setState changes the state in a runner's entry and writes it; an empty one only stops the writes.
func (f *fleet) setState(r *runner, state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	f.putEntry(r)
}

// announce writes the entry of a runner that is ready at an address.
func (f *fleet) announce(r *runner, address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	f.setState(r, "ready")
}

// startRunner starts a runner process at a free address and writes its entry.
func (f *fleet) startRunner(instance, service string, args ...string) (*runner, error) {
	r, err := f.launchRunner(instance, service, "", args...)
	if err != nil {
		return nil, err
	}
	f.setState(r, "ready")
	return r, nil
}

// launchRunner starts a runner process at an address, or at a free one if it is empty. It has no entry yet.
func (f *fleet) launchRunner(instance, service, address string, args ...string) (*runner, error) {
	if address == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address = l.Addr().String()
		_ = l.Close()
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &runner{instance: instance, service: service, address: address, own: address, ended: make(chan struct{})}
	r.cmd = exec.Command(self, append([]string{"runner", "-address", address, "-instance", instance}, args...)...)
	r.cmd.Stdout, r.cmd.Stderr = f.rec, os.Stderr
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = r.cmd.Wait(); close(r.ended) }()
	if err := waitFor(5*time.Second, func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}); err != nil {
		return nil, fmt.Errorf("runner %s does not listen: %w", instance, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, r)
	return r, nil
}

// startBehindProxy starts a runner process whose connections go through a proxy, so that its machine can be cut off.
func (f *fleet) startBehindProxy(instance, service string, args ...string) error {
	r, err := f.launchRunner(instance, service, "", args...)
	if err != nil {
		return err
	}
	r.proxy = &link.Proxy{Listen: "127.0.0.1:0", Target: r.own}
	if err := r.proxy.Start(); err != nil {
		return err
	}
	f.announce(r, r.proxy.Listen)
	return nil
}

// cut cuts a runner's machine off in both directions, or ends that. What is under way is held up, and goes on afterwards.
func (f *fleet) cut(r *runner, on bool) {
	f.rec.note("runner", r.instance, "is cut off:", fmt.Sprint(on))
	r.proxy.Stall(link.Upstream, on)
	r.proxy.Stall(link.Downstream, on)
}

// runner returns the newest runner with a name, or nil.
func (f *fleet) runner(instance string) *runner {
	for _, r := range slices.Backward(f.allRunners()) {
		if r.instance == instance {
			return r
		}
	}
	return nil
}

// freePorts returns the first of 16 successive free ports at an address.
func freePorts(ip string, from int) int {
	for p := from; p < 32000; p += 16 {
		free := true
		for i := range 6 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return p
		}
	}
	return 0
}

// addHosts starts n hosts and waits until they are ready.
func (f *fleet) addHosts(n int) error {
	pid := os.Getpid()
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, 10+i) }
	f.port = freePorts(ip(0), 12000)
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), f.port+2))
	}
	for i := range n {
		at := func(k int) string { return fmt.Sprintf("%s:%d", ip(i), f.port+k) }
		h := &host{name: fmt.Sprintf("edge-%d", i), front: at(0), ready: at(1), path: filepath.Join(f.dir, fmt.Sprintf("edge-%d.conf", i))}
		settings := strings.NewReplacer("NAME", h.name, "ZONE", fmt.Sprintf("zone-%d", i%4), "IP", ip(i), "FRONT", at(0), "READY", at(1), "CONTROL", at(2), "DIRECTORY", at(3),
			"PORTS", fmt.Sprintf("%d,%d", f.port+4, f.port+15), "SEEDS", strings.Join(seeds, ","), "STORE", f.storeAt).Replace(settingsText)
		if err := os.WriteFile(h.path, []byte(settings), 0o600); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := waitFor(10*time.Second, h.isReady); err != nil {
			return fmt.Errorf("%s is not ready: %w", h.name, err)
		}
	}
	return nil
}

// settingsText is a settings file, with the timing of litoral-cobro.
const settingsText = `Node=NAME
Role=ingress
MachineClass=edge
Serves=edge,control_plane,registry
Ip=IP
Zone=ZONE
Region=mvd
Listen.Front=FRONT
Listen.Ready=READY
Listen.Control=CONTROL
Listen.Directory=DIRECTORY
PortRange=PORTS
Seeds=SEEDS
Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=134
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
Entry=registry
HeartbeatMs=1200
Timing.ReuseAfterS=2
Timing.ContactMs=3000
Timing.DrainMs=2000
Timing.GraceS=8
Timing.LossSlackMs=200
Timing.ConfigMs=2000
Timing.StrictRevoke=true
Timing.RevokeMs=5000
Timing.BudgetRatio=0.2
Timing.BudgetWindowS=10
Timing.BudgetSlack=54
Timing.QuotaWindowS=8
Timing.QuotaOvershoot=0.1
Timing.QuotaSlack=140000
Timing.ttl_max_s=5
Platform.Address=STORE
Platform.form=kv
`

// startHost starts a host's process with the command of the deploy file.
func (f *fleet) startHost(h *host) error {
	h.cmd = exec.Command("target/hkedge")
	h.cmd.Env = []string{"HEATHKEEL_SETTINGS=" + h.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	log, err := os.OpenFile(h.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.startedAt, h.ended = time.Now(), make(chan struct{})
	f.rec.note("host", h.name, "starts")
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		h.endedAt = time.Now()
		f.rec.note("host", h.name, "ended "+cmd.ProcessState.String())
		close(ended)
	}(h.cmd, h.ended)
	return nil
}

// signal sends a signal to a host's process.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.rec.note("host", h.name, "gets "+s.String())
	_ = h.cmd.Process.Signal(s)
}

// signalRunner sends a signal to a runner's process.
func (f *fleet) signalRunner(r *runner, s syscall.Signal) {
	f.rec.note("runner", r.instance, "gets "+s.String())
	_ = r.cmd.Process.Signal(s)
}

// isReady reports whether a host says that it takes requests.
func (h *host) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes of the fleet and removes its folder.
func (f *fleet) close() {
	close(f.stop)
	for _, h := range f.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	for _, r := range f.allRunners() {
		if r.proxy != nil {
			r.proxy.Stop()
		}
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
	_ = f.server.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, h := range f.hosts {
			if b, err := os.ReadFile(h.path + ".log"); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}

// waitFor waits until ok returns true.
func waitFor(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}

// record is the file to which everything that was sent, answered and run is written, a line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// note writes a line with the time since the start of the case.
func (r *record) note(words ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(strings.Join(words, " "))
}

// write writes one line; mu must be held.
func (r *record) write(text string) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), text)
}

// Write implements io.Writer for the lines that runners print.
func (r *record) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for line := range bytes.Lines(p) {
		r.write(strings.TrimSpace(string(line)))
	}
	return len(p), nil
}
