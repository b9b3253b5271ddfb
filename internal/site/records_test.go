// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// restartAll kills all hosts at one moment, and waits until all that are started in their places serve.
func (f *fragileSite) restartAll(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		h.Kill()
	}
	for i, h := range f.hosts {
		<-h.Done
		again, err := f.Site.Restart(h)
		must.NoError(t, err)
		f.hosts[i] = again
	}
	f.awaitServing(t)
}

// TestHoldsOutlastAllHosts kills all hosts at one moment after a request was held: they find the hold in the store when they start, and the request
// reaches no endpoint again. Released, it runs, and its record is gone.
func TestHoldsOutlastAllHosts(t *testing.T) {
	f := newFragile(t, 3, Engines)
	sc := &scene{Site: f.Site}
	n := 0
	try := func() Answer {
		n++
		return Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("t-", n), Body: fatal})
	}
	sc.await(t, "it is held and that is kept", func() bool {
		refused := 0
		for range f.hosts {
			if try().Status == 503 {
				refused++
			}
		}
		return refused == len(f.hosts) && f.Site.Store.HasPrefix(platform.PrefixRecords)
	})
	must.EqOp(t, 1, f.Site.Store.CountWrites(platform.PrefixRecords))
	f.restartAll(t)
	ran := f.CountRuns(fatal)
	for range 6 {
		must.EqOp(t, 503, try().Status)
	}
	must.EqOp(t, ran, f.CountRuns(fatal))

	r := quarantine.Request{Workspace: Workspace, Method: "POST", Host: HostName, URI: "/draft/a", Body: []byte(fatal)}
	print := r.Fingerprint()
	control := "http://" + f.hosts[0].Boot.Control + edge.PathQuarantine
	for path, want := range map[string]int{"/" + print.String(): 204, "/nonsense": 400, "/" + quarantine.Fingerprint{1}.String(): 404} {
		req, err := http.NewRequest(http.MethodDelete, control+path, nil)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		must.EqOp(t, want, resp.StatusCode)
	}
	sc.await(t, "the record is gone", func() bool { return !f.Site.Store.HasPrefix(platform.PrefixRecords) })
	sc.await(t, "it runs again", func() bool {
		try()
		return f.CountRuns(fatal) > ran
	})
}

// TestTrialsOutlastAllHosts kills all hosts at one moment after three endpoints have ended under a request, and again after each further send of it: it
// gets three in all.
func TestTrialsOutlastAllHosts(t *testing.T) {
	f := newFragileOf(t, fragileCase{
		hosts: 3, endpoints: 12, service: Engines, events: 60, pace: 10 * time.Millisecond, delay: 300 * time.Millisecond, back: 300 * time.Millisecond, answers: true,
	})
	n := 0
	try := func() {
		n++
		Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("t-", n), Body: fatal})
	}
	for range 3 {
		try()
	}
	must.EqOp(t, 3, f.CountRuns(fatal))
	(&scene{Site: f.Site}).await(t, "it is kept", func() bool { return f.Site.Store.HasPrefix(platform.PrefixRecords) })
	for range 5 {
		f.restartAll(t)
		try()
	}
	must.EqOp(t, 3+3, f.CountRuns(fatal))
}
