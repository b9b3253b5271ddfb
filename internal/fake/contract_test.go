// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/keyval"
)

// kvPromises name what the key-value service promises; each case gets an empty one.
var kvPromises = []struct {
	name string
	run  func(t *testing.T, kv keyval.KV, stand *KV)
}{
	{"a key that is not there is not found", func(t *testing.T, kv keyval.KV, _ *KV) {
		_, err := kv.Get(t.Context(), "a")
		must.ErrorIs(t, err, keyval.ErrNotFound)
	}},
	{"a value is read as written, with its version, under any key", func(t *testing.T, kv keyval.KV, _ *KV) {
		for _, key := range []string{"a", "settings/head", "x y/ü%2F?&=#"} {
			v, err := kv.Swap(t.Context(), key, 0, []byte("1\x00"), 0)
			must.NoError(t, err)
			it, err := kv.Get(t.Context(), key)
			must.NoError(t, err, must.Sprint(key))
			must.Eq(t, keyval.Item{Key: key, Value: []byte("1\x00"), Version: v}, it)
		}
	}},
	{"a swap of another version conflicts and writes nothing", func(t *testing.T, kv keyval.KV, _ *KV) {
		v, _ := kv.Swap(t.Context(), "a", 0, []byte("1"), 0)
		for _, wrong := range []uint64{0, v + 1} {
			_, err := kv.Swap(t.Context(), "a", wrong, []byte("2"), 0)
			must.ErrorIs(t, err, keyval.ErrConflict)
		}
		it, _ := kv.Get(t.Context(), "a")
		must.Eq(t, "1", string(it.Value))
	}},
	{"versions rise over deletions", func(t *testing.T, kv keyval.KV, _ *KV) {
		v, _ := kv.Swap(t.Context(), "a", 0, nil, 0)
		must.ErrorIs(t, kv.Delete(t.Context(), "a", v+1), keyval.ErrConflict)
		must.NoError(t, kv.Delete(t.Context(), "a", v))
		w, err := kv.Swap(t.Context(), "a", 0, nil, 0)
		must.NoError(t, err)
		must.Greater(t, v, w)
	}},
	{"keys are listed by prefix, sorted", func(t *testing.T, kv keyval.KV, _ *KV) {
		for _, k := range []string{"b/2", "a/1", "b/1"} {
			_, _ = kv.Swap(t.Context(), k, 0, nil, 0)
		}
		keys, err := kv.Keys(t.Context(), "b/")
		must.NoError(t, err)
		must.Eq(t, []string{"b/1", "b/2"}, keys)
	}},
	{"a value over the limit is refused", func(t *testing.T, kv keyval.KV, _ *KV) {
		_, err := kv.Swap(t.Context(), "a", 0, make([]byte, keyval.MaxValueSize+1), 0)
		must.ErrorIs(t, err, keyval.ErrTooLarge)
	}},
	{"a watch returns a change that came before or comes during it", func(t *testing.T, kv keyval.KV, stand *KV) {
		v, _ := kv.Swap(t.Context(), "a", 0, []byte("1"), 0)
		it, err := kv.Watch(t.Context(), "a", v-1)
		must.NoError(t, err)
		must.Eq(t, v, it.Version)
		go func() { _, _ = stand.Swap(context.Background(), "a", v, []byte("2"), 0) }()
		it, err = kv.Watch(t.Context(), "a", v)
		must.NoError(t, err)
		must.Eq(t, "2", string(it.Value))
	}},
	{"a watch without change ends", func(t *testing.T, kv keyval.KV, stand *KV) {
		stand.WatchTimeout = 20 * time.Millisecond
		_, err := kv.Watch(t.Context(), "a", 0)
		must.ErrorIs(t, err, keyval.ErrNotFound)
	}},
	{"a key goes with its lease", func(t *testing.T, kv keyval.KV, _ *KV) {
		l, err := kv.Grant(t.Context(), 30*time.Millisecond)
		must.NoError(t, err)
		_, err = kv.Swap(t.Context(), "a", 0, nil, l)
		must.NoError(t, err)
		must.NoError(t, kv.Renew(t.Context(), l))
		time.Sleep(60 * time.Millisecond)
		_, err = kv.Get(t.Context(), "a")
		must.ErrorIs(t, err, keyval.ErrNotFound)
		must.ErrorIs(t, kv.Renew(t.Context(), l), keyval.ErrLeaseExpired)
		_, err = kv.Swap(t.Context(), "a", 0, nil, l)
		must.ErrorIs(t, err, keyval.ErrLeaseExpired)
	}},
	{"an answer may be lost after the write", func(t *testing.T, kv keyval.KV, stand *KV) {
		stand.SetFaults(KVFaults{LoseAnswer: 1})
		_, err := kv.Swap(t.Context(), "a", 0, []byte("1"), 0)
		must.ErrorIs(t, err, keyval.ErrUnavailable)
		it, err := kv.Get(t.Context(), "a")
		must.NoError(t, err)
		must.Eq(t, "1", string(it.Value))
	}},
	{"an outage makes every call unavailable and loses nothing", func(t *testing.T, kv keyval.KV, stand *KV) {
		_, _ = kv.Swap(t.Context(), "a", 0, []byte("1"), 0)
		stand.SetFaults(KVFaults{Down: true})
		_, err := kv.Get(t.Context(), "a")
		must.ErrorIs(t, err, keyval.ErrUnavailable)
		_, err = kv.Grant(t.Context(), time.Second)
		must.ErrorIs(t, err, keyval.ErrUnavailable)
		stand.SetFaults(KVFaults{})
		_, err = kv.Get(t.Context(), "a")
		must.NoError(t, err)
	}},
	{"calls over the rate are refused and write nothing", func(t *testing.T, kv keyval.KV, stand *KV) {
		stand.MaxWriteRate = 2
		var limited int
		for range 5 {
			if _, err := kv.Swap(t.Context(), "a", 0, nil, 0); errors.Is(err, keyval.ErrRateLimited) {
				limited++
			}
		}
		must.Positive(t, limited)
	}},
}

func TestKVPromises(t *testing.T) {
	for _, c := range kvPromises {
		t.Run(c.name+"/direct", func(t *testing.T) {
			kv := &KV{}
			c.run(t, kv, kv)
		})
		t.Run(c.name+"/http", func(t *testing.T) {
			kv := &KV{}
			p := &Platform{KV: kv, Hosts: &HostList{}, Weights: &WeightStore{}}
			srv := httptest.NewServer(p.Handler())
			defer srv.Close()
			c.run(t, &keyval.Client{BaseURL: srv.URL}, kv)
		})
	}
}

func TestHostListLags(t *testing.T) {
	l := &HostList{Lag: 40 * time.Millisecond}
	p := &Platform{KV: &KV{}, Hosts: l, Weights: &WeightStore{}}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c := &keyval.Client{BaseURL: srv.URL}
	names := func() string {
		list, err := c.List(t.Context())
		must.NoError(t, err)
		var out []string
		for _, e := range list {
			out = append(out, e.Name)
		}
		return strings.Join(out, " ")
	}
	l.Put(keyval.ListEntry{Name: "b"})
	l.Put(keyval.ListEntry{Name: "a"})
	must.Eq(t, "", names())
	time.Sleep(60 * time.Millisecond)
	must.Eq(t, "a b", names())
	must.Eq(t, "a b", names())
	l.Remove("a")
	must.Eq(t, "a b", names())
	time.Sleep(60 * time.Millisecond)
	must.Eq(t, "b", names())
}

// newEngine makes an engine that holds model m.
func newEngine() *Engine {
	e := &Engine{Core: EngineCore{Slots: 2, PrefillPerStep: 512, CacheBlocks: 8}, StepTime: time.Millisecond}
	e.SetLoaded(endpoint.ModelSpec{Model: "m", Version: "1"})
	return e
}

func TestEngineRefusesOlderTokens(t *testing.T) {
	cases := []struct {
		name     string
		unfenced bool
		tokens   []uint64
		stale    []bool
	}{
		{"rising", false, []uint64{1, 2, 2, 5}, []bool{false, false, false, false}},
		{"older after newer", false, []uint64{5, 4, 6}, []bool{false, true, false}},
		{"unfenced obeys anybody", true, []uint64{5, 4}, []bool{false, false}},
	}
	for _, c := range cases {
		e := newEngine()
		e.Unfenced = c.unfenced
		srv := httptest.NewServer(e.Handler())
		cl := &endpoint.Client{Base: srv.URL}
		for i, tok := range c.tokens {
			err := cl.Order(t.Context(), endpoint.Order{Token: tok, Want: e.Loaded(), Role: "both"})
			must.Eq(t, c.stale[i], errors.Is(err, endpoint.ErrStaleToken), must.Sprint(c.name, i))
		}
		srv.Close()
	}
}

func TestEngineCore(t *testing.T) {
	c := &EngineCore{Slots: 1, PrefillPerStep: 100, CacheBlocks: 3}
	patient := &Job{ID: "patient", Blocks: []uint64{1, 2}, PromptTokens: 128, OutputTokens: 2, Priority: 2}
	urgent := &Job{ID: "urgent", PromptTokens: 10, OutputTokens: 1}
	first := &Job{ID: "first", PromptTokens: 10, OutputTokens: 3}
	c.Add(first)
	must.Len(t, 1, c.Step())
	c.Add(patient)
	c.Add(urgent)
	must.Eq(t, 2, c.Report().Waiting)
	var order []string
	for !c.Idle() {
		for _, e := range c.Step() {
			if e.Last {
				order = append(order, e.Job.ID)
			}
		}
	}
	must.Eq(t, []string{"first", "urgent", "patient"}, order)
	must.Eq(t, 2, c.PeekPrefix([]uint64{1, 2, 9}))
	again := &Job{ID: "again", Blocks: []uint64{1, 2, 3, 4}, PromptTokens: 256, OutputTokens: 1}
	c.Add(again)
	for !c.Idle() {
		c.Step()
	}
	must.Eq(t, 128, again.ComputedTokens)
	// The cache holds three blocks: one of four was evicted, and told so.
	gone := 0
	for _, e := range c.Events(0) {
		if e.Evicted {
			gone++
		}
	}
	must.Eq(t, 1, gone)
}
