// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// process is a process that a case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// host is a host of the project.
type host struct {
	*process
	ip       string
	base     int // its first port
	settings string
}

// address returns the address of one of the host's listeners.
func (h *host) address(i int) string { return fmt.Sprintf("%s:%d", h.ip, h.base+i) }

// front returns the address for clients.
func (h *host) front() string { return h.address(0) }

// fleet is what a case has started.
type fleet struct {
	// trouble says that the disruption takes place.
	trouble bool
	// grace is the value of Timing.GraceS.
	grace int
	// store is the platform's store.
	store *site.Store

	dir       string
	storeAddr string
	hosts     []*host
	runners   []*runner

	mu        sync.Mutex
	processes []*process
	lines     []string // that runners wrote
	record    *os.File
	begun     time.Time
	stopBeats chan struct{}
}

// newFleet starts the store.
func newFleet(record string, trouble bool) (*fleet, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, grace: 8, store: site.NewStore(), dir: dir, record: out, begun: time.Now(), stopBeats: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	srv := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }() // until the process ends
	f.note("trouble: %v", trouble)
	return f, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process; each line of its standard output goes to onLine.
func (f *fleet) start(name string, env []string, onLine func(string), command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(io.TeeReader(out, log))
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = cmd.Wait() // how it ended does not matter
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// stopOnSignal ends all processes and this one when it is told to end before the case is over.
func (f *fleet) stopOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.note("ended from outside")
		f.stop()
		os.Exit(exitNotRun)
	}()
}

// stop ends all processes.
func (f *fleet) stop() {
	close(f.stopBeats)
	f.mu.Lock()
	all := f.processes
	f.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
	_ = f.record.Close()
}

// errNotReady means that a host did not become ready.
var errNotReady = errors.New("a host did not become ready in time")

// freeBase returns the first of several ports that are free at all of the addresses.
func freeBase(ips []string) (int, error) {
	for base := 20000 + os.Getpid()%2000*8; base < 60000; base += 8 {
		free := true
		for _, ip := range ips {
			for i := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// startHosts starts n hosts, each at an address of its own, and waits until they are ready.
func (f *fleet) startHosts(n int) error {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, 11+i))
	}
	base, err := freeBase(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], base+2))
	}
	for i := range n {
		h := &host{ip: ips[i], base: base}
		h.settings = filepath.Join(f.dir, fmt.Sprintf("boot-%d.conf", i))
		if err := os.WriteFile(h.settings, []byte(f.settings(h, i, seeds)), 0o644); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		if err := f.startHost(h, i); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	f.note("%d hosts are ready", n)
	return nil
}

// startHost starts the process of a host.
func (f *fleet) startHost(h *host, i int) error {
	p, err := f.start(fmt.Sprintf("host-%d", i), []string{"HEATHKEEL_SETTINGS=" + h.settings}, func(string) {}, "target/hkedge")
	h.process = p
	return err
}

// awaitReady waits until a host is ready.
func (h *host) awaitReady() error {
	for range 400 {
		resp, err := http.Get("http://" + h.address(1) + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return errNotReady
}

// settings returns the settings file of a host, with the figures of a small deployment.
func (f *fleet) settings(h *host, i int, seeds []string) string {
	return strings.Join([]string{
		fmt.Sprintf("Node=edge-%d", i), "Role=ingress", "MachineClass=edge", "Serves=edge,control_plane,registry", "Ip=" + h.ip,
		fmt.Sprintf("Zone=zone-%d", i%2), "Region=local", "Zones.zone-0=local", "Zones.zone-1=local",
		"Listen.Front=" + h.address(0), "Listen.Ready=" + h.address(1), "Listen.Control=" + h.address(2), "Listen.Directory=" + h.address(3),
		fmt.Sprintf("PortRange=%d,%d", h.base+4, h.base+7), "Seeds=" + strings.Join(seeds, ","), "Bootstrap=true", "CountsAsLoss=false",
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=134", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=registry", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Timing.SeedLagS=3", "Timing.ReuseAfterS=2", "Timing.ContactMs=3000", "Timing.AckMs=4000", "Timing.CatchUpS=4", "Timing.DrainMs=2000",
		fmt.Sprintf("Timing.GraceS=%d", f.grace), "Timing.LossSlackMs=200", "Timing.ConfigMs=2000", "Timing.DowngradeMs=250", "Timing.OuterMs=5000",
		"Timing.StrictRevoke=true", "Timing.RevokeMs=5000", "Timing.BudgetRatio=0.2", "Timing.BudgetWindowS=10", "Timing.BudgetSlack=54",
		"Timing.QuotaWindowS=8", "Timing.QuotaOvershoot=0.1", "Timing.QuotaSlack=140000", "Timing.RecoverS=12", "Timing.PassMs=120",
		"Timing.RetryAfterS=10", "Timing.ttl_max_s=5",
		"Platform.Address=" + f.storeAddr, "Platform.form=kv", "Platform.writes_per_s=400", "Platform.reads_per_s=2000", "Platform.HistoryS=20",
		"Platform.value_bytes=1048576", "Platform.ttl_min_ms=1000", "",
	}, "\n")
}

// configure writes a configuration with a route of each kind, with the time-outs of litoral-cobro.
func (f *fleet) configure() {
	c := site.Example()
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case r.Kind != "streaming":
			r.TimeoutMs = 800
		case r.Resumable:
			r.TimeoutMs = 12000
		default:
			r.TimeoutMs = 10000
		}
	}
	f.store.Put("op/config", c)
}
