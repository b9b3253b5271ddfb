// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/heathkeel/heathkeel/internal/link"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Bounds of the platform as the hosts' settings files give them.
const (
	revoke = 5 * time.Second
	grace  = 4 * time.Second
	// quotaWindow, quotaOvershoot and quotaSlack are what hosts may get wrong of an amount.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 400
)

// bounds are those that depend on the size of a deployment.
type bounds struct {
	contact, drain, config time.Duration
	strict                 bool // keys are not taken by settings that may be too old
}

// The bounds of deployments of a few hosts, and of tens.
var (
	fewBounds  = bounds{contact: 3 * time.Second, drain: 2 * time.Second, config: 2 * time.Second, strict: true}
	manyBounds = bounds{contact: 4 * time.Second, drain: 3 * time.Second, config: 3 * time.Second}
)

// host is a host's process, the links to it, and since when nothing disturbs it.
type host struct {
	bounds
	name  string
	front string // where callers connect: a link
	boot  string // the text of its settings file
	path  string
	ready string
	store *link.Proxy // to the store
	calls *link.Proxy // from callers

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	lives    int
	troubles int       // faults on it now
	calmFrom time.Time // when the last one ended
	stopping time.Time // when SIGTERM was sent, zero if not
}

// trouble notes the begin of a fault, and returns what notes its end.
func (h *host) trouble() func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.troubles--
		h.calmFrom = time.Now()
	}
}

// inTouch reports whether nothing has disturbed a host for the contact time.
func (h *host) inTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.troubles == 0 && at.Sub(h.calmFrom) > h.contact
}

// onlyStopping reports whether a host is being stopped, and nothing else has disturbed it since
// the contact time before a moment.
func (h *host) onlyStopping(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopping.IsZero() && h.troubles == 0 && since.Sub(h.calmFrom) > h.contact
}

// fleet is the hosts, the store and the endpoints of one run.
type fleet struct {
	bounds
	dir       string
	program   string
	hosts     []*host
	store     *site.Store
	server    *http.Server
	mu        sync.Mutex
	endpoints []*member
	started   int
	cores     []int
}

// member is an endpoint and what disturbs the link to it.
type member struct {
	bounds
	*site.Endpoint
	service string

	mu       sync.Mutex
	left     time.Time // when its leaving was acknowledged, zero while it stays
	troubles int
	calmFrom time.Time
}

// trouble notes the begin of a fault, and returns what notes its end.
func (m *member) trouble() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.troubles++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.troubles--
		m.calmFrom = time.Now()
	}
}

// calm reports whether its link was sound for the contact time.
func (m *member) calm(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.troubles == 0 && at.Sub(m.calmFrom) > m.contact
}

// build makes the program once for all runs.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hkedge")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/hkedge").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// newFleet starts a fleet of a few endpoints.
func newFleet(t *testing.T, base, hosts int) *fleet {
	return newFleetOf(t, base, size{bounds: fewBounds, hosts: hosts, plain: 3, engines: 3})
}

// size is what a fleet is like.
type size struct {
	bounds
	hosts, plain, engines int
	// cores are the processors that the hosts' processes share, nil for all.
	cores []int
}

// newFleetOf starts the store, endpoints and hosts; base tells runs beside each other apart.
func newFleetOf(t *testing.T, base int, z size) *fleet {
	program, err := build()
	must.NoError(t, err)
	f := &fleet{bounds: z.bounds, cores: z.cores, dir: t.TempDir(), program: program, store: site.NewStore()}
	if keep := os.Getenv("HEATHKEEL_SOAK_LOGS"); keep != "" {
		f.dir = filepath.Join(keep, fmt.Sprint("run-", base))
		must.NoError(t, os.MkdirAll(f.dir, 0o755))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.store.Put(platform.KeyConfig, config(1, keys(0)))
	for range z.plain {
		must.NoError(t, f.addEndpoint(site.Plain))
	}
	for range z.engines {
		must.NoError(t, f.addEndpoint(site.Engines))
	}
	t.Cleanup(f.stop)
	for i := range z.hosts {
		h, err := f.newHost(base, i, l.Addr().String())
		must.NoError(t, err)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.boot = strings.ReplaceAll(h.boot, "SEEDS", f.seeds())
		must.NoError(t, f.start(h))
	}
	return f
}

// seeds are the control addresses of the first three hosts.
func (f *fleet) seeds() string {
	var out []string
	for _, h := range f.hosts[:min(3, len(f.hosts))] {
		for _, line := range strings.Split(h.boot, "\n") {
			if at, ok := strings.CutPrefix(line, "Listen.Control="); ok {
				out = append(out, at)
			}
		}
	}
	return strings.Join(out, ",")
}

// ports are the ports of every host, alike on all of a run. They lie below those that the system
// hands out.
func ports(base int) int { return 12000 + base%200*16 }

// newHost lays a host's settings and links.
func (f *fleet) newHost(base, i int, store string) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+base%200, i/200, 1+i%200)
	p := ports(base)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, p+n) }
	h := &host{
		bounds: f.bounds, name: fmt.Sprintf("host-%d", i), ready: at(1), path: filepath.Join(f.dir, fmt.Sprintf("host-%d.conf", i)),
		store: &link.Proxy{Listen: "127.0.0.1:0", Target: store}, calls: &link.Proxy{Listen: "127.0.0.1:0", Target: at(0)},
	}
	for _, p := range []*link.Proxy{h.store, h.calls} {
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	h.front = h.calls.Listen
	h.boot = fmt.Sprintf(`Node=%s
Zone=zone-%d
Region=local
Ip=%s
Listen.Front=%s
Listen.Ready=%s
Listen.Control=%s
Listen.Directory=%s
PortRange=%d,%d
Seeds=SEEDS
Bootstrap=true
Limits.MemoryMb=256
Limits.CpuShare=%g
Limits.Cores=1
HeartbeatMs=1200
Timing.ContactMs=%d
Timing.DrainMs=%d
Timing.GraceS=%d
Timing.ConfigMs=%d
Timing.RevokeMs=%d
Timing.StrictRevoke=%t
Timing.BudgetRatio=0.2
Timing.BudgetWindowS=10
Timing.BudgetSlack=50
Timing.QuotaWindowS=8
Timing.QuotaOvershoot=0.1
Timing.QuotaSlack=%d
Timing.ttl_max_s=5
Platform.Address=%s
`, h.name, i%3, ip, at(0), at(1), at(2), at(3), p+4, p+15, f.share(i), h.contact.Milliseconds(), h.drain.Milliseconds(), int(grace.Seconds()), h.config.Milliseconds(), revoke.Milliseconds(), h.strict, quotaSlack, h.store.Listen)
	return h, nil
}

// share is the part of a core that a host says it has: the first ones are stronger than the others.
func (f *fleet) share(i int) float64 {
	if i < strongHosts {
		return 0.8
	}
	return 0.192
}

// start starts a host's process.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives++
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", h.name, h.lives)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.path, []byte(h.boot), 0o600); err != nil {
		return err
	}
	h.process = exec.Command(f.program)
	h.process.Env = append(os.Environ(), platform.BootVariable+"="+h.path, "GOMAXPROCS=1")
	h.process.Stdout, h.process.Stderr = log, log
	if err := startOn(h.process, f.cores); err != nil {
		return err
	}
	h.ended, h.stopping, h.calmFrom = make(chan struct{}), time.Time{}, time.Now()
	// The file says so only while the whole system starts for the first time.
	h.boot = strings.ReplaceAll(h.boot, "Bootstrap=true", "Bootstrap=false")
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(h.process, h.ended)
	return nil
}

// startOn starts a process on some processors: it inherits them from the thread that starts it.
func startOn(cmd *exec.Cmd, cores []int) error {
	if len(cores) == 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, own unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	for _, c := range cores {
		own.Set(c)
	}
	if err := unix.SchedSetaffinity(0, &own); err != nil {
		return err
	}
	err := cmd.Start()
	if back := unix.SchedSetaffinity(0, &before); err == nil {
		err = back
	}
	return err
}

// signal tells a host's process something.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM {
		h.stopping = time.Now()
	}
	_ = h.process.Process.Signal(s) // it may have ended by itself
}

// over is closed when the process in force has ended.
func (h *host) over() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// isReady asks whether a host takes requests.
func (h *host) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ready + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addEndpoint starts an endpoint behind a link and writes its entry.
func (f *fleet) addEndpoint(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	m := &member{bounds: f.bounds, Endpoint: &site.Endpoint{Instance: fmt.Sprintf("%s-%d", service, f.started), Pace: 20 * time.Millisecond, Proxy: &link.Proxy{}}, service: service}
	if service == site.Engines {
		m.Events = events
	}
	if err := m.Start(); err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, m)
	f.store.Put(platform.PrefixEndpoints+m.Instance, f.entry(m, "ready"))
	return nil
}

// entry is an endpoint's entry in the store.
func (f *fleet) entry(m *member, state string) site.EndpointEntry {
	return site.EndpointEntry{Service: m.service, Address: m.Address, Zone: "zone-1", Version: "v1", Slots: 8, State: state}
}

// staying are the endpoints of a service that do not leave.
func (f *fleet) staying(service string) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*member
	for _, m := range f.endpoints {
		m.mu.Lock()
		if m.left.IsZero() && (service == "" || m.service == service) {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	return out
}

// all are all endpoints so far.
func (f *fleet) all() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*member(nil), f.endpoints...)
}

// stop ends all that was started.
func (f *fleet) stop() {
	// All at once: those that run on keep the others' processor busy.
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
		}
	}
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			<-h.over()
		}
		h.store.Stop()
		h.calls.Stop()
	}
	for _, m := range f.all() {
		m.Stop()
		m.Proxy.Stop()
	}
	_ = f.server.Close()
}
