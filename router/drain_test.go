// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// TestDrainTakesNoLateRequests lets callers send to a host that drains for as long as it takes requests. It guards against drains that last
// until their time is up, and then cut what runs.
func TestDrainTakesNoLateRequests(t *testing.T) {
	r := newTestCluster(t, nil)
	for _, s := range r.Services {
		s.SetFaults(fake.ServiceFaults{Delay: 20 * time.Millisecond})
	}
	h := r.StartedHosts[0]
	var served, refused, others atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				a := callLook(h.Address)
				switch {
				case a.err == nil && a.status == http.StatusCreated:
					served.Add(1)
				case a.outcome == problem.NotRun:
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				default:
					others.Add(1)
				}
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	must.NoError(t, h.Router.Drain(ctx))
	close(done)
	wg.Wait()
	must.Positive(t, served.Load())
	must.Positive(t, refused.Load())
	must.Zero(t, others.Load())
}

// callLook sends a call that may be repeated to a host, without an ID.
func callLook(host string) reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+router.PathCall+"look/x", strings.NewReader("body"))
	req.Header.Set(router.HeaderWorkspace, "w")
	return sendRequest(req)
}
