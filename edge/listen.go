// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/route"
)

// Default limits on callers' connections.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
	// idleTimeoutMargin is the factor by which an idle connection is kept longer than callers are
	// told.
	idleTimeoutMargin = 1.5
)

// serve opens the listeners and serves them until ctx ends.
func (h *Host) serve(ctx context.Context) error {
	front := &frontServer{host: h, idle: idleConns{limit: h.maxIdleConns(), onClose: func() { h.ingress.Count.IdleClosed.Add(1) }}}
	listeners := []struct {
		address string
		serve   func(net.Listener)
	}{
		{h.Boot.Front, front.serve},
		{h.Boot.Ready, serveHandler(h.readyHandler())},
		{h.Boot.Control, serveHandler(h.controlHandler())},
		{h.Boot.Directory, serveHandler(h.directoryHandler())},
	}
	for _, listener := range listeners {
		if listener.address == "" {
			continue
		}
		l, err := h.network().Listen(ctx, "tcp", listener.address)
		if err != nil {
			return err
		}
		go listener.serve(l)
		context.AfterFunc(ctx, func() { _ = l.Close() })
	}
	return nil
}

// serveHandler returns a function that serves a handler with the default limits.
func serveHandler(handler http.Handler) func(net.Listener) {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: defaultHeaderBytes}
	return func(l net.Listener) { _ = srv.Serve(l) }
}

// frontServer serves callers. A connection gets the limits of the configuration that is in force
// when it is accepted.
type frontServer struct {
	host   *Host
	limits route.Limits
	queue  *queueListener
	idle   idleConns
}

// serve accepts connections and passes each to the server with the current limits.
func (f *frontServer) serve(l net.Listener) {
	defer func() {
		if f.queue != nil {
			_ = f.queue.Close()
		}
	}()
	acceptAll(l, f.host.Log, func(c net.Conn) {
		limitSocketBuffers(c)
		f.currentQueue(l.Addr()).conns <- c
	})
}

// currentQueue returns the queue of the server for the current limits, and starts that server if
// the limits changed.
func (f *frontServer) currentQueue(addr net.Addr) *queueListener {
	var limits route.Limits
	if src := f.host.settings.Current(); src != nil {
		limits = src.Table.Document.Limits
	}
	if f.queue != nil && limits == f.limits {
		return f.queue
	}
	if f.queue != nil {
		_ = f.queue.Close() // its server continues with the connections that it already has
	}
	f.limits = limits
	f.queue = &queueListener{addr: addr, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	srv := &http.Server{
		Handler:           f.host.ingress,
		ConnState:         f.idle.note,
		ReadHeaderTimeout: positiveOr(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       time.Duration(idleTimeoutMargin * float64(positiveOr(limits.IdleTimeout, defaultIdleTimeout))),
		MaxHeaderBytes:    int(positiveOr(limits.HeaderBytes, defaultHeaderBytes)),
	}
	go func(l net.Listener) { _ = srv.Serve(l) }(f.queue)
	return f.queue
}

// positiveOr returns v if it is positive, otherwise def.
func positiveOr[T int64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// queueListener is a net.Listener that accepts connections from a channel.
type queueListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener. Connections queued before Close are still accepted.
func (q *queueListener) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	default:
	}
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *queueListener) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *queueListener) Addr() net.Addr { return q.addr }

// readyHandler serves the platform's readiness checks.
func (h *Host) readyHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if h.gapDetector.Check(); !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}

// controlHandler serves other hosts and operators.
func (h *Host) controlHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathSettings, h.serveSettings).Methods(http.MethodGet)
	router.HandleFunc(pathEndpoints, h.serveEndpoints).Methods(http.MethodGet)
	router.HandleFunc(pathHosts, h.serveHosts).Methods(http.MethodGet)
	router.HandleFunc(pathOrigins, h.serveOrigins).Methods(http.MethodGet)
	router.HandleFunc(PathQuarantine, h.serveSuspects).Methods(http.MethodGet)
	router.HandleFunc(PathQuarantine+"/{fingerprint}", h.releaseSuspect).Methods(http.MethodDelete)
	router.HandleFunc("/debug/vars", h.serveVars).Methods(http.MethodGet)
	return router
}

// directoryHandler serves callers that ask for addresses of hosts.
func (h *Host) directoryHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.PathResolve, func(w http.ResponseWriter, _ *http.Request) {
		if h.gapDetector.Check(); h.unconfirmed() {
			w.WriteHeader(http.StatusServiceUnavailable) // it is not known which other hosts are alive; callers ask another host
			return
		}
		h.writeJSON(w, platform.Resolve(h.addresses(), addressTTL))
	}).Methods(http.MethodGet)
	return router
}

// addressTTL is how long callers may keep an address answer.
const addressTTL = time.Second

// maxAddresses limits the addresses in an answer.
const maxAddresses = 64

// addresses returns the addresses for callers to connect to: those of ready hosts that reach endpoints
// and have the newest settings, as far as there are any.
func (h *Host) addresses() []string {
	self := peers.HostInfo{Front: h.Boot.Front, Zone: h.Boot.Zone, Ready: h.ready(), CutOff: h.ingress.CutOff(), Fresh: h.ingress.SettingsFresh()}
	hosts := []peers.HostInfo{self}
	for _, m := range h.agent.Live() {
		hosts = append(hosts, m.Info)
	}
	hosts = slices.DeleteFunc(hosts, func(info peers.HostInfo) bool { return !info.Ready })
	hosts = prefer(hosts, func(info peers.HostInfo) bool { return !info.CutOff })
	hosts = prefer(hosts, func(info peers.HostInfo) bool { return info.Fresh })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var out []string
	for _, info := range hosts[:min(maxAddresses, len(hosts))] {
		out = append(out, info.Front)
	}
	return out
}

// relayTargets returns the hosts to which this one may relay requests.
func (h *Host) relayTargets() []ingress.RelayTarget {
	var out []ingress.RelayTarget
	for _, m := range h.agent.Live() {
		if m.Info.Ready && !m.Info.CutOff {
			out = append(out, ingress.RelayTarget{Host: m.Host, Front: m.Info.Front, Weight: max(minRelayWeight, m.Info.Capacity)})
		}
	}
	return out
}

// reachesEndpoints reports whether another host was heard of recently and reaches endpoints.
func (h *Host) reachesEndpoints(host string) bool {
	return slices.ContainsFunc(h.agent.Live(), func(m peers.Member) bool { return m.Host == host && !m.Info.CutOff })
}

// minRelayWeight is the weight of a host in relaying whose capacity is unknown, in cores.
const minRelayWeight = 0.01

// prefer returns the hosts that satisfy ok, or all hosts if none does.
func prefer(hosts []peers.HostInfo, ok func(peers.HostInfo) bool) []peers.HostInfo {
	var out []peers.HostInfo
	for _, info := range hosts {
		if ok(info) {
			out = append(out, info)
		}
	}
	if len(out) == 0 {
		return hosts
	}
	return out
}
