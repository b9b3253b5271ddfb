// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/keyval"
)

// Platform serves the fakes of the platform over HTTP.
type Platform struct {
	// KV, Hosts and Weights are the services that Handler serves.
	KV      *KV
	Hosts   *HostList
	Weights *WeightStore
}

// Handler returns the HTTP handler of all services.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	item := r.Path(keyval.PathKV + "{key}").Subrouter()
	item.Methods(http.MethodGet).HandlerFunc(p.get)
	item.Methods(http.MethodPut).HandlerFunc(p.swap)
	item.Methods(http.MethodDelete).HandlerFunc(p.remove)
	r.Path(keyval.PathKeys).HandlerFunc(p.keys)
	r.Path(keyval.PathLease).HandlerFunc(p.lease)
	r.Path(keyval.PathHosts).Methods(http.MethodPut).HandlerFunc(p.register)
	r.Path(keyval.PathHosts).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := p.Hosts.List(r.Context())
		b, _ := json.Marshal(out)
		tag := strconv.FormatUint(xxhash.Sum64(b), 16)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", tag)
		reply(w, out, err)
	})
	r.Path(keyval.PathWeights).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		out, err := p.Weights.Describe(r.Context(), q.Get("model"), q.Get("version"))
		reply(w, out, err)
	})
	return r
}

// register adds an entry to the host list, as whatever starts hosts and endpoints does.
func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var e keyval.ListEntry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil || e.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Hosts.Put(e)
}

// reply sends v as JSON, or the status of err.
func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(keyval.StatusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// requestKey returns the unescaped key of a request.
func requestKey(r *http.Request) string {
	const prefixLength = len(keyval.PathKV)
	return r.URL.Path[prefixLength:]
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	if after == "" {
		it, err := p.KV.Get(r.Context(), requestKey(r))
		reply(w, it, err)
		return
	}
	n, _ := strconv.ParseUint(after, 10, 64)
	it, err := p.KV.Watch(r.Context(), requestKey(r), n)
	reply(w, it, err)
}

func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	var body keyval.SwapBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v, err := p.KV.Swap(r.Context(), requestKey(r), body.Version, body.Value, body.Lease)
	reply(w, keyval.Item{Version: v}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	reply(w, struct{}{}, p.KV.Delete(r.Context(), requestKey(r), n))
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	keys, err := p.KV.Keys(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, keys, err)
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request) {
	var body keyval.LeaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		reply(w, struct{}{}, p.KV.Renew(r.Context(), body.Lease))
		return
	}
	id, err := p.KV.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	reply(w, keyval.LeaseBody{Lease: id}, err)
}
