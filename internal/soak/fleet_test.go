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

// Limits in the hosts' settings files.
const (
	revokeTime  = 5 * time.Second
	gracePeriod = 4 * time.Second
	// quotaWindow, quotaOvershoot and quotaSlack bound the excess over a quota.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 400
)

// limits are the limits that depend on the size of a deployment.
type limits struct {
	contact, drain, config time.Duration
	strict                 bool // hosts accept no keys when their settings may be too old
}

// Limits for deployments of a few hosts and of tens of hosts.
var (
	smallFleetLimits = limits{contact: 3 * time.Second, drain: 2 * time.Second, config: 2 * time.Second, strict: true}
	largeFleetLimits = limits{contact: 4 * time.Second, drain: 3 * time.Second, config: 3 * time.Second}
)

// host is a host with its process, its proxies and its disturbances.
type host struct {
	limits
	disturbances
	name         string
	front        string // address for callers, of callerProxy
	settings     string // content of the settings file
	settingsPath string
	readyAddress string
	storeProxy   *link.Proxy // to the store
	callerProxy  *link.Proxy // from callers

	mu            sync.Mutex
	process       *exec.Cmd
	ended         chan struct{}
	starts        int
	stoppingSince time.Time // when SIGTERM was sent, zero if it was not
	stops         []span    // planned stops, each from SIGTERM to the next start
}

// isUndisturbed reports whether nothing has disturbed the host for the contact time before at.
func (h *host) isUndisturbed(at time.Time) bool { return h.undisturbedFor(at, h.contact) }

// onlyStopping reports whether the host is being stopped and nothing else has disturbed it from the
// contact time before since until now.
func (h *host) onlyStopping(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stoppingSince.IsZero() && h.undisturbedFor(since, h.contact)
}

// fleet holds the hosts, the store and the endpoints of one run.
type fleet struct {
	limits
	dir           string
	program       string
	hosts         []*host
	store         *site.Store
	server        *http.Server
	mu            sync.Mutex
	endpoints     []*fleetEndpoint
	endpointCount int
	cores         []int
}

// buildProgram builds hkedge once for all runs and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
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

// newFleet starts a fleet with a few endpoints.
func newFleet(t *testing.T, runNumber, hosts int) *fleet {
	return newFleetWith(t, runNumber, fleetOptions{limits: smallFleetLimits, hosts: hosts, plain: 3, engines: 3})
}

// fleetOptions describes a fleet.
type fleetOptions struct {
	limits
	hosts, plain, engines int
	// cores lists the processors that the hosts' processes share; nil means all.
	cores []int
}

// newFleetWith starts the store, endpoints and hosts. Concurrent runs must have different run
// numbers, which determine addresses.
func newFleetWith(t *testing.T, runNumber int, opts fleetOptions) *fleet {
	program, err := buildProgram()
	must.NoError(t, err)
	f := &fleet{limits: opts.limits, cores: opts.cores, dir: t.TempDir(), program: program, store: site.NewStore()}
	if keep := os.Getenv("HEATHKEEL_SOAK_LOGS"); keep != "" {
		f.dir = filepath.Join(keep, fmt.Sprint("run-", runNumber))
		must.NoError(t, os.MkdirAll(f.dir, 0o755))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.store.Put(platform.KeyConfig, newConfig(1, workspaceKeys(0)))
	for range opts.plain {
		must.NoError(t, f.addEndpoint(site.Plain))
	}
	for range opts.engines {
		must.NoError(t, f.addEndpoint(site.Engines))
	}
	t.Cleanup(f.stop)
	for i := range opts.hosts {
		h, err := f.newHost(runNumber, i, l.Addr().String())
		must.NoError(t, err)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.settings = strings.ReplaceAll(h.settings, "SEEDS", f.seeds())
		must.NoError(t, f.start(h))
	}
	return f
}

// seeds returns the control addresses of the first three hosts.
func (f *fleet) seeds() string {
	var out []string
	for _, h := range f.hosts[:min(3, len(f.hosts))] {
		for _, line := range strings.Split(h.settings, "\n") {
			if at, ok := strings.CutPrefix(line, "Listen.Control="); ok {
				out = append(out, at)
			}
		}
	}
	return strings.Join(out, ",")
}

// basePort returns the first port of every host of a run. Ports are below the range from which the
// system assigns ephemeral ports.
func basePort(runNumber int) int { return 12000 + runNumber%200*16 }

// newHost creates a host's settings and starts its proxies.
func (f *fleet) newHost(runNumber, i int, storeAddress string) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+runNumber%200, i/200, 1+i%200)
	p := basePort(runNumber)
	address := func(n int) string { return fmt.Sprintf("%s:%d", ip, p+n) }
	h := &host{
		limits: f.limits, name: fmt.Sprintf("host-%d", i), readyAddress: address(1), settingsPath: filepath.Join(f.dir, fmt.Sprintf("host-%d.conf", i)),
		storeProxy: &link.Proxy{Listen: "127.0.0.1:0", Target: storeAddress}, callerProxy: &link.Proxy{Listen: "127.0.0.1:0", Target: address(0)},
	}
	for _, p := range []*link.Proxy{h.storeProxy, h.callerProxy} {
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	h.front = h.callerProxy.Listen
	h.settings = fmt.Sprintf(`Node=%s
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
`, h.name, i%3, ip, address(0), address(1), address(2), address(3), p+4, p+15, f.cpuShare(i), h.contact.Milliseconds(), h.drain.Milliseconds(), int(gracePeriod.Seconds()), h.config.Milliseconds(), revokeTime.Milliseconds(), h.strict, quotaSlack, h.storeProxy.Listen)
	return h, nil
}

// cpuShare returns the part of a core that host i has by its settings. The first hosts are stronger
// than the others.
func (f *fleet) cpuShare(i int) float64 {
	if i < strongHosts {
		return 0.8
	}
	return 0.192
}

// start starts a host's process.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settingsPath, []byte(h.settings), 0o600); err != nil {
		return err
	}
	h.process = exec.Command(f.program)
	h.process.Env = append(os.Environ(), platform.BootVariable+"="+h.settingsPath, "GOMAXPROCS=1")
	h.process.Stdout, h.process.Stderr = log, log
	if err := startOn(h.process, f.cores); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	h.noteStart()
	if !h.stoppingSince.IsZero() {
		h.stoppingSince, h.stops[len(h.stops)-1].until = time.Time{}, time.Now()
	}
	// Bootstrap is true only while the whole system starts for the first time.
	h.settings = strings.ReplaceAll(h.settings, "Bootstrap=true", "Bootstrap=false")
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(h.process, h.ended)
	return nil
}

// startOn starts a process on the given processors. The process inherits them from the thread that
// starts it.
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

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM {
		h.stoppingSince = time.Now()
		h.stops = append(h.stops, span{from: h.stoppingSince})
	}
	_ = h.process.Process.Signal(s) // the process may have ended by itself
}

// done returns a channel that is closed when the current process has ended.
func (h *host) done() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// isReady reports whether the host accepts requests.
func (h *host) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.readyAddress + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends everything that was started.
func (f *fleet) stop() {
	// Signal all hosts before waiting for one: those that still run compete for the processor.
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
		}
	}
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			<-h.done()
		}
		h.storeProxy.Stop()
		h.callerProxy.Stop()
	}
	for _, m := range f.allEndpoints() {
		m.Stop()
		if m.Proxy != nil {
			m.Proxy.Stop()
		}
	}
	_ = f.server.Close()
}
