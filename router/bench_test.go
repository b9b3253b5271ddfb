// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/router"
)

// newInstantEngine returns an engine that answers immediately with n tokens.
func newInstantEngine(n int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == endpoint.PathLoad {
			_, _ = io.WriteString(w, `{"slots":100000,"step_us":10,"prefill_per_step":100000,"role":"both","holding":{"model":"m","version":"1"}}`)
			return
		}
		id := r.Header.Get(endpoint.HeaderRequestID)
		_, _ = io.Copy(io.Discard, r.Body)
		var b []byte
		for i := range n {
			p := endpoint.Piece{ID: id, Seq: i, Text: "word "}
			if i == n-1 {
				p.Finish = "stop"
			}
			b = endpoint.AppendEvent(b, p, "m")
			if i == 0 {
				_, _ = w.Write(b)
				_ = http.NewResponseController(w).Flush()
				b = b[:0]
			}
		}
		b = append(b, "data: "+endpoint.DoneData+"\n\n"...)
		_, _ = w.Write(b)
	})
}

// runLoad sends b.N requests from concurrent callers. It reports the median
// latency and the CPU time of the whole process per request.
func runLoad(b *testing.B, callers int, sendOne func(c *http.Client)) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range callers {
		sendOne(c)
	}
	times := make([]time.Duration, b.N)
	var next atomic.Int64
	var wg sync.WaitGroup
	cpu := cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				sendOne(c)
				times[i] = time.Since(start)
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchHost starts one host and two instant engines and returns the addresses of
// the host and of one engine.
func benchHost(b *testing.B, tokens int) (host, engine string) {
	r := &dev.Cluster{Declaration: parse(b), Hosts: 1}
	r.ConfigureRouter = func(x *router.Router) { x.MinReportInterval, x.MaxReportRate = 20*time.Millisecond, 1000 }
	s, err := dev.Serve("127.0.0.1:0", newInstantEngine(tokens))
	must.NoError(b, err)
	b.Cleanup(s.Kill)
	other, err := dev.Serve("127.0.0.1:0", newInstantEngine(tokens))
	must.NoError(b, err)
	b.Cleanup(other.Kill)
	r.AddressOverrides = map[string]string{"e1": s.Address, "e2": other.Address}
	must.NoError(b, r.Start())
	b.Cleanup(r.Stop)
	eventually(b, "ready", func() bool { return r.StartedHosts[0].Router.AllEndpointsReported() })
	return r.StartedHosts[0].Address, s.Address
}

// postCompletion sends a streaming request and reads the whole answer.
func postCompletion(c *http.Client, host string) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+endpoint.PathCompletions, strings.NewReader(`{"model":"m","prompt":"hello","max_tokens":100,"stream":true}`))
	req.Header.Set(router.HeaderWorkspace, "w")
	req.Header.Set(router.HeaderService, "write")
	req.Header.Set(endpoint.HeaderRequestID, "x")
	resp, err := c.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		panic(fmt.Sprint(err, resp))
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// BenchmarkPath compares requests through a host with requests sent directly to an
// engine. The difference is the overhead of the host; the engine and the callers
// run in the same process.
func BenchmarkPath(b *testing.B) {
	for _, tokens := range []int{1, 100} {
		for _, callers := range []int{1, 16, 256} {
			for _, direct := range []bool{true, false} {
				name := fmt.Sprintf("tokens=%d/callers=%d/direct=%v", tokens, callers, direct)
				b.Run(name, func(b *testing.B) {
					host, engine := benchHost(b, tokens)
					if direct {
						host = engine
					}
					runLoad(b, callers, func(c *http.Client) { postCompletion(c, host) })
				})
			}
		}
	}
}

// BenchmarkOnce compares calls to plain services that may be repeated with calls
// that are recorded at a witness first.
func BenchmarkOnce(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		for _, service := range []string{"look", "push"} {
			b.Run(fmt.Sprintf("callers=%d/service=%s", callers, service), func(b *testing.B) {
				r := &dev.Cluster{Declaration: parse(b), Hosts: 3}
				must.NoError(b, r.Start())
				b.Cleanup(r.Stop)
				tc := &testCluster{Cluster: r}
				eventually(b, "ready", func() bool {
					for _, n := range r.StartedHosts {
						live := 0
						for _, h := range n.Router.Status().Hosts {
							if h.Live() {
								live++
							}
						}
						if live < 3 || !n.Router.AllEndpointsReported() {
							return false
						}
					}
					return true
				})
				a := tc.address(b, r.StartedHosts[0]).Addresses[0]
				var n atomic.Int64
				runLoad(b, callers, func(c *http.Client) {
					req, _ := http.NewRequest(http.MethodPost, "http://"+a.Address+router.PathCall+service, strings.NewReader("x"))
					req.Header.Set(router.HeaderWorkspace, "w")
					prefix := a.Prefix
					if service == "push" {
						prefix = a.OncePrefix
					}
					req.Header.Set(router.HeaderID, fmt.Sprintf("%su%d", prefix, n.Add(1)))
					resp, err := c.Do(req)
					if err != nil || resp.StatusCode != http.StatusCreated {
						panic(fmt.Sprint(err, resp))
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				})
				b.ReportMetric(float64(r.StartedHosts[0].Router.Status().PeerBytes+r.StartedHosts[1].Router.Status().PeerBytes+r.StartedHosts[2].Router.Status().PeerBytes)/float64(b.N), "peer-B/op")
			})
		}
	}
}

// BenchmarkIdleHost measures the memory and CPU time of a host without requests.
func BenchmarkIdleHost(b *testing.B) {
	for b.Loop() {
		r := &dev.Cluster{Declaration: parse(b), Hosts: 7}
		must.NoError(b, r.Start())
		eventually(b, "ready", func() bool { return r.StartedHosts[0].Router.AllEndpointsReported() })
		time.Sleep(2 * time.Second)
		cpu, start := cpuTime(), time.Now()
		time.Sleep(5 * time.Second)
		share := float64(cpuTime()-cpu) / float64(time.Since(start)) / 7
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(100*share, "%core/host")
		b.ReportMetric(float64(m.HeapAlloc)/7/1e6, "MB/host")
		r.Stop()
	}
}
