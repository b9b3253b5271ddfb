// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/quarantine"
)

// TestQuarantine runs the quarantine commands against a fake host with one held and one
// suspected request.
func TestQuarantine(t *testing.T) {
	held, suspected := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	list := []quarantine.Entry{
		{Fingerprint: held, Request: "POST shop.example/draft/a of w", Held: true, LeftMS: 65000, HoldCount: 1, Saved: true, Crashes: []quarantine.Crash{
			{Fingerprint: held, Incarnation: "e-1", AgeMS: 3000, RequestAgeMS: 120, NoResponse: true, Host: "host-2"},
		}},
		{Fingerprint: suspected, Request: "POST shop.example/draft/b of w"},
	}
	released := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodDelete && strings.HasSuffix(r.URL.Path, suspected.String()):
			http.Error(w, "nothing is known", http.StatusNotFound)
		case r.Method == http.MethodDelete:
			released = strings.TrimPrefix(r.URL.Path, edge.PathQuarantine+"/")
			w.WriteHeader(http.StatusNoContent)
		default:
			must.NoError(t, json.NewEncoder(w).Encode(list))
		}
	}))
	defer server.Close()
	host := strings.TrimPrefix(server.URL, "http://")
	cases := []struct {
		argv []string
		code int
		want []string // substrings of the output
	}{
		{[]string{"--host", host, "list"}, exitDone, []string{held.String() + "  held       1m5s  1          true", suspected.String() + "  suspected  -"}},
		{[]string{"--host", host, "show", held.String()}, exitDone, []string{"shop.example/draft/a", "e-1       3s ago  120 ms  none    host-2"}},
		{[]string{"--host", host, "show", quarantine.Fingerprint{3}.String()}, exitRefused, []string{"knows nothing"}},
		{[]string{"--host", host, "show", "short"}, exitUsage, []string{"22 letters"}},
		{[]string{"--host", host, "release", held.String()}, exitDone, []string{"may run again"}},
		{[]string{"--host", host, "release", suspected.String()}, exitRefused, []string{"answered 404"}},
		{[]string{"--host", "127.0.0.1:1", "list"}, exitRefused, []string{"another one"}},
		{[]string{"--host", host}, exitUsage, []string{"list, show or release"}},
		{[]string{"list"}, exitUsage, []string{"--host"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.argv, " "), func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Main(append([]string{"quarantine"}, c.argv...), &out, &errs)
			must.EqOp(t, c.code, code)
			for _, w := range c.want {
				must.StrContains(t, out.String()+errs.String(), w)
			}
		})
	}
	must.EqOp(t, held.String(), released)
}
